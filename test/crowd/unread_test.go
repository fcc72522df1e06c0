package crowd

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

const (
	// waitingBody is far larger than what is kept for a retry, so that most of a
	// waiting body isn't read.
	waitingBody = 4 << 20
	// sentAhead is what a member sends after a request without waiting for its
	// response.
	sentAhead = 8 << 20
	// largeUpstreams is the number of upstreams with large responses, so that many
	// are streamed at a time.
	largeUpstreams = 50
)

// Guards against the unread bytes of long bodies that fill the receive windows while
// their upstream doesn't read.
func TestCrowdOfUploadsThatNobodyReads(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(func() {
		close(release)
		server.CloseClientConnections()
		server.Close()
	})
	checkUnread(t, &crowd{send: sendWithLength(waitingBody, 0)}, server.Listener.Addr().String())
}

// Guards against bytes that are sent ahead while a request is at an upstream, on
// connections whose receive window has grown with an earlier body.
func TestCrowdThatSendsAhead(t *testing.T) {
	checkUnread(t, &crowd{slow: true, send: func(c net.Conn, id string) error {
		if _, err := io.WriteString(c, header(otherService, id, "Content-Length: 2097152")); err != nil {
			return err
		}
		write := func(piece string) error {
			_, err := io.WriteString(c, piece)
			return err
		}
		if err := sendPieces(streamedBody, write); err != nil {
			return err
		}
		if err := write(header(crowdService, id+"-ahead", "Content-Length: 0")); err != nil {
			return err
		}
		return sendPieces(sentAhead, write)
	}}, "")
}

// checkUnread checks an instance with a crowd whose bytes it can't read, because
// the upstream of its requests is slow. address is that of the upstream unless it is
// empty.
func checkUnread(t *testing.T, c *crowd, address string) {
	p := startProcess(t, bodyDescriptors)
	u := p.addUpstream(crowdService, manySlots, slowWork)
	if address != "" {
		u.SetAddress(address)
	}
	p.addUpstream(otherService, slots, workTime)
	p.checkOrdinary(otherService)
	m := p.watchTotal()
	c.t, c.address = t, p.entry
	c.gather(bodyCrowd)
	p.checkOrdinary(otherService)
	m.check(bodyDescriptors)
}

// Guards against large responses of many upstreams that pile up unread while their
// callers don't read them.
func TestCrowdOfReadersAtManyUpstreams(t *testing.T) {
	p := startProcess(t, bodyDescriptors)
	server := httptest.NewServer(&largeUpstream{size: sentAhead, written: make(map[string]*atomic.Int64)})
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	for range largeUpstreams {
		p.addUpstream(crowdService, slots, workTime).SetAddress(server.Listener.Addr().String())
	}
	p.addUpstream(otherService, slots, workTime)
	p.checkOrdinary(otherService)
	p.checkOrdinary(crowdService)
	m := p.watchTotal()
	c := &crowd{t: t, address: p.entry, slow: true, send: func(c net.Conn, id string) error {
		_, err := io.WriteString(c, header(crowdService, id, "Content-Length: 0"))
		return err
	}}
	c.gather(bodyCrowd)
	p.checkOrdinary(otherService)
	m.check(bodyDescriptors)
}
