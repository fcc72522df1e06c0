package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// arrival is how a request reaches an instance that is stopping.
type arrival int

const (
	keptConnection   arrival = iota // on a connection that has served a request before
	unusedConnection                // on a connection opened earlier, as its first request
	slowBody                        // its header and half of its body came earlier
	newConnection                   // on a connection opened for it
	arrivalKinds
)

func (a arrival) String() string {
	return [...]string{"kept connection", "unused connection", "slow body", "new connection"}[a]
}

// lateRequest is a request that an instance gets at a time after the signal to stop.
type lateRequest struct {
	arrival arrival
	at      time.Duration // after the signal
	conn    net.Conn
	outcome outcome
}

const lateBody = "0123456789"

// head returns the header of the request. It keeps the connection open.
func (r *lateRequest) head() string {
	return fmt.Sprintf("POST /slow/x HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: %s\r\nDeadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", r.outcome.id, len(lateBody))
}

// dial opens the connection. A connection that is refused is no failure.
func (r *lateRequest) dial(address string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		r.outcome.err = err
		return
	}
	r.conn = c
}

// write sends a part of the request and reports whether that was possible.
func (r *lateRequest) write(text string) bool {
	if r.conn == nil {
		return false
	}
	_, err := io.WriteString(r.conn, text)
	if err != nil {
		r.outcome.err = err
	}
	return err == nil
}

// read reads the response into an outcome.
func (r *lateRequest) read(o *outcome) {
	resp, err := http.ReadResponse(bufio.NewReader(r.conn), nil)
	if err != nil {
		o.err = err
		return
	}
	data, err := io.ReadAll(resp.Body)
	o.status, o.body, o.signed, o.err = resp.StatusCode, string(data), resp.Header.Get("Response-Signature") != "", err
}

// Guards against requests that reach an instance late in its planned stop, are
// passed on and are then cut off: each one that an upstream runs gets its response,
// and all others are refused or not read. Callers use a connection until it is
// closed, and the instance is the only one that stops.
func TestRequestsLateInPlannedStopAreNotCut(t *testing.T) {
	const (
		work     = time.Second
		interval = 100 * time.Millisecond // between requests of one kind
		// lastOpened is when the last connection is opened in advance; until then the
		// instance accepts connections.
		lastOpened = 2700 * time.Millisecond
	)
	f := newFleet(t, 17)
	f.mu.Lock()
	f.routes["/slow/"], f.timeout = "slow", 8*time.Second // longer than the stop takes
	f.mu.Unlock()
	f.putConfiguration(1)
	f.addUpstreamOf("slow", 300, work)
	for _, i := range f.instances {
		f.eventually("ready after the start: "+i.name, i.isReady)
	}
	stopped := f.instances[0]
	var all []*lateRequest
	for at := time.Duration(0); at < gracePeriod+interval; at += interval {
		for kind := range arrivalKinds {
			id := fmt.Sprintf("late-%d-%d", kind, at.Milliseconds())
			all = append(all, &lateRequest{arrival: kind, at: at, outcome: outcome{id: id, requestBytes: len(lateBody), startedAt: time.Now()}})
		}
	}
	var warm sync.WaitGroup
	for _, r := range all {
		if r.arrival != keptConnection {
			continue
		}
		warm.Go(func() {
			r.dial(stopped.entry)
			first := &lateRequest{conn: r.conn, outcome: outcome{id: checkPrefix + r.outcome.id}}
			if first.write(first.head() + lateBody) {
				first.read(&first.outcome)
			}
			if !first.outcome.served() {
				t.Errorf("before the stop: status %d, error %v", first.outcome.status, first.outcome.err)
			}
		})
	}
	warm.Wait()
	f.logEvent("%s gets SIGTERM", stopped.name)
	signaled := time.Now()
	stopped.signal(syscall.SIGTERM)
	var wg sync.WaitGroup
	for _, r := range all {
		wg.Go(func() {
			early, late := "", r.head()+lateBody
			if r.arrival == slowBody {
				half := len(late) - len(lateBody)/2
				early, late = late[:half], late[half:]
			}
			if r.arrival == unusedConnection || r.arrival == slowBody {
				wait(t.Context(), time.Until(signaled.Add(min(r.at, lastOpened))))
				r.dial(stopped.entry)
			}
			if early != "" && !r.write(early) {
				return
			}
			wait(t.Context(), time.Until(signaled.Add(r.at)))
			if r.arrival == newConnection {
				r.dial(stopped.entry)
			}
			if r.write(late) {
				r.read(&r.outcome)
			}
		})
	}
	wg.Wait()
	<-stopped.done()
	f.checkLateRequests(all)
}

// checkLateRequests reports the requests that ran and did not get their response.
func (f *fleet) checkLateRequests(all []*lateRequest) {
	runs := f.runs()
	var outcomes []outcome
	var served, refused, unread [arrivalKinds]int
	for _, r := range all {
		if r.conn != nil {
			_ = r.conn.Close()
		}
		o := &r.outcome
		outcomes = append(outcomes, *o)
		switch {
		case o.served():
			served[r.arrival]++
		case runs[o.id] > 0:
			f.t.Errorf("%v after the signal, %v: the request ran and got status %d, error %v, %s", r.at, r.arrival, o.status, o.err, strings.TrimSpace(o.body))
		case o.notRun():
			refused[r.arrival]++
		case o.status != 0:
			f.t.Errorf("%v after the signal, %v: the request did not run and got status %d, %s", r.at, r.arrival, o.status, strings.TrimSpace(o.body))
		default:
			unread[r.arrival]++
		}
	}
	for kind := range arrivalKinds {
		f.t.Logf("%v: %d served, %d refused, %d not read", kind, served[kind], refused[kind], unread[kind])
	}
	f.checkOutcomes(outcomes)
}
