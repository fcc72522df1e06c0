package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Crowds and limits of the tests. With descriptors 1,024 an instance has 512
// connections for callers.
const (
	bodyCrowd       = 300
	bodyDescriptors = 1024
	// keptBody is below the size up to which bodies are kept for a retry, and
	// streamedBody above.
	keptBody     = 500_000
	streamedBody = 2 << 20
	leftOut      = 16
	// headerCrowd is larger than the number of connections for callers, 128 of 256
	// descriptors.
	headerCrowd       = 200
	headerDescriptors = 256
	// largeResponse is above the size up to which a response is buffered.
	largeResponse = 1 << 20
	// readerCrowd is nearly all of the connections for callers: each keeps only about
	// 70 KB unread.
	readerCrowd = 500
	// pipelined is the number of requests that a member sends at once, and
	// pipelinedResponse the size of each response, which is buffered completely.
	pipelined         = 40
	pipelinedResponse = 48 << 10

	slots    = 6
	workTime = 20 * time.Millisecond
	// slowWork is longer than the test.
	slowWork = time.Minute
)

// Guards against a process that keeps the bodies of all callers in memory, up to
// the size kept for a retry, while the callers hold back the last bytes.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	checkBodies(t, sendWithLength(keptBody, leftOut))
}

// Guards against the same with bodies that come piece by piece, and against such
// bodies keeping the slots of all upstreams.
func TestCrowdOfUnfinishedChunkedBodies(t *testing.T) { checkBodies(t, sendChunked(keptBody)) }

// Guards against long bodies that keep the slots of all upstreams while the
// callers hold back the last bytes.
func TestCrowdOfUnfinishedStreamedBodies(t *testing.T) {
	checkBodies(t, sendWithLength(streamedBody, leftOut))
}

// checkBodies checks an instance with a crowd whose bodies don't end.
func checkBodies(t *testing.T, send func(net.Conn, string) error) {
	p := startProcess(t, bodyDescriptors)
	p.addUpstream(crowdService, slots, workTime)
	p.checkOrdinary(crowdService)
	c := &crowd{t: t, address: p.entry, send: send}
	c.gather(bodyCrowd)
	p.checkOrdinary(crowdService)
	p.check(bodyDescriptors, 0)
}

// Guards against a process that keeps the complete bodies of all callers in
// memory while upstreams are slow.
func TestCrowdAtSlowUpstreams(t *testing.T) {
	p := startProcess(t, bodyDescriptors)
	p.addUpstream(crowdService, slots, slowWork)
	p.addUpstream(otherService, slots, workTime)
	p.checkOrdinary(otherService)
	c := &crowd{t: t, address: p.entry, send: sendWithLength(keptBody, 0)}
	c.gather(bodyCrowd)
	p.checkOrdinary(otherService)
	p.check(bodyDescriptors, 0)
}

// Guards against connections that stop inside the header and keep new callers
// out.
func TestCrowdOfUnfinishedHeaders(t *testing.T) {
	p := startProcess(t, headerDescriptors)
	p.addUpstream(crowdService, slots, workTime)
	p.checkOrdinary(crowdService)
	c := &crowd{t: t, address: p.entry, send: func(c net.Conn, id string) error {
		text := header(crowdService, id, "Content-Length: 1")
		_, err := io.WriteString(c, text[:len(text)-2])
		return err
	}}
	c.gather(headerCrowd)
	p.checkOrdinary(crowdService)
	p.check(headerDescriptors, 0)
}

// Guards against responses that pile up in the process and in its sockets while
// their callers don't read them.
func TestCrowdOfSlowReaders(t *testing.T) {
	checkReaders(t, bodyCrowd, largeResponse, func(c net.Conn, id string) error {
		_, err := io.WriteString(c, header(crowdService, id, "Content-Length: 0"))
		return err
	})
}

// Guards against complete responses that pile up in the sockets of connections that
// look idle: the callers send many requests at once and read nothing.
func TestCrowdOfPipeliningReaders(t *testing.T) {
	checkReaders(t, readerCrowd, pipelinedResponse, func(c net.Conn, id string) error {
		for n := range pipelined {
			if _, err := io.WriteString(c, header(crowdService, fmt.Sprint(id, "/", n), "Content-Length: 0")); err != nil {
				return err
			}
		}
		return nil
	})
}

// checkReaders checks an instance with a crowd that doesn't read its responses.
func checkReaders(t *testing.T, size, responseSize int, send func(net.Conn, string) error) {
	p := startProcess(t, bodyDescriptors)
	large := &largeUpstream{size: responseSize, written: make(map[string]*atomic.Int64)}
	server := httptest.NewServer(large)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	u := p.addUpstream(crowdService, slots, workTime)
	u.SetAddress(server.Listener.Addr().String())
	p.addUpstream(otherService, slots, workTime)
	p.checkOrdinary(otherService)
	c := &crowd{t: t, address: p.entry, slow: true, send: send}
	c.gather(size)
	// The members have sent their requests; the responses follow.
	held := int64(0)
	for began := time.Now(); time.Since(began) < gatherTimeout; time.Sleep(20 * time.Millisecond) {
		held = max(held, large.held(c))
	}
	p.checkOrdinary(crowdService)
	p.check(bodyDescriptors, held)
}

// largeUpstream responds with large bodies and counts the bytes that were taken
// from it.
type largeUpstream struct {
	size    int // of a response in bytes
	mu      sync.Mutex
	written map[string]*atomic.Int64 // by member
}

func (u *largeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	member, _, _ := strings.Cut(id, "/")
	u.mu.Lock()
	n := u.written[member]
	if n == nil {
		n = new(atomic.Int64)
		u.written[member] = n
	}
	u.mu.Unlock()
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Response-Signature", "large")
	h.Set("Server-Load", fmt.Sprintf("1,0,%d", slots))
	h.Set("Content-Length", strconv.Itoa(u.size))
	piece := make([]byte, pieceBytes)
	for rest := u.size; rest > 0; rest -= len(piece) {
		if _, err := w.Write(piece); err != nil {
			return
		}
		n.Add(int64(len(piece)))
	}
}

// held returns the number of bytes that were taken for the open connections of a
// crowd and not delivered.
func (u *largeUpstream) held(c *crowd) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	sum := int64(0)
	for id, m := range c.open {
		if n := u.written[id]; n != nil {
			sum += max(0, n.Load()-m.received.Load())
		}
	}
	return sum
}
