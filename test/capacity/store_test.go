package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"knapweedreel/internal/standin/storeserver"
	"knapweedreel/internal/store"
	"knapweedreel/internal/store/httpstore"
)

// instances returns an instance list with the given numbers of entry instances
// and upstreams. The upstreams are spread over the given number of services.
func instances(entries, upstreams, services int) []store.Instance {
	out := make([]store.Instance, 0, entries+upstreams)
	for i := range entries {
		m := memberInfo(i)
		out = append(out, store.Instance{
			ID: m.ID, Role: store.RoleEntry, Address: m.EntryAddress, PeerAddress: m.PeerAddress, AdminAddress: m.AdminAddress,
			Region: m.Region, FailureDomain: m.FailureDomain, State: store.StateLive,
		})
	}
	for i := range upstreams {
		s := i % services
		out = append(out, store.Instance{
			ID: upstreamID(s, i/services), Role: store.RoleUpstream, Service: serviceName(s),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", s/250, s%250, i/services+1),
			Region:  fmt.Sprintf("region-%d", i%8), FailureDomain: fmt.Sprintf("domain-%02d", i%18), State: store.StateLive,
		})
	}
	return out
}

// countingConn adds the number of written bytes to bytesSent.
type countingConn struct {
	net.Conn
	bytesSent *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	// Counted first: the client may have read the response before Write returns.
	c.bytesSent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

type countingListener struct {
	net.Listener
	bytesSent *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytesSent}, nil
}

// Guards against polls that transfer the complete instance list although nothing
// has changed, and measures the cost of a full transfer.
func BenchmarkListPoll(b *testing.B) {
	const upstreams = 29_000
	for _, entries := range fleetSizes {
		server := storeserver.New()
		for _, i := range instances(entries, upstreams, documentCount) {
			if err := server.Memory().Register(context.Background(), i); err != nil {
				b.Fatal(err)
			}
		}
		var bytesSent, serveNanos atomic.Int64
		h := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			start := time.Now()
			server.ServeHTTP(w, r)
			serveNanos.Add(time.Since(start).Nanoseconds())
		}))
		h.Listener = countingListener{h.Listener, &bytesSent}
		h.Start()
		client := func() *httpstore.Client {
			return httpstore.New(httpstore.Config{StoreAddress: h.Listener.Addr().String(), Timeout: 20 * time.Second})
		}
		// The time in the stand-in is not a cost of the instance. It overlaps with
		// the client's reading of the response.
		report := func(b *testing.B, startBytes, startNanos int64) {
			b.Helper()
			b.ReportMetric(float64(bytesSent.Load()-startBytes)/float64(b.N), "answer-bytes")
			b.ReportMetric(float64(serveNanos.Load()-startNanos)/1e3/float64(b.N), "stand-in-µs")
			reportPer(b, "poll-µs", 1)
		}
		poll := func(b *testing.B, c *httpstore.Client) {
			b.Helper()
			list, err := c.Instances(context.Background())
			if err != nil || len(list) != entries+upstreams {
				b.Fatalf("%d instances, %v", len(list), err)
			}
		}
		b.Run(fmt.Sprintf("full/entries=%d", entries), func(b *testing.B) {
			startBytes, startNanos := bytesSent.Load(), serveNanos.Load()
			for range b.N {
				c := client()
				poll(b, c)
				c.Close()
			}
			report(b, startBytes, startNanos)
		})
		b.Run(fmt.Sprintf("unchanged/entries=%d", entries), func(b *testing.B) {
			c := client()
			defer c.Close()
			poll(b, c)
			startBytes, startNanos := bytesSent.Load(), serveNanos.Load()
			b.ResetTimer()
			for range b.N {
				poll(b, c)
			}
			report(b, startBytes, startNanos)
		})
		b.Run(fmt.Sprintf("apply/entries=%d", entries), func(b *testing.B) {
			l, list := startLoop(b), instances(entries, upstreams, documentCount)
			for b.Loop() {
				l.SetInstances(list)
				l.wait(b)
			}
			reportPer(b, "apply-µs", 1)
		})
		h.Close()
	}
}
