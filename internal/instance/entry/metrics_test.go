package entry

import (
	"testing"

	"knapweedreel/internal/telemetry"
)

// Guards against a counter whose labels differ from those of the same counter
// elsewhere: its registration is refused and its requests are not counted.
func TestRequestsOfAnyServiceHaveTheSameLabels(t *testing.T) {
	m := telemetry.NewMetrics(func(err error) { t.Error(err) })
	defer m.Close()
	newServiceMetrics(m.Scope, noService).request(404, "unknown-service").Inc(1)
	newServiceMetrics(m.Scope, "entries").request(200, "").Inc(1)
}
