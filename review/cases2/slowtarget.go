package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case.
const (
	slowUploads   = 16
	slowBodyBytes = 360_000 // the largest photo of the site
	slowWork      = 2800 * time.Millisecond
	slowTimeLimit = 5 * time.Second
	slowGrace     = 6 * time.Second
	slowSlots     = 6
	slowTargets   = 4
	// readAhead is how much a target that reads slowly reads before its work.
	readAhead = 32 << 10
)

// workingTarget works on an upload for slowWork and answers once it has read all of it.
type workingTarget struct {
	rec   *record
	id    string
	slots chan struct{}
	slow  bool // reads most of the body only after its work

	mu   sync.Mutex
	runs map[string]*targetRun
}

// targetRun is the work on one request.
type targetRun struct {
	began, ended time.Time
	broken       time.Time // when the target noticed that the connection had ended
	answered     bool
}

func (t *workingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(protocol.RequestID)
	w.Header().Set(protocol.RequestID, id)
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	run := &targetRun{began: time.Now()}
	t.mu.Lock()
	t.runs[id] = run
	t.mu.Unlock()
	t.rec.add("target %s begins to work on %s", t.id, id)
	read := int64(0)
	if t.slow {
		n, _ := io.CopyN(io.Discard, r.Body, readAhead)
		read += n
	} else {
		n, _ := io.Copy(io.Discard, r.Body)
		read += n
	}
	time.Sleep(slowWork)
	n, err := io.Copy(io.Discard, r.Body)
	read += n
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		run.broken = time.Now()
		t.rec.add("target %s: the connection of %s ended after %d bytes: %v", t.id, id, read, err)
		panic(http.ErrAbortHandler)
	}
	text := fmt.Sprintf("%s stored %d bytes of %s", t.id, read, id)
	w.Header().Set(protocol.Signature, "review."+t.id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
	run.ended, run.answered = time.Now(), true
	t.rec.add("target %s has answered %s", t.id, id)
}

// upload is one request of a caller.
type upload struct {
	id          string
	sent, ended time.Time
	answer      answer
}

// slowTarget stops an instance as planned while targets work on uploads.
func slowTarget(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	var targets []*workingTarget
	for n := range slowTargets {
		t := &workingTarget{rec: rec, id: fmt.Sprintf("i-%d", n+1), slots: make(chan struct{}, slowSlots), slow: trouble, runs: map[string]*targetRun{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		server := &http.Server{Handler: t}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		f.register(t.id, l.Addr().String(), "photos", "south-hobart", slowSlots)
		targets = append(targets, t)
	}
	if err := f.configure(route{"/photos/", "upload", "5000ms", "2000ms", "photos"}); err != nil {
		return false, err
	}
	for _, zone := range []string{"south-hobart", "south-huon"} {
		if _, err := f.addInstance(zone); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // in touch: longer than the stable window

	stopped := f.instances[0]
	uploads := make([]*upload, slowUploads)
	var callers sync.WaitGroup
	var term time.Time
	for n := range uploads {
		if n == slowUploads/2 {
			term = time.Now()
			rec.add("SIGTERM to %s", stopped.name)
			stopped.signal(syscall.SIGTERM)
		}
		u := &upload{id: fmt.Sprintf("upload-%d", n+1)}
		uploads[n] = u
		callers.Go(func() { u.send(rec, stopped.entry) })
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	f.copyLogs("request_failed")
	broken := 0
	for _, u := range uploads {
		if u.isBrokenOff(rec, targets, term) {
			broken++
		}
	}
	rec.conclude("LOST: %d of %d uploads were broken off around the planned stop while their target was at work", broken, slowUploads)
	return broken > 0, nil
}

func (u *upload) send(rec *record, entry string) {
	ctx, cancel := context.WithTimeout(context.Background(), slowTimeLimit)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", entry)
	if err != nil {
		u.answer.err, u.ended = err, time.Now()
		rec.add("%s: not connected: %v", u.id, err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(slowTimeLimit))
	rec.add("%s is sent to %s", u.id, entry)
	text := head(http.MethodPost, "/photos/"+u.id, u.id, slowTimeLimit, slowBodyBytes) + strings.Repeat("p", slowBodyBytes)
	if _, err := io.WriteString(c, text); err != nil {
		u.answer.err, u.ended = err, time.Now()
		rec.add("%s: not sent: %v", u.id, err)
		return
	}
	u.sent = time.Now()
	u.answer = receive(c, http.MethodPost)
	u.ended = time.Now()
	rec.add("%s gets status %d, signature %q, %q, error %v, %.3f s after it was sent", u.id, u.answer.status, u.answer.signature, strings.TrimSpace(u.answer.body), u.answer.err, u.ended.Sub(u.sent).Seconds())
}

// isBrokenOff reports whether the upload was cut, or answered by the instance itself,
// while its target was at work and neither the time limit nor the end of the grace
// period excuses that.
func (u *upload) isBrokenOff(rec *record, targets []*workingTarget, term time.Time) bool {
	if u.sent.IsZero() || u.answer.signature != "" && u.answer.err == nil {
		return false
	}
	lastSixth := term.Add(slowGrace - slowGrace/6)
	switch {
	case u.ended.Sub(u.sent) >= slowTimeLimit, u.ended.After(lastSixth):
		return false
	case u.ended.Before(term): // before the planned work
		return false
	}
	for _, t := range targets {
		t.mu.Lock()
		run := t.runs[u.id]
		t.mu.Unlock()
		if run == nil || run.answered {
			continue
		}
		rec.add("%s was broken off %.3f s after the SIGTERM; target %s had begun %.3f s before", u.id, u.ended.Sub(term).Seconds(), t.id, u.ended.Sub(run.began).Seconds())
		return true
	}
	return false
}
