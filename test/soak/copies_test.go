package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against the second copy of a refusal, which comes late on a connection
// that was used again, and is taken for the response to a later attempt of the same
// request: its caller is told that the request has not run, or it runs again, also
// at another upstream. The service is down to few upstreams, so that refused requests
// return to them.
func TestRefusalCopiesAreNotTakenForResponses(t *testing.T) {
	const (
		clumps        = 16
		clumpSize     = 24 // requests at once, more than the upstream takes
		clumpInterval = 400 * time.Millisecond
	)
	for _, tc := range []struct{ attempts, upstreams int }{{2, 1}, {3, 1}, {4, 2}} {
		t.Run(fmt.Sprintf("%d attempts, %d upstreams", tc.attempts, tc.upstreams), func(t *testing.T) {
			f := newFleet(t, 13)
			f.mu.Lock()
			f.routes["/ledger/"], f.maxAttempts = "ledger", tc.attempts
			f.mu.Unlock()
			f.putConfiguration(1)
			var ups []*proxiedUpstream
			for range tc.upstreams {
				u := f.addUpstream("ledger")
				u.SetRefusalCopies(true)
				ups = append(ups, u)
			}
			for _, i := range f.instances {
				f.eventually("ready after the start: "+i.name, i.isReady)
				f.eventually("the route is in effect: "+i.name, func() bool { return i.hasRoute("/ledger/x") })
			}
			outcomes := make([]outcome, clumps*clumpSize*tc.upstreams)
			var wg sync.WaitGroup
			for n := range outcomes {
				if n > 0 && n%(clumpSize*tc.upstreams) == 0 {
					wait(t.Context(), clumpInterval)
				}
				wg.Go(func() {
					o := outcome{id: fmt.Sprintf("copies-%d-%d", tc.attempts, n), requestBytes: 100, startedAt: time.Now()}
					url := "http://" + f.instances[n%len(f.instances)].entry + "/ledger/x"
					outcomes[n] = send(http.DefaultClient, o, http.MethodPost, url, bytes.NewReader(make([]byte, o.requestBytes)))
				})
			}
			wg.Wait()
			f.checkOutcomes(outcomes)
			copies := int64(0)
			for _, u := range ups {
				copies += u.RefusalCopies()
			}
			t.Logf("%d second copies", copies)
			if copies == 0 {
				t.Error("no refusal was followed by another request on its connection")
			}
		})
	}
}
