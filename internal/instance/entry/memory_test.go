package entry

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/membudget"
)

// smallMemory makes a server short of memory soon and its waits brief.
func smallMemory(cfg *Config) {
	cfg.Limits.CallerMemoryBytes = 1 << 20
	cfg.Times.MemoryWaitMS = 50
	cfg.Times.StallMS = 100
}

// fillMemory reserves nearly all of a server's memory for callers whose requests
// are at upstreams, but for small holders. It returns a function that returns it.
func fillMemory(t *testing.T, s *Server) func() {
	t.Helper()
	limit := int64(s.cfg.Limits.CallerMemoryBytes)
	var holders []*membudget.Holder
	for _, caller := range []string{"x", "y"} {
		h := s.budget.Open(caller, nil, time.Now())
		h.SetStage(membudget.Sent)
		if !h.Reserve(membudget.Body, limit*7/16-1) {
			t.Fatal("the memory is in use")
		}
		holders = append(holders, h)
	}
	return func() {
		for _, h := range holders {
			h.Close()
		}
	}
}

// Guards against a body that is read without memory, against a refusal that isn't
// marked as not run, and against small requests and responses that are refused
// together with large ones.
func TestBodyWithoutMemory(t *testing.T) {
	big := strings.Repeat("x", 200<<10)
	up := standin(t, "u1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/big" {
			_, _ = io.WriteString(w, big)
			return
		}
		succeed(w, r)
	})
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	s, url := startServer(t, c, smallMemory)
	free := fillMemory(t, s)
	defer free()
	body := bytes.Repeat([]byte("x"), 60<<10)
	for _, length := range []int64{int64(len(body)), -1} {
		req := request(t, http.MethodPost, url+"/read/x", body)
		req.ContentLength = length
		if resp, _ := roundTrip(t, req); length >= 0 {
			h := resp.Header
			if resp.StatusCode != http.StatusServiceUnavailable || h.Get(errkind.HeaderError) != string(errkind.MemoryShort) ||
				h.Get(errkind.HeaderRun) != string(errkind.NotRun) || h.Get("Retry-After") == "" {
				t.Errorf("status %d, header %v", resp.StatusCode, h)
			}
			if n := len(c.reported()); n != 0 {
				t.Errorf("%d attempts for a refused request", n)
			}
		} else if resp.StatusCode != http.StatusOK {
			t.Errorf("a streamed body: status %d", resp.StatusCode)
		}
	}
	if resp, got := roundTrip(t, request(t, http.MethodPost, url+"/read/x", []byte("small"))); string(got) != "small" {
		t.Errorf("a small request: status %d", resp.StatusCode)
	}
	if resp, got := roundTrip(t, request(t, http.MethodGet, url+"/read/big", nil)); string(got) != big {
		t.Errorf("a large response: status %d, %d bytes", resp.StatusCode, len(got))
	}
	free()
	if resp, got := roundTrip(t, request(t, http.MethodPost, url+"/read/x", body)); !bytes.Equal(got, body) {
		t.Errorf("after the shortage: status %d, %d bytes", resp.StatusCode, len(got))
	}
}

// Guards against refusing or damaging a single body far larger than the memory for
// callers.
func TestBodyLargerThanMemory(t *testing.T) {
	sum := make(chan [sha256.Size]byte, 1)
	up := standin(t, "u1", func(_ http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		_, _ = io.Copy(h, r.Body)
		sum <- [sha256.Size]byte(h.Sum(nil))
	})
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	_, url := startServer(t, c, smallMemory)
	body := make([]byte, 32<<20)
	_, _ = rand.Read(body)
	if resp, _ := roundTrip(t, request(t, http.MethodPost, url+"/write/x", body)); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if <-sum != sha256.Sum256(body) {
		t.Error("the body differs")
	}
}

