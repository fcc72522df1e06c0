package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// target is a server of the users: it runs slots requests at a time, queues a few
// more and refuses the rest.
type target struct {
	run               *run
	id, service, zone string
	slots, queue      int
	work              time.Duration
	address           string
	born              int64

	// late, if set, decides whether a second copy of a refusal is sent at the
	// point where the next answer on the connection is expected.
	late func(t *target, path string, refusal bool) bool

	listener  net.Listener
	cond      *sync.Cond // guards the fields below
	running   int
	waiting   int
	state     string
	sequence  int
	conns     map[net.Conn]bool
	closed    bool
	arrivals  []arrival
	wanted    time.Duration // Retry-After of the refusals until turnUntil
	turnUntil time.Time
}

// arrival is a request that has reached a target.
type arrival struct {
	id         string
	at         time.Time
	ran        bool
	turnedAway bool // with the request for nothing for a time
}

// addTarget starts a target and registers it.
func (r *run) addTarget(t target) *target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.failf("%v", err)
	}
	t.run, t.listener, t.address, t.born = r, l, l.Addr().String(), time.Now().UnixMilli()
	t.cond, t.conns, t.state = sync.NewCond(new(sync.Mutex)), make(map[net.Conn]bool), "ready"
	out := &t
	r.targets = append(r.targets, out)
	go out.accept()
	out.register("ready")
	return out
}

func (t *target) key() string { return "servers/" + t.id }

// register writes the target's entry and returns when the store has confirmed it.
func (t *target) register(state string) time.Time {
	t.cond.L.Lock()
	t.sequence++
	t.state = state
	entry := fmt.Sprintf(names["entry"], t.address, t.born, t.service, t.zone, t.slots, state, t.sequence)
	t.cond.L.Unlock()
	at := t.run.store.put(t.key(), entry)
	t.run.note("store: %s of %s is %s", t.id, t.service, state)
	return at
}

func (t *target) close() {
	_ = t.listener.Close()
	t.cond.L.Lock()
	defer t.cond.L.Unlock()
	t.closed = true
	for c := range t.conns {
		_ = c.Close()
	}
}

func (t *target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.cond.L.Lock()
		closed := t.closed
		t.conns[c] = true
		t.cond.L.Unlock()
		if closed {
			_ = c.Close()
			return
		}
		go t.serve(c)
	}
}

// idleClose is the idle time after which a target closes a connection.
const idleClose = 10 * time.Second

func (t *target) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		t.cond.L.Lock()
		delete(t.conns, c)
		t.cond.L.Unlock()
	}()
	br := bufio.NewReader(c)
	var second string // copy of the previous answer
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleClose))
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(names["requestID"])
		if second != "" {
			t.run.note("%s: second copy of the refusal of the request before, ahead of the answer to %s", t.id, id)
			if _, err := io.WriteString(c, second); err != nil {
				return
			}
			second = ""
		}
		answer, refusal := t.answer(req, id)
		if _, err := io.WriteString(c, answer); err != nil {
			t.run.note("%s: the answer to %s could not be sent", t.id, id)
			return
		}
		t.cond.L.Lock()
		if t.late != nil && t.late(t, req.URL.Path, refusal) {
			second = answer
		}
		t.cond.L.Unlock()
	}
}

// answer runs or refuses a request and returns the answer.
func (t *target) answer(req *http.Request, id string) (text string, refusal bool) {
	began := time.Now()
	if want := req.Header.Get(names["expect"]); want != "" && want != t.id {
		t.arrived(id, began, false)
		t.run.note("%s: %s expects another instance, 421", t.id, id)
		return t.format(id, http.StatusMisdirectedRequest, "", names["instance"]+": "+t.id), true
	}
	ms, err := strconv.Atoi(req.Header.Get(names["deadline"]))
	if err != nil {
		ms = 1000
	}
	if wanted := t.turnsAway(); wanted > 0 {
		t.cond.L.Lock()
		t.arrivals = append(t.arrivals, arrival{id: id, at: began, turnedAway: true})
		t.cond.L.Unlock()
		t.run.note("%s: %s is turned away, nothing is wanted for %v", t.id, id, wanted)
		return t.format(id, http.StatusServiceUnavailable, "", names["notRun"]+": 1", fmt.Sprintf("Retry-After: %g", wanted.Seconds())), true
	}
	if !t.take(began.Add(time.Duration(ms) * time.Millisecond)) {
		t.arrived(id, began, false)
		t.run.note("%s: %s is refused, not run", t.id, id)
		return t.format(id, http.StatusServiceUnavailable, "", names["notRun"]+": 1"), true
	}
	t.arrived(id, began, true)
	t.run.note("%s (%s): runs %s %s %s", t.id, t.service, req.Method, req.URL.Path, id)
	time.Sleep(t.work)
	t.cond.L.Lock()
	t.running--
	t.cond.Broadcast()
	t.cond.L.Unlock()
	return t.format(id, http.StatusOK, t.id+" ran "+id, names["signature"]+": s."+t.id+"."+id), false
}

// take takes a slot, waiting for one if the queue has room.
func (t *target) take(until time.Time) bool {
	t.cond.L.Lock()
	defer t.cond.L.Unlock()
	if t.running < t.slots {
		t.running++
		return true
	}
	if t.waiting >= t.queue {
		return false
	}
	t.waiting++
	defer func() { t.waiting-- }()
	timer := time.AfterFunc(time.Until(until), t.cond.Broadcast)
	defer timer.Stop()
	for t.running >= t.slots {
		if !time.Now().Before(until) {
			return false
		}
		t.cond.Wait()
	}
	t.running++
	return true
}

// turnAway makes the target turn requests away for a time, and ask for no others
// for the time wanted.
func (t *target) turnAway(wanted, d time.Duration) {
	t.cond.L.Lock()
	defer t.cond.L.Unlock()
	t.wanted, t.turnUntil = wanted, time.Now().Add(d)
}

// turnsAway returns the time for which the target wants nothing, 0 if it takes
// requests.
func (t *target) turnsAway() time.Duration {
	t.cond.L.Lock()
	defer t.cond.L.Unlock()
	if time.Now().After(t.turnUntil) {
		return 0
	}
	return t.wanted
}

func (t *target) arrived(id string, at time.Time, ran bool) {
	t.cond.L.Lock()
	defer t.cond.L.Unlock()
	t.arrivals = append(t.arrivals, arrival{id: id, at: at, ran: ran})
}

// format returns an answer.
func (t *target) format(id string, status int, body string, headers ...string) string {
	t.cond.L.Lock()
	headers = append(headers, fmt.Sprintf("%s: %d,%d,%d", names["load"], t.running, t.waiting, t.slots))
	t.cond.L.Unlock()
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), names["requestID"], id, strings.Join(headers, "\r\n"), len(body), body)
}

// seen returns the requests that have reached the target.
func (t *target) seen() []arrival {
	t.cond.L.Lock()
	defer t.cond.L.Unlock()
	return append([]arrival(nil), t.arrivals...)
}

// runsByID returns how often each request has run, and where.
func (r *run) runsByID() map[string][]string {
	out := make(map[string][]string)
	for _, t := range r.targets {
		for _, a := range t.seen() {
			if a.ran {
				out[a.id] = append(out[a.id], t.id)
			}
		}
	}
	return out
}
