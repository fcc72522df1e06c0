package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case.
const (
	crowdClients   = 300
	crowdBodyBytes = 500_000
	crowdTime      = 20 * time.Second
	crowdWork      = 4200 * time.Millisecond
	crowdTargets   = 60
	crowdSlots     = 3
	crowdTimeout   = 6 * time.Second
	crowdTimeLimit = 12 * time.Second

	ordinaryTargets   = 4
	ordinaryCallers   = 10
	ordinaryPause     = 200 * time.Millisecond
	ordinaryWork      = 320 * time.Millisecond
	ordinaryTimeout   = 2500 * time.Millisecond
	ordinaryTimeLimit = 5 * time.Second

	// answerGrace is the time after the route's timeout within which most requests
	// must have an answer.
	answerGrace = 500 * time.Millisecond
	// lateFew is the number of requests without one that is not judged.
	lateFew = 10
)

// tally counts how requests ended.
type tally struct{ inTime, inGrace, unanswered, closed atomic.Int64 }

// add counts a request that ended with a after some time.
func (t *tally) add(a answer, took, timeout time.Duration) {
	switch {
	case took >= timeout+answerGrace:
		t.unanswered.Add(1)
	case a.err != nil:
		t.closed.Add(1)
	case took <= timeout:
		t.inTime.Add(1)
	default:
		t.inGrace.Add(1)
	}
}

func (t *tally) String() string {
	return fmt.Sprintf("%d answered in time, %d in the half second after the timeout, %d unanswered by then, %d closed", t.inTime.Load(), t.inGrace.Load(), t.unanswered.Load(), t.closed.Load())
}

// crowd sends many large bodies from one address while ordinary callers at other
// addresses look readings up.
func crowd(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	for n := range crowdTargets + ordinaryTargets {
		service, work := "bulletinboard", crowdWork
		if n >= crowdTargets {
			service, work = "gaugebook", ordinaryWork
		}
		id := fmt.Sprintf("i-%d", n+1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		slots := make(chan struct{}, crowdSlots)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			slots <- struct{}{}
			defer func() { <-slots }()
			time.Sleep(work)
			w.Header().Set(protocol.RequestID, r.Header.Get(protocol.RequestID))
			w.Header().Set(protocol.Signature, "review."+id)
			_, _ = io.WriteString(w, id)
		})}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		f.register(id, l.Addr().String(), service, "south-hobart", crowdSlots)
	}
	if err := f.configure(
		route{"/rosters/", "safe", "6000ms", "4000ms", "bulletinboard"}, route{"/gauges/", "safe", "2500ms", "1200ms", "gaugebook"},
	); err != nil {
		return false, err
	}
	i, err := f.addInstance("south-hobart")
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // in touch: longer than the stable window

	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var running sync.WaitGroup
	var crowded, ordinary tally
	if trouble {
		rec.add("the crowd begins")
		for n := range crowdClients {
			running.Go(func() {
				for k := 0; ctx.Err() == nil; k++ {
					began := time.Now()
					a := sendCrowd(i.entry, fmt.Sprintf("crowd-%d-%d", n, k))
					crowded.add(a, time.Since(began), crowdTimeout)
				}
			})
		}
	}
	for n := range ordinaryCallers {
		address := net.IPv4(127, 0, 1, byte(n+1))
		running.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("reading-%d-%d", n+1, k)
				began := time.Now()
				a := lookUp(address, i.entry, id)
				took := time.Since(began)
				ordinary.add(a, took, ordinaryTimeout)
				rec.add("%s: status %d, signature %q, error %v, after %.3f s", id, a.status, a.signature, a.err, took.Seconds())
				time.Sleep(ordinaryPause)
			}
		})
	}
	running.Wait()
	f.copyLogs("callers_evicted")
	rec.conclude("the crowd's requests: %v", &crowded)
	rec.conclude("CONFIG: the other callers' requests: %v", &ordinary)
	late := ordinary.unanswered.Load() + crowded.unanswered.Load()
	answered := ordinary.inGrace.Load() + crowded.inGrace.Load()
	return ordinary.unanswered.Load() > lateFew && late > answered, nil
}

// sendCrowd sends a large body.
func sendCrowd(entry, id string) answer {
	c, err := net.Dial("tcp", entry)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(crowdTimeLimit))
	if _, err := io.WriteString(c, head(http.MethodPost, "/rosters/"+id, id, crowdTimeLimit, crowdBodyBytes)+strings.Repeat("p", crowdBodyBytes)); err != nil {
		return answer{err: err}
	}
	return receive(c, http.MethodPost)
}

// lookUp sends an ordinary request on a new connection from an address, and waits for
// the answer until half a second after the route's timeout.
func lookUp(from net.IP, entry, id string) answer {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}, Timeout: ordinaryTimeout}
	c, err := d.Dial("tcp", entry)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(ordinaryTimeout + answerGrace))
	_, _ = io.WriteString(c, head(http.MethodGet, "/gauges/"+id, id, ordinaryTimeLimit, 0))
	return receive(c, http.MethodGet)
}