// Guards against a body that is being sent and fails for lack of memory, and
// against taking it for replayable after its start was dropped.
func TestSentBodyGoesOnWithoutMemory(t *testing.T) {
	budget := membudget.New(membudget.Config{Limit: 100 << 10, Stall: time.Second})
	h := budget.Open("a", nil, time.Now())
	defer h.Close()
	data := bytes.Repeat([]byte("0123456789"), 100<<10)
	b := newRequestBody(&http.Request{Body: io.NopCloser(bytes.NewReader(data)), Header: http.Header{}, ContentLength: int64(len(data))}, 1<<20, h, time.Millisecond)
	defer b.close()
	if err := b.reserveFirst(); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(b.view())
	if err != nil || !bytes.Equal(got, data) {
		t.Errorf("%d of %d bytes, %v", len(got), len(data), err)
	}
	if b.replayable() {
		t.Error("the body is replayable")
	}
}

// Guards against a stalled body that keeps its upstream's slot from other requests,
// and against ending a slow body that is in nobody's way.
func TestStalledBodyGivesUpItsSlot(t *testing.T) {
	up := standin(t, "u1", succeed)
	up.HomeSlots, up.Slots = 1, 1
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	s, url := startServer(t, c, smallMemory)
	send := func() net.Conn {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		if _, err := io.WriteString(conn, "POST /write/x HTTP/1.1\r\nHost: svc\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nbody\r\n"); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the body occupies the slot", func() bool {
			st := s.service("svc")
			st.mu.Lock()
			defer st.mu.Unlock()
			return st.inFlight["u1"] == 1
		})
		return conn
	}
	slow := send()
	time.Sleep(5 * milliseconds(s.cfg.Times.StallMS))
	_, _ = io.WriteString(slow, "0\r\n\r\n")
	if got, err := io.ReadAll(slow); err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 200 ") {
		t.Errorf("a slow body: %q, %v", got, err)
	}
	stalled := send()
	if resp, _ := roundTrip(t, request(t, http.MethodGet, url+"/read/x", nil)); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d while a stalled body held the slot", resp.StatusCode)
	}
	if got, _ := io.ReadAll(stalled); strings.Contains(string(got), string(errkind.NotRun)) {
		t.Errorf("a request of which a part was sent is marked as not run: %q", got)
	}
}

// Guards against an upload that reaches an upstream after its caller has left: nothing
// reads from the caller while its long body waits for a slot.
func TestCallerLeavesWhileItsLongBodyWaits(t *testing.T) {
	for _, how := range []string{"close", "reset"} {
		t.Run(how, func(t *testing.T) {
			finish := make(chan struct{})
			release := sync.OnceFunc(func() { close(finish) })
			up := standin(t, "u1", func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/read/first" {
					t.Errorf("%s has reached the upstream", r.URL.Path)
				}
				<-finish
				succeed(w, r)
			})
			t.Cleanup(release) // also after a failure, before the upstream is closed
			up.HomeSlots, up.Slots = 1, 1
			doc := testDocument()
			doc.DeadlineMS, doc.Queue.TimeoutMS = 60_000, 60_000
			s, url := startServer(t, &fakeControl{snap: snapshotOf(doc, up)}, nil)
			first := make(chan struct{})
			go func() {
				defer close(first)
				roundTrip(t, request(t, http.MethodGet, url+"/read/first", nil))
			}()
			st := s.service("svc")
			eventually(t, "the slot is taken", func() bool { return len(s.InFlight()) == 1 })
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, "POST /write/x HTTP/1.1\r\nHost: svc\r\nContent-Length: 90000\r\n\r\n"+strings.Repeat("x", 90000))
			eventually(t, "the body waits", st.hasWaiting)
			if how == "reset" {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
			eventually(t, "the request is given up", func() bool { return !st.hasWaiting() })
			release()
			<-first
		})
	}
}

