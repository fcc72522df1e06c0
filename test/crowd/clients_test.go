package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// gatherTimeout is how long a crowd is waited for. Members that the instance
	// doesn't read from never finish.
	gatherTimeout = 5 * time.Second
	// reconnectDelay is the pause of a member whose connection was closed.
	reconnectDelay = 100 * time.Millisecond
	// pieceBytes is the size of one piece of a body.
	pieceBytes = 16 << 10
)

// crowd is a number of clients, each with one connection. A member whose request
// was refused or whose connection was closed connects again.
type crowd struct {
	t       *testing.T
	address string
	// send writes a request to the connection and returns when the member has
	// nothing more to send. The request stays open.
	send func(c net.Conn, id string) error
	// slow makes members read nothing but the first bytes of the response.
	slow bool
	// scattered makes each member call from an address of its own.
	scattered bool

	mu   sync.Mutex
	open map[string]*member // by request ID
}

// member is one connection of a crowd.
type member struct{ received atomic.Int64 }

// gather starts the members and waits until each has sent its request once or has
// been turned away. They continue until the test ends.
func (c *crowd) gather(size int) {
	c.t.Helper()
	c.open = make(map[string]*member)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	c.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	settled := make(chan struct{}, size)
	for n := range size {
		running.Go(func() {
			first := sync.OnceFunc(func() { settled <- struct{}{} })
			for k := 0; ctx.Err() == nil; k++ {
				c.visit(ctx, fmt.Sprintf("m%d-%d", n, k), first)
				first()
				sleep(ctx, reconnectDelay)
			}
		})
	}
	limit := time.After(gatherTimeout)
	for n := range size {
		select {
		case <-settled:
		case <-limit:
			c.t.Logf("%d of %d members are ready", n, size)
			return
		}
	}
}

// visit opens one connection, sends one request and waits until the connection
// ends or a response has arrived. settled is called when all has been sent.
func (c *crowd) visit(ctx context.Context, id string, settled func()) {
	d := net.Dialer{Timeout: waitTimeout}
	if c.scattered {
		d.LocalAddr = &net.TCPAddr{IP: memberAddress(id)}
	}
	conn, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if c.slow {
		_ = conn.(*net.TCPConn).SetReadBuffer(1 << 10)
	}
	m := new(member)
	c.mu.Lock()
	c.open[id] = m
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.open, id)
	}()
	var ended sync.WaitGroup
	ended.Go(func() {
		defer func() { _ = conn.Close() }()
		c.read(ctx, conn, m)
	})
	if c.send(conn, id) == nil {
		settled()
	}
	ended.Wait()
}

// memberAddress returns the own address of a member.
func memberAddress(id string) net.IP {
	var n int
	_, _ = fmt.Sscanf(id, "m%d-", &n)
	return net.IPv4(127, 1, byte(n>>8), byte(n))
}

// read reads until the connection ends. The body of an ordinary response ends it.
// Slow members read a byte a second.
func (c *crowd) read(ctx context.Context, conn net.Conn, m *member) {
	if !c.slow {
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return
	}
	for {
		n, err := conn.Read(make([]byte, 1))
		if err != nil {
			return
		}
		m.received.Add(int64(n))
		sleep(ctx, time.Second)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// header returns a request header for a service.
func header(service, id, framing string) string {
	return "POST /" + service + "/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\n" + framing + "\r\n\r\n"
}

// sendWithLength sends a body of size bytes with its length and leaves the last
// ones out.
func sendWithLength(size, leaveOut int) func(net.Conn, string) error {
	return func(c net.Conn, id string) error {
		if _, err := io.WriteString(c, header(crowdService, id, "Content-Length: "+strconv.Itoa(size))); err != nil {
			return err
		}
		return sendPieces(size-leaveOut, func(piece string) error {
			_, err := io.WriteString(c, piece)
			return err
		})
	}
}

// sendChunked sends a body of size bytes in chunks and leaves out the last chunk.
func sendChunked(size int) func(net.Conn, string) error {
	return func(c net.Conn, id string) error {
		if _, err := io.WriteString(c, header(crowdService, id, "Transfer-Encoding: chunked")); err != nil {
			return err
		}
		return sendPieces(size, func(piece string) error {
			_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
			return err
		})
	}
}

func sendPieces(size int, write func(string) error) error {
	piece := strings.Repeat("x", pieceBytes)
	for size > 0 {
		n := min(size, len(piece))
		if err := write(piece[:n]); err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// ordinaryAddress is the address from which an ordinary client calls. The crowd
// calls from 127.0.0.1.
const ordinaryAddress = "127.0.0.2"

// checkOrdinary sends an ordinary request until it is served. A request that was
// refused as not executed is sent again, as the pages allow.
func (p *process) checkOrdinary(service string) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), waitTimeout)
	defer cancel()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ordinaryAddress)}}
	transport := &http.Transport{DialContext: d.DialContext}
	defer transport.CloseIdleConnections()
	refusals := 0
	for n := 0; ; n++ {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.entry+"/"+service+"/x", strings.NewReader("an ordinary body"))
		if err != nil {
			p.t.Fatal(err)
		}
		req.Host = host
		req.Header.Set("Request-Id", fmt.Sprint("ordinary-", n))
		resp, err := transport.RoundTrip(req)
		switch {
		case err != nil && ctx.Err() != nil:
			p.t.Errorf("an ordinary request is not answered; refused %d times before", refusals)
			return
		case err != nil: // the connection ended without an answer
		default:
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK {
				p.t.Logf("an ordinary request is served; refused %d times before", refusals)
				return
			}
			refusals++
		}
		sleep(ctx, reconnectDelay)
	}
}
