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
	requestCounter(unknownServiceScope(m.Scope), 404, "unknown-service").Inc(1)
	requestCounter(newServiceMetrics(m.Scope, "entries").scope, 200, "").Inc(1)
}
