package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"knapweedreel/platform/standin"
)

const (
	// endlessUpstreams is the number of upstreams that send endless bytes at once.
	endlessUpstreams = 100
	// maxInstanceMemoryKB is the memory of the smallest machines of the platform's
	// users, 184 MB.
	maxInstanceMemoryKB = 184 << 10
	// routeTimeout is the timeout of the soak's routes, and responseSlack the time
	// after it within which the users want an answer.
	routeTimeout  = 2 * time.Second
	responseSlack = 500 * time.Millisecond
)

// memoryPeakKB returns the peak of the process's memory in KiB.
func (i *instance) memoryPeakKB(t *testing.T) int {
	t.Helper()
	i.mu.Lock()
	pid := i.cmd.Process.Pid
	i.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			if err != nil {
				t.Fatal(err)
			}
			return kb
		}
	}
	t.Fatal("no peak of the memory")
	return 0
}

// Guards against an instance whose memory, connections or time are used up by
// upstreams that send bytes without end, in a head or in a body, and against such
// bytes that look like a complete response. All upstreams of a service do so,
// each in one of the ways. Requests to other services get their responses
// meanwhile.
func TestEndlessResponsesAreBounded(t *testing.T) {
	f := newFleet(t, 9)
	f.mu.Lock()
	f.routes["/endless/"] = "endless"
	f.mu.Unlock()
	f.putConfiguration(1)
	var ups []*standin.Upstream
	for n := range endlessUpstreams {
		u, err := standin.StartUpstream(f.store, fmt.Sprint("endless-", n), "endless", regions[n%len(regions)]+"-1", slots, workTime)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(u.Close)
		u.SetEndless(standin.EndlessGarbage + standin.Endless(n)%(standin.EndlessKinds-standin.EndlessGarbage))
		ups = append(ups, u)
	}
	for _, i := range f.instances {
		f.eventually("ready after the start: "+i.name, i.isReady)
	}
	var started []<-chan struct{}
	for _, i := range f.instances {
		started = append(started, i.done())
	}
	c, stop := startCallers(t, f, 9)
	f.waitRecovered(c) // the response times are known
	var wg sync.WaitGroup
	for n := range 200 {
		wg.Go(func() {
			i := f.instances[n%len(f.instances)]
			method := []string{http.MethodGet, http.MethodPost}[n%2]
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, method, "http://"+i.entry+"/endless/x", nil)
			if err != nil {
				t.Error(err)
				return
			}
			req.Host = "soak.example"
			req.Header.Set("Request-Id", fmt.Sprint("endless-", n))
			req.Header.Set("Deadline-Ms", "1500")
			began := time.Now()
			resp, err := http.DefaultClient.Do(req)
			var length int64
			if err == nil {
				length, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			if took := time.Since(began); took > routeTimeout+responseSlack {
				t.Errorf("request %d took %v", n, took)
			}
			// Bytes after a complete response do not make it incomplete.
			if err == nil && resp.StatusCode == http.StatusOK && length != int64(len("ok")) {
				t.Errorf("request %d: %d endless bytes look complete", n, length)
			}
		})
	}
	wg.Wait()
	f.eventually("all endless responses are closed", func() bool {
		open := 0
		for _, u := range ups {
			n, _ := u.EndlessConnections()
			open += n
		}
		return open == 0
	})
	for _, u := range ups {
		if _, longest := u.EndlessConnections(); longest > routeTimeout+2*responseSlack {
			t.Errorf("%s sent for %v", u.ID, longest)
		}
	}
	for _, i := range f.instances {
		if kb := i.memoryPeakKB(t); kb > maxInstanceMemoryKB {
			t.Errorf("%s has used %d KiB", i.name, kb)
		} else {
			t.Logf("%s: peak of %d KiB", i.name, kb)
		}
	}
	f.waitRecovered(c)
	stop()
	for n, i := range f.instances {
		select {
		case <-started[n]:
			t.Errorf("%s has ended", i.name)
		default:
		}
	}
	for i := range c.outcomes {
		if o := &c.outcomes[i]; o.status == 0 {
			t.Errorf("request %s to another service was cut off: %v", o.id, o.err)
		}
	}
	f.checkOutcomes(c.outcomes)
}
