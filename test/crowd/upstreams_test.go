package crowd

import (
	"io"
	"net"
	"testing"
)

const (
	// upstreamsOfCrowd have room for all requests of the crowd at once.
	upstreamsOfCrowd      = 100
	connectionsToUpstream = 5
)

// Guards against more sockets than the process may have, when each of many callers
// also takes a connection to an upstream.
func TestCrowdHoldsConnectionsToUpstreams(t *testing.T) {
	p := startProcess(t, bodyDescriptors)
	for range upstreamsOfCrowd {
		p.addUpstream(crowdService, connectionsToUpstream, slowWork)
	}
	p.addUpstream(otherService, slots, workTime)
	p.checkOrdinary(otherService)
	m := p.watchTotal()
	c := &crowd{t: t, address: p.entry, scattered: true, send: func(c net.Conn, id string) error {
		_, err := io.WriteString(c, header(crowdService, id, "Content-Length: 0"))
		return err
	}}
	c.gather(readerCrowd)
	p.checkOrdinary(otherService)
	m.check(bodyDescriptors)
}
