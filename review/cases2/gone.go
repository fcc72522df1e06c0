package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	goneUploads   = 900
	goneInterval  = 50 * time.Millisecond
	goneBodyBytes = 1_000_000
	goneShare     = 0.2 // of the callers leave
	goneWithin    = 300 * time.Millisecond
	goneWork      = 620 * time.Millisecond
	goneSlots     = 3
	goneTargets   = 2
	goneTimeLimit = 8 * time.Second
	// goneReach is the time after the close of a caller from which its request must
	// not reach a target any more, but for goneFew requests.
	goneReach = 500 * time.Millisecond
	goneFew   = 5
)

// arrivalTarget records when requests arrive.
type arrivalTarget struct {
	rec   *record
	id    string
	slots chan struct{}

	mu       sync.Mutex
	arrivals map[string]time.Time
}

func (t *arrivalTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(protocol.RequestID)
	t.mu.Lock()
	t.arrivals[id] = time.Now()
	t.mu.Unlock()
	t.rec.add("target %s: %s arrives", t.id, id)
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	t.rec.add("target %s begins to work on %s", t.id, id)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		t.rec.add("target %s: the body of %s ends after %d bytes: %v", t.id, id, n, err)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(goneWork)
	text := fmt.Sprintf("%s stored %d bytes of %s", t.id, n, id)
	w.Header().Set(protocol.RequestID, id)
	w.Header().Set(protocol.Signature, "review."+t.id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}

// gone has callers leave while their uploads wait for a slot.
func gone(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	var targets []*arrivalTarget
	for n := range goneTargets {
		t := &arrivalTarget{rec: rec, id: fmt.Sprintf("i-%d", n+1), slots: make(chan struct{}, goneSlots), arrivals: map[string]time.Time{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		server := &http.Server{Handler: t}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		f.register(t.id, l.Addr().String(), "photos", "south-hobart", goneSlots)
		targets = append(targets, t)
	}
	if err := f.configure(route{"/photos/", "upload", "8000ms", "3000ms", "photos"}); err != nil {
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

	var mu sync.Mutex
	left := make(map[string]time.Time)
	statuses := make(map[int]int)
	var callers sync.WaitGroup
	for n := range goneUploads {
		id := fmt.Sprintf("upload-%d", n+1)
		leaves := trouble && rand.Float64() < goneShare
		after := time.Duration(rand.Float64() * float64(goneWithin))
		callers.Go(func() {
			c, err := net.Dial("tcp", i.entry)
			if err != nil {
				rec.add("%s: not connected: %v", id, err)
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(goneTimeLimit))
			if leaves {
				t := time.AfterFunc(after, func() {
					_ = c.(*net.TCPConn).SetLinger(0) // the close reaches the instance at once
					_ = c.Close()
					mu.Lock()
					defer mu.Unlock()
					left[id] = time.Now()
					rec.add("%s: the caller has closed its connection", id)
				})
				defer t.Stop()
			}
			go func() {
				_, _ = io.WriteString(c, head(http.MethodPost, "/photos/"+id, id, goneTimeLimit, goneBodyBytes)+strings.Repeat("p", goneBodyBytes))
			}()
			a := receive(c, http.MethodPost)
			rec.add("%s: status %d, signature %q, %q, error %v", id, a.status, a.signature, strings.TrimSpace(a.body), a.err)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
		})
		time.Sleep(goneInterval)
	}
	callers.Wait()
	time.Sleep(2 * time.Second)
	late := 0
	for _, t := range targets {
		t.mu.Lock()
		for id, at := range t.arrivals {
			mu.Lock()
			closed, ok := left[id]
			mu.Unlock()
			if ok && at.Sub(closed) > goneReach {
				late++
				rec.add("%s reached target %s %.3f s after its caller had closed the connection", id, t.id, at.Sub(closed).Seconds())
			}
		}
		t.mu.Unlock()
	}
	rec.conclude("statuses: %v", statuses)
	rec.conclude("GONE: of %d callers that left, the requests of %d reached a target over half a second later", len(left), late)
	return late > goneFew, nil
}
