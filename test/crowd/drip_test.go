package crowd

import (
	"io"
	"net"
	"testing"
	"time"
)

// dripInterval is the time between the bytes of a member that always makes a little
// progress. It is shorter than the time after which a caller counts as stalled.
const dripInterval = 200 * time.Millisecond

// Guards against bodies and headers that always make a little progress and keep
// slots, memory or connections from ordinary callers.
func TestCrowdThatDrips(t *testing.T) {
	for _, tc := range []struct {
		name      string
		scattered bool
		begin     string // of each request
	}{
		{"long bodies from one address", false, header(crowdService, "drip", "Content-Length: 2097152")},
		{"long bodies from many addresses", true, header(crowdService, "drip", "Content-Length: 2097152")},
		{"bodies in chunks from one address", false, header(crowdService, "drip", "Transfer-Encoding: chunked") + "80000\r\n"},
		{"bodies in chunks from many addresses", true, header(crowdService, "drip", "Transfer-Encoding: chunked") + "80000\r\n"},
		{"headers from many addresses", true, "POST /" + crowdService + "/x HTTP/1.1\r\nHost: " + host + "\r\nX-Fill: "},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := startProcess(t, bodyDescriptors)
			p.addUpstream(crowdService, slots, workTime)
			p.checkOrdinary(crowdService)
			m := p.watchTotal()
			c := &crowd{t: t, address: p.entry, scattered: tc.scattered, send: func(c net.Conn, _ string) error {
				_, err := io.WriteString(c, tc.begin)
				for ; err == nil; time.Sleep(dripInterval) {
					_, err = io.WriteString(c, "x")
				}
				return err
			}}
			c.gather(bodyCrowd)
			p.checkOrdinary(crowdService)
			m.check(bodyDescriptors)
		})
	}
}
