package soak

import (
	"syscall"
	"testing"
)

// Guards against requests that are cut off without an answer during planned stops
// under load: those in flight, those that were just accepted, and those on
// connections that callers keep. All instances are stopped and started in turn,
// and callers use an address for as long as they may.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	f := newFleet(t, 11)
	for _, i := range f.instances {
		f.eventually("ready after the start: "+i.name, i.isReady)
	}
	c, stop := startCallers(t, f, 11)
	for _, i := range f.instances {
		f.restart(i, syscall.SIGTERM)
		f.eventually("ready after the stop: "+i.name, i.isReady)
	}
	f.waitRecovered(c)
	stop()
	cut, refused := 0, 0
	for i := range c.outcomes {
		o := &c.outcomes[i]
		switch {
		case o.status == 0:
			cut++
			t.Errorf("request %s was cut off: %v", o.id, o.err)
		case !o.served():
			refused++
		}
	}
	t.Logf("%d requests, %d cut off, %d not served", len(c.outcomes), cut, refused)
	f.checkOutcomes(c.outcomes)
}
