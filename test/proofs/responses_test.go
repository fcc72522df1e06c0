package proofs

import (
	"fmt"
	"strings"
	"testing"

	"knapweedreel/internal/document"
)

// shortDeadline limits how long requests on silent links take.
func shortDeadline(d *document.Document) { d.DeadlineMS = 3_000 }

// responseSizes are response sizes in bytes, from 0 to 8 MiB, below and above the
// size up to which responses are buffered.
var responseSizes = []int{0, 1, 100, 65_535, 65_537, 300_000, 8 << 20}

// Guards against responses that reach the wrong caller, that are confused with a
// late response on the same connection, or that appear complete but are not.
func TestCallersGetCompleteResponsesToTheirOwnRequests(t *testing.T) {
	f := newFleet(t, options{instances: 3, proxied: true, services: []serviceSpec{{
		name: "photos", upstreams: 6, slots: 6, workMS: 1, change: shortDeadline,
	}}})
	cases := []struct {
		name     string
		upstream upstreamFaults
		link     proxyFaults
	}{
		{"no fault", upstreamFaults{}, proxyFaults{}},
		{"crossed responses", upstreamFaults{CrossedFraction: 0.3}, proxyFaults{}},
		{"late duplicates", upstreamFaults{LateDuplicateFraction: 0.3}, proxyFaults{}},
		{"truncated by the upstream", upstreamFaults{Truncate: true}, proxyFaults{}},
		{"no framing", upstreamFaults{NoFraming: true}, proxyFaults{}},
		{"reset after the header", upstreamFaults{}, proxyFaults{ResetAfterAnswerBytes: 700}},
		{"reset in a large response", upstreamFaults{}, proxyFaults{ResetAfterAnswerBytes: 200_000}},
		{"duplicated by the link", upstreamFaults{}, proxyFaults{DuplicateAnswers: true}},
	}
	for _, c := range cases {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			// Half of the upstreams are faulty, so that retries find a healthy one.
			for _, u := range f.upstreams["photos"][:3] {
				u.setFaults(t, c.upstream)
				u.setLinkFaults(t, c.link)
			}
			responses := newCaller(strings.ReplaceAll(c.name, " ", "")).load(t.Context(), 420, 12, f.sizedRequests("photos"))
			for _, u := range f.upstreams["photos"] {
				u.setFaults(t, upstreamFaults{})
				u.setLinkFaults(t, proxyFaults{})
			}
			checkIntegrity(t, responses)
			checkSizes(t, responses)
			t.Logf("responses: %v", countByResult(responses))
		})
	}
}

// sizedRequests returns a generator of idempotent requests for responses of all
// sizes, with a content length and chunked.
func (f *fleet) sizedRequests(service string) func(i int) request {
	return func(i int) request {
		framing := []string{"bytes", "chunked"}[i/len(responseSizes)%2]
		return request{
			address: f.instances[i%len(f.instances)].entry, host: service + ".example", method: "GET",
			path: fmt.Sprintf("/%s/%d", framing, responseSizes[i%len(responseSizes)]), callerID: fmt.Sprintf("grower-%d", i%5),
		}
	}
}

// checkSizes fails the test for every served response whose size differs from the
// requested one. Request i of load asks for responseSizes[i%len(responseSizes)].
func checkSizes(t *testing.T, responses []response) {
	t.Helper()
	for i, resp := range responses {
		if want := responseSizes[i%len(responseSizes)]; resp.served() && resp.bytes != want {
			t.Errorf("request %s: served response has %d bytes, want %d", resp.id, resp.bytes, want)
		}
	}
}
