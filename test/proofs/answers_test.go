package proofs

import (
	"fmt"
	"strings"
	"testing"

	"knapweedreel/internal/document"
)

// shortDeadline makes requests on silent links end early.
func shortDeadline(d *document.Document) { d.DeadlineMS = 3_000 }

// answerSizes are the sizes of answers in bytes, from nothing to 8 MiB, on both
// sides of the size up to which answers are buffered.
var answerSizes = []int{0, 1, 100, 65_535, 65_537, 300_000, 8 << 20}

// Guards against answers that reach another caller, that are mixed up with a
// late answer on the same connection, or that look whole when they are not.
func TestCallersGetWholeAnswersToTheirOwnRequests(t *testing.T) {
	f := newFleet(t, options{instances: 3, proxied: true, services: []serviceSpec{{
		name: "photos", upstreams: 6, slots: 6, workMS: 1, change: shortDeadline,
	}}})
	cases := []struct {
		name     string
		upstream upstreamFaults
		link     proxyFaults
	}{
		{"no fault", upstreamFaults{}, proxyFaults{}},
		{"crossed answers", upstreamFaults{CrossedFraction: 0.3}, proxyFaults{}},
		{"late duplicates", upstreamFaults{LateDuplicateFraction: 0.3}, proxyFaults{}},
		{"truncated by the upstream", upstreamFaults{Truncate: true}, proxyFaults{}},
		{"no framing", upstreamFaults{NoFraming: true}, proxyFaults{}},
		{"cut after the header", upstreamFaults{}, proxyFaults{ResetAfterAnswerBytes: 700}},
		{"cut in a large answer", upstreamFaults{}, proxyFaults{ResetAfterAnswerBytes: 200_000}},
		{"duplicated by the link", upstreamFaults{}, proxyFaults{DuplicateAnswers: true}},
	}
	for _, c := range cases {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			// Half of the upstreams are faulty, so that retries find a good one.
			for _, u := range f.upstreams["photos"][:3] {
				u.set(t, c.upstream)
				u.link(t, c.link)
			}
			answers := newCaller(strings.ReplaceAll(c.name, " ", "")).load(t.Context(), 420, 12, f.sizedRequests("photos"))
			for _, u := range f.upstreams["photos"] {
				u.set(t, upstreamFaults{})
				u.link(t, proxyFaults{})
			}
			checkWhole(t, answers)
			checkSizes(t, answers)
			t.Logf("answers: %v", tally(answers))
		})
	}
}

// sizedRequests yields idempotent requests for answers of all sizes, with a
// length and chunked.
func (f *fleet) sizedRequests(service string) func(i int) request {
	return func(i int) request {
		framing := []string{"bytes", "chunked"}[i/len(answerSizes)%2]
		return request{
			address: f.instances[i%len(f.instances)].entry, host: service + ".example", method: "GET",
			path: fmt.Sprintf("/%s/%d", framing, answerSizes[i%len(answerSizes)]), account: fmt.Sprintf("grower-%d", i%5),
		}
	}
}

// checkSizes fails the test for an answer that ended without an error and yet
// has another size than was asked for. Request i of load asks for size
// i mod len(answerSizes).
func checkSizes(t *testing.T, answers []answer) {
	t.Helper()
	for i, a := range answers {
		if want := answerSizes[i%len(answerSizes)]; a.served() && a.bytes != want {
			t.Errorf("request %s: %d bytes look whole, want %d", a.id, a.bytes, want)
		}
	}
}
