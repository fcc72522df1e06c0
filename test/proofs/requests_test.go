package proofs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// injectLinkFaults changes the faults of the upstreams' links at random until ctx
// ends: resets before, during and after sending, lost responses, silent links,
// refused connections and duplicated responses.
func (f *fleet) injectLinkFaults(ctx context.Context, service string, period time.Duration) {
	rng := rand.New(rand.NewPCG(*seedFlag, 1))
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		for _, u := range f.upstreams[service] {
			u.setLinkFaults(f.t, randomLinkFault(rng))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func randomLinkFault(rng *rand.Rand) proxyFaults {
	switch rng.IntN(10) {
	case 0:
		return proxyFaults{ResetAfterRequestBytes: 1 + rng.IntN(600)}
	case 1:
		return proxyFaults{ResetAfterAnswerBytes: 1 + rng.IntN(600)}
	case 2:
		return proxyFaults{ResetOnAccept: true}
	case 3:
		return proxyFaults{SilentExisting: true}
	case 4:
		return proxyFaults{Refuse: true}
	case 5:
		return proxyFaults{DuplicateAnswers: true}
	case 6:
		return proxyFaults{CutToClient: true}
	default:
		return proxyFaults{}
	}
}

// clearLinkFaults removes the faults of the links to a service's upstreams.
func (f *fleet) clearLinkFaults(service string) {
	for _, u := range f.upstreams[service] {
		u.setLinkFaults(f.t, proxyFaults{})
	}
}

// writeRequests returns a generator of requests that the document does not mark as
// idempotent. They have every method and header that affects whether the HTTP
// client library retries a request.
func (f *fleet) writeRequests(service string) func(i int) request {
	methods := []string{"POST", "PUT", "DELETE", "POST"}
	headers := []map[string]string{nil, {"Idempotency-Key": "k"}, {"X-Idempotency-Key": "k"}, {"Expect": "100-continue"}}
	live := f.live()
	return func(i int) request {
		r := request{
			address: live[i%len(live)].entry, host: service + ".example",
			method: methods[i%len(methods)], path: "/credits", callerID: fmt.Sprintf("shop-%d", i%7),
			headers: headers[(i/4)%len(headers)],
		}
		if r.method != "DELETE" {
			r.body = make([]byte, 200)
		}
		return r
	}
}

// Guards against a second run of a non-idempotent request, caused by the fleet or
// by the HTTP client library, and against a not-run response to a request that
// ran.
func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	const requests = 10_000
	f := newFleet(t, options{instances: 3, proxied: true, services: []serviceSpec{{
		name: "credits", upstreams: 6, slots: 6, workMS: 2, change: shortDeadline,
	}}})
	for _, u := range f.upstreams["credits"] {
		u.setFaults(t, upstreamFaults{LateDuplicateFraction: 0.02, CrossedFraction: 0.01})
	}
	ctx, cancel := context.WithTimeout(t.Context(), loadLimit)
	defer cancel()
	var wg sync.WaitGroup
	faultCtx, stopFaults := context.WithCancel(ctx)
	wg.Go(func() { f.injectLinkFaults(faultCtx, "credits", 150*time.Millisecond) })
	wg.Go(func() { f.pauseInTurn(faultCtx, 700*time.Millisecond) })
	c := newCaller("once")
	responses := c.load(ctx, requests, 64, f.writeRequests("credits"))
	stopFaults()
	wg.Wait()
	f.clearLinkFaults("credits")
	f.killAndReplace(t, 0, c, &responses)

	checkServed(t, responses, requests)
	checkRuns(t, responses, countRuns(t, f.upstreams["credits"]))
	checkIntegrity(t, responses)
	t.Logf("responses: %v", countByResult(responses))
}

// killAndReplace kills an instance under load, starts another in its place and
// appends the responses of the load to responses.
func (f *fleet) killAndReplace(t *testing.T, i int, c *caller, responses *[]response) {
	next := f.writeRequests("credits")
	var during []response
	var wg sync.WaitGroup
	wg.Go(func() { during = c.load(t.Context(), 600, 16, next) })
	eventually(t, "a request of the load runs", waitTimeout, func() (bool, string) {
		runs := countRuns(t, f.upstreams["credits"])
		return len(runs) > 0, "no run yet"
	})
	f.instances[i].kill()
	wg.Wait()
	*responses = append(*responses, during...)
	f.startInstance(i, "replacement")
	f.waitReady(f.instances[i : i+1])
	f.waitRevision("credits", 1, f.instances[i:i+1])
}

// pauseInTurn pauses and resumes one instance after another until ctx ends.
func (f *fleet) pauseInTurn(ctx context.Context, period time.Duration) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for n := 0; ; n++ {
		in := f.instances[n%len(f.instances)]
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		in.pause()
		select {
		case <-ctx.Done():
			in.resume()
			return
		case <-tick.C:
			in.resume()
		}
	}
}

// checkServed fails the test unless at least 1 in 10 requests was served:
// a fleet that refuses everything would pass the other checks.
func checkServed(t *testing.T, responses []response, sent int) {
	t.Helper()
	served := 0
	for _, resp := range responses {
		if resp.served() {
			served++
		}
	}
	if served*10 < sent {
		t.Errorf("%d of %d requests were served: %v", served, sent, countByResult(responses))
	}
}
