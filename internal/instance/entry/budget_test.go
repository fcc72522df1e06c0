package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"knapweedreel/internal/placement"
)

// Guards against a fleet that makes more retries than its share and reserve
// allow when many instances serve callers. All upstreams refuse a third of the
// requests, each refusal asks for a retry at every instance at the same time,
// and callers move from one half of the instances to the other.
func TestReplayRefusalsAtManyInstances(t *testing.T) {
	const (
		reserve   = 206
		share     = 0.15
		perSecond = 1000
		seconds   = 10
		shed      = 1.0 / 3
	)
	for _, serving := range []int{2, 6, 24, 60, 200} {
		control := &fakeControl{snap: snapshotOf(testDocument())}
		control.snap.ServingInstances = serving
		var services []*serviceState
		for range 2 * serving {
			s := New(Config{Placement: &Placement{
				Model: placement.DefaultModel(), RetryShare: share, RetryReserve: reserve,
			}, Scope: tally.NoopScope}, control)
			services = append(services, s.service("s"))
		}
		sent, r := 0, rand.New(rand.NewPCG(uint64(serving), 1))
		for n := range perSecond * seconds {
			half := services[:serving]
			if n >= perSecond*seconds/2 {
				half = services[serving:]
			}
			st := half[n%serving]
			st.requestAdmitted()
			if r.Float64() < shed && st.spendRetry(true) {
				sent++
			}
		}
		if allowed := int(share*perSecond*seconds) + reserve; sent > allowed {
			t.Errorf("%d instances: %d retries in %v, allowed %d", serving, sent, seconds*time.Second, allowed)
		}
	}
}
