package crowd

import (
	"testing"
	"time"
)

const (
	// manySlots is more than the memory for one caller allows requests with kept
	// bodies.
	manySlots = 200
	// ordinaryCalls and ordinaryPause are the number of ordinary requests beside a
	// crowd and the time between them.
	ordinaryCalls = 20
	ordinaryPause = 500 * time.Millisecond
)

// Guards against one address whose requests at upstreams hold all memory that one
// caller may have, so that its next connection keeps those of all others out.
func TestCrowdAtOneAddress(t *testing.T) {
	p := startProcess(t, bodyDescriptors)
	p.addUpstream(crowdService, manySlots, slowWork)
	p.addUpstream(otherService, slots, workTime)
	p.checkOrdinary(otherService)
	m := p.watchTotal()
	c := &crowd{t: t, address: p.entry, send: sendWithLength(keptBody, 0)}
	c.gather(bodyCrowd)
	for range ordinaryCalls { // each on a new connection
		p.checkOrdinary(otherService)
		sleep(t.Context(), ordinaryPause)
	}
	m.check(bodyDescriptors)
}