// Guards against cutting an upload that pauses while others wait for its slot, and
// against ending one that stays away, or drips, without an answer.
func TestPausedBodyInABurst(t *testing.T) {
	for _, tc := range []struct {
		name      string
		slotStall int
		drips     bool
		status    string
	}{
		{"a pause", 60_000, false, "200 OK"},
		{"no more", 400, false, "504 Gateway Timeout"},
		{"single bytes", 400, true, "504 Gateway Timeout"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			up := standin(t, "u1", succeed)
			up.HomeSlots, up.Slots = 1, 1
			c := &fakeControl{snap: snapshotOf(testDocument(), up)}
			s, url := startServer(t, c, func(cfg *Config) {
				cfg.Times.StallMS, cfg.Times.SlotStallMS = 50, tc.slotStall
			})
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(waitTimeout))
			_, _ = io.WriteString(conn, "POST /write/x HTTP/1.1\r\nHost: svc\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nbody\r\n")
			eventually(t, "the body occupies the slot", func() bool { return len(s.InFlight()) == 1 })
			waiting := make(chan struct{})
			go func() {
				defer close(waiting)
				for { // until it gets the slot; the queue refuses after a while
					if resp, _ := roundTrip(t, request(t, http.MethodGet, url+"/read/x", nil)); resp.StatusCode == http.StatusOK {
						return
					}
				}
			}()
			answered := make(chan string, 1)
			go func() {
				data, _ := io.ReadAll(conn)
				answered <- string(data)
			}()
			end := time.After(10 * milliseconds(s.cfg.Times.StallMS)) // of the pause
			tick := time.NewTicker(milliseconds(s.cfg.Times.StallMS) / 4)
			defer tick.Stop()
			for answer := ""; answer == ""; {
				select {
				case answer = <-answered:
					if !strings.HasPrefix(answer, "HTTP/1.1 "+tc.status) || strings.Contains(answer, string(errkind.NotRun)) {
						t.Errorf("answer %q", answer)
					}
				case <-end:
					if tc.status == "200 OK" {
						_, _ = io.WriteString(conn, "0\r\n\r\n")
					}
				case <-tick.C:
					if tc.drips {
						_, _ = io.WriteString(conn, "1\r\nx\r\n")
					}
				}
			}
			<-waiting
		})
	}
}

// Guards against an address whose requests at upstreams hold all memory that it may
// have: its next connection must not keep other addresses waiting.
func TestCallerAtItsLimitKeepsNobodyOut(t *testing.T) {
	c := &fakeControl{snap: snapshotOf(testDocument(), standin(t, "u1", succeed))}
	s, url := startServer(t, c, smallMemory)
	for _, sixteenths := range []float64{11, 0.5, 0.5} { // the last one is for small holders
		h := s.budget.Open("127.0.0.1", nil, time.Now())
		defer h.Close()
		h.SetStage(membudget.Sent)
		if !h.Reserve(membudget.Body, int64(sixteenths*float64(s.cfg.Limits.CallerMemoryBytes)/16)) {
			t.Fatal("the memory is in use")
		}
	}
	call := func(from string) string {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		conn, err := d.DialContext(t.Context(), "tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		_, _ = io.WriteString(conn, "GET /read/x HTTP/1.1\r\nHost: svc\r\nConnection: close\r\n\r\n")
		got, _ := io.ReadAll(conn)
		return string(got)
	}
	if got := call("127.0.0.1"); got != "" {
		t.Errorf("the large caller got %q", got)
	}
	if got := call("127.0.0.2"); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
		t.Errorf("another caller got %q", got)
	}
}

// Guards against a client that evades its share or uses another caller's by naming
// an account, and against one that does so with the addresses of its IPv6 site.
func TestMemoryIsChargedToTheAddress(t *testing.T) {
	for _, tc := range []struct{ address, want string }{
		{"192.0.2.7:1234", "192.0.2.7"},
		{"[::ffff:192.0.2.7]:1234", "192.0.2.7"},
		{"[2001:db8:1:2:3:4:5:6]:1234", "2001:db8:1:2::/64"},
	} {
		a, err := net.ResolveTCPAddr("tcp", tc.address)
		if err != nil {
			t.Fatal(err)
		}
		if got := membudget.CallerOf(a); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.address, got, tc.want)
		}
	}
}

// Guards against memory of a request that only comes back when its connection is
// closed.
func TestMemoryReturnsWhileConnectionStaysOpen(t *testing.T) {
	up := standin(t, "u1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/fails" {
			w.WriteHeader(http.StatusInternalServerError)
		}
		succeed(w, r)
	})
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	s, url := startServer(t, c, func(cfg *Config) { cfg.Times.HeaderMS = 60_000 }) // idle connections stay open
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	body := bytes.Repeat([]byte("x"), 60<<10)
	for _, path := range []string{"/read/x", "/write/x", "/read/fails", "/nowhere", "/small"} {
		for _, length := range []int64{int64(len(body)), -1} {
			req := request(t, http.MethodPost, url+path, body)
			req.ContentLength = length
			resp, err := transport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			eventually(t, "the memory of "+path+" is returned", func() bool {
				s.callers.mu.Lock()
				connections := len(s.callers.idle) + len(s.callers.active)
				s.callers.mu.Unlock()
				used, _ := s.budget.Used()
				return used == int64(connections)*connectionBytes
			})
		}
	}
}

