package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	stalledUploads   = 11
	stalledPause     = 2500 * time.Millisecond // between the two chunks of a body
	stalledChunk     = 30_000
	stalledTimeLimit = 5 * time.Second
	stalledWork      = 570 * time.Millisecond
	stalledSlots     = 6
	stalledTargets   = 2
	stalledFew       = 3
	stalledRounds    = 3
	// usualRate is the number of photos per second, and burstFactor the factor during
	// a burst.
	usualRate   = 6.5
	burstFactor = 1.7
	burstTime   = 3 * time.Second
)

// chunkTarget takes a slot for a request, reads its body, works and answers.
type chunkTarget struct {
	rec   *record
	id    string
	slots chan struct{}

	mu     sync.Mutex
	passed map[string]bool // requests that have arrived
}

func (t *chunkTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(protocol.RequestID)
	t.mu.Lock()
	t.passed[id] = true
	t.mu.Unlock()
	t.rec.add("target %s: %s arrives", t.id, id)
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		t.rec.add("target %s: the body of %s ends after %d bytes: %v", t.id, id, n, err)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(stalledWork)
	text := fmt.Sprintf("%s stored %d bytes of %s", t.id, n, id)
	w.Header().Set(protocol.RequestID, id)
	w.Header().Set(protocol.Signature, "review."+t.id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}

// stalled has callers pause in their uploads while a burst of requests arrives.
func stalled(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	var targets []*chunkTarget
	for n := range stalledTargets {
		t := &chunkTarget{rec: rec, id: fmt.Sprintf("i-%d", n+1), slots: make(chan struct{}, stalledSlots+2), passed: map[string]bool{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		server := &http.Server{Handler: t}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		f.register(t.id, l.Addr().String(), "photos", "south-hobart", stalledSlots)
		targets = append(targets, t)
	}
	if err := f.configure(route{"/photos/", "upload", "5000ms", "2000ms", "photos"}); err != nil {
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

	cut := 0
	for n := range stalledRounds {
		cut += stalledRound(rec, targets, i.entry, n+1, trouble)
	}
	f.copyLogs("callers_evicted")
	rec.conclude("LOST: %d of %d uploads on kept connections were passed on, and their connections closed without an answer", cut, stalledRounds*stalledUploads)
	return cut > stalledFew, nil
}

// stalledRound returns how many uploads of a round were cut.
func stalledRound(rec *record, targets []*chunkTarget, entry string, round int, trouble bool) int {
	var callers sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for n := range stalledUploads {
		callers.Go(func() {
			if isCut(rec, targets, entry, fmt.Sprintf("%d-%d", round, n+1)) {
				mu.Lock()
				defer mu.Unlock()
				cut++
			}
		})
	}
	time.Sleep(900 * time.Millisecond) // the connections are kept, and the uploads have begun
	rate := usualRate
	if trouble {
		rate *= burstFactor
		rec.add("a burst begins: %.1f requests per second", rate)
	}
	statuses := map[int]int{}
	for n := range int(rate * burstTime.Seconds()) {
		id := fmt.Sprintf("photo-%d-%d", round, n+1)
		callers.Go(func() {
			c, err := net.Dial("tcp", entry)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(stalledTimeLimit))
			_, _ = io.WriteString(c, head(http.MethodPost, "/photos/"+id, id, stalledTimeLimit, 60_000)+strings.Repeat("p", 60_000))
			a := receive(c, http.MethodPost)
			rec.add("%s: status %d, error %v", id, a.status, a.err)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	callers.Wait()
	rec.conclude("round %d: statuses of the other requests: %v, cut uploads: %d", round, statuses, cut)
	return cut
}

// isCut sends a request and then an upload on the same connection, and reports whether
// the connection was closed without an answer to the upload after it was passed on.
func isCut(rec *record, targets []*chunkTarget, entry, name string) bool {
	c, err := net.Dial("tcp", entry)
	if err != nil {
		rec.add("caller %s is not connected: %v", name, err)
		return false
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	id := "first-" + name
	_, _ = io.WriteString(c, head(http.MethodPost, "/photos/"+id, id, stalledTimeLimit, 100)+strings.Repeat("p", 100))
	if a := receive(reader, http.MethodPost); a.status != http.StatusOK {
		rec.add("%s: status %d, error %v", id, a.status, a.err)
		return false
	}
	id = "upload-" + name
	_ = c.SetDeadline(time.Now().Add(stalledTimeLimit))
	rec.add("%s: the first part is sent", id)
	started := time.Now()
	chunk := fmt.Sprintf("%x\r\n%s\r\n", stalledChunk, strings.Repeat("p", stalledChunk))
	text := strings.TrimSuffix(head(http.MethodPost, "/photos/"+id, id, stalledTimeLimit, 0), "\r\n") + "Transfer-Encoding: chunked\r\n\r\n"
	_, _ = io.WriteString(c, text+chunk)
	time.Sleep(stalledPause)
	_, werr := io.WriteString(c, chunk+"0\r\n\r\n")
	a := receive(reader, http.MethodPost)
	rec.add("%s: status %d, %q, error %v, write error %v, after %.3f s", id, a.status, strings.TrimSpace(a.body), a.err, werr, time.Since(started).Seconds())
	if a.status != 0 || time.Since(started) >= stalledTimeLimit {
		return false
	}
	for _, t := range targets {
		t.mu.Lock()
		passed := t.passed[id]
		t.mu.Unlock()
		if passed {
			return true
		}
	}
	return false
}