// Guards against bytes that a caller sends ahead while it doesn't read its response:
// they pile up in the operating system without being counted.
func TestBytesSentAheadAreCharged(t *testing.T) {
	const ahead = 40 << 10
	up := standin(t, "u1", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 4<<20)) })
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	s, url := startServer(t, c, smallMemory)
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	if _, err := io.WriteString(conn, "GET /read/x HTTP/1.1\r\nHost: svc\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	var charged *membudget.Holder
	eventually(t, "the response is being written", func() bool {
		for _, h := range s.budget.Holding(membudget.Socket, membudget.Writing) {
			charged = h
		}
		return charged != nil
	})
	if _, err := conn.Write(make([]byte, ahead)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the bytes sent ahead are charged", func() bool {
		// net/http reads ahead itself, at most its first buffer.
		return charged.Reserved(membudget.Socket) >= charged.Owner.(*callerConn).unsent()+ahead-firstRead
	})
	asking := s.budget.Open("z", nil, time.Now())
	defer asking.Close()
	r, ok := asking.ReserveOrWait(membudget.Body, int64(s.cfg.Limits.CallerMemoryBytes)*11/16)
	if !ok || r == nil {
		t.Fatalf("the reservation doesn't wait, refused: %t", !ok)
	}
	select {
	case <-r.Granted():
	case <-time.After(waitTimeout):
		t.Error("the caller was not evicted")
	}
}

// Guards against a queue that is full of requests whose long bodies don't come, so
// that other requests from the same address are refused.
func TestUnreceivedBodiesLeaveRoomInTheQueue(t *testing.T) {
	up := standin(t, "u1", succeed)
	up.HomeSlots, up.Slots = 1, 1
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	s, url := startServer(t, c, smallMemory)
	st := s.service("svc")
	queued := func() int {
		st.mu.Lock()
		defer st.mu.Unlock()
		return st.queue.Len()
	}
	receiving := func() int {
		n := 0
		for _, h := range s.budget.Holding(membudget.Connection, membudget.Receiving) {
			if h.Owner != nil {
				n++
			}
		}
		return n
	}
	const quota = 64 / callerQuotaDivisor
	for n := range quota + 1 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, "POST /write/x HTTP/1.1\r\nHost: svc\r\nContent-Length: 1000000\r\n\r\npart"); err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			eventually(t, "the slot is taken", func() bool {
				st.mu.Lock()
				defer st.mu.Unlock()
				return st.inFlight["u1"] == 1
			})
		}
	}
	eventually(t, "requests are queued or their bodies awaited", func() bool { return queued()+receiving() > quota/2 })
	if resp, _ := roundTrip(t, request(t, http.MethodGet, url+"/read/x", nil)); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, kind %s", resp.StatusCode, resp.Header.Get(errkind.HeaderError))
	}
}

// Guards against a response that is cut off because its caller is slow while memory
// is short.
func TestSlowReaderGetsItsResponseWithoutMemory(t *testing.T) {
	big := bytes.Repeat([]byte("x"), 200<<10)
	up := standin(t, "u1", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(big) })
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	s, url := startServer(t, c, func(cfg *Config) {
		smallMemory(cfg)
		cfg.Times.StallMS = 2_000 // TCP pauses for longer than 100 ms with such a small buffer
	})
	defer fillMemory(t, s)()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(conn, "GET /read/x HTTP/1.1\r\nHost: svc\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	total := 0
	for piece := make([]byte, 4<<10); ; time.Sleep(time.Millisecond) {
		n, err := resp.Body.Read(piece)
		total += n
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatalf("%v after %d bytes", err, total)
		}
	}
	if total != len(big) {
		t.Errorf("%d of %d bytes", total, len(big))
	}
}
