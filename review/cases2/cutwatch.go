package main

import (
	"bytes"
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
	cutAfter     = 500 * time.Millisecond // the wait after which a watch is cut
	cutTargets   = 3
	cutSlots     = 6
	cutWork      = 300 * time.Millisecond
	cutInterval  = 50 * time.Millisecond // between requests
	cutLeaveAt   = 5 * time.Second       // the entry is removed
	cutExitAfter = 8 * time.Second       // the target exits
	cutEnd       = 16 * time.Second
	cutTimeLimit = 5 * time.Second
	// cutDrain is the time after the acknowledgment of a leaving from which no request
	// must reach the target.
	cutDrain = 2 * time.Second
)

// cuttingStore cuts watches that wait, as far as cutting is set, and records when the
// instance has been told that a target is gone.
type cuttingStore struct {
	store   http.Handler
	rec     *record
	words   platformWords
	cutting atomic.Bool
	removed atomic.Bool // the entry of the leaving target
	cuts    atomic.Int64

	mu    sync.Mutex
	acked time.Time // end of the first response from which the instance knows
}

func (s *cuttingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	if r.URL.Path == s.words.Paths["watch"] && s.cutting.Load() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cutAfter)
		defer cancel()
	}
	removed := s.removed.Load()
	b := &bufferedResponse{header: w.Header()}
	s.store.ServeHTTP(b, r.WithContext(ctx))
	if r.URL.Path == s.words.Paths["watch"] && b.status == 0 && b.body.Len() == 0 {
		s.cuts.Add(1)
		panic(http.ErrAbortHandler) // closes the connection
	}
	if b.status != 0 {
		w.WriteHeader(b.status)
	}
	_, _ = w.Write(b.body.Bytes())
	_ = http.NewResponseController(w).Flush()
	// Events name the removal; the last page of a read lacks the entry.
	told := s.removed.Load() && r.URL.Path == s.words.Paths["watch"] && bytes.Contains(b.body.Bytes(), []byte("tombstone")) ||
		removed && r.URL.Path == s.words.Paths["range"] && bytes.Contains(b.body.Bytes(), []byte(s.words.LastPage))
	if told {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.acked.IsZero() {
			s.acked = time.Now()
			s.rec.add("the instance has been told that the target is gone")
		}
	}
}

// bufferedResponse keeps a response.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedResponse) Header() http.Header         { return b.header }
func (b *bufferedResponse) WriteHeader(status int)      { b.status = status }
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

// leavingTarget runs requests until it exits.
type leavingTarget struct {
	rec    *record
	id     string
	server *http.Server

	mu       sync.Mutex
	arrivals []time.Time
	ran      map[string]bool
}

func (t *leavingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(protocol.RequestID)
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now())
	t.ran[id] = true
	t.mu.Unlock()
	t.rec.add("target %s runs %s", t.id, id)
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(cutWork)
	w.Header().Set(protocol.RequestID, id)
	w.Header().Set(protocol.Signature, "review."+t.id)
	_, _ = io.WriteString(w, t.id+" ran "+id)
}

// cutWatch has the entry of a target removed while the store cuts waiting watches.
func cutWatch(rec *record, trouble bool) (bool, error) {
	words, err := readWords()
	if err != nil {
		return false, err
	}
	s := &cuttingStore{rec: rec, words: words}
	f, err := newFleetWith(rec, func(store http.Handler) http.Handler {
		s.store = store
		return s
	})
	if err != nil {
		return false, err
	}
	defer f.close()
	var targets []*leavingTarget
	for n := range cutTargets {
		t := &leavingTarget{rec: rec, id: fmt.Sprintf("i-%d", n+1), ran: map[string]bool{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		t.server = &http.Server{Handler: t}
		go func() { _ = t.server.Serve(l) }()
		defer func() { _ = t.server.Close() }()
		f.register(t.id, l.Addr().String(), "entries", "south-hobart", cutSlots)
		targets = append(targets, t)
	}
	if err := f.configure(route{"/entries/", "unsafe", "5000ms", "2000ms", "entries"}); err != nil {
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
	s.cutting.Store(trouble)
	leaving, begin := targets[0], time.Now()
	var mu sync.Mutex
	statuses, lost := map[int]int{}, 0
	var callers sync.WaitGroup
	gone := false
	for n := 0; time.Since(begin) < cutEnd; n++ {
		if !gone && time.Since(begin) >= cutLeaveAt {
			gone = true
			rec.add("the entry of target %s is removed", leaving.id)
			s.removed.Store(true)
			f.store.Delete("servers/" + leaving.id)
			time.AfterFunc(cutExitAfter, func() {
				rec.add("target %s exits", leaving.id)
				_ = leaving.server.Close()
			})
		}
		id := fmt.Sprintf("entry-%d", n+1)
		callers.Go(func() {
			c, err := net.Dial("tcp", i.entry)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(cutTimeLimit))
			_, _ = io.WriteString(c, head(http.MethodPost, "/entries/"+id, id, cutTimeLimit, 5)+"award")
			a := receive(c, http.MethodPost)
			rec.add("%s: status %d, signature %q, %q, error %v", id, a.status, a.signature, strings.TrimSpace(a.body), a.err)
			leaving.mu.Lock()
			ran := leaving.ran[id]
			leaving.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if ran && a.status != http.StatusOK {
				lost++
			}
		})
		time.Sleep(cutInterval)
	}
	callers.Wait()
	f.copyLogs("upstream_")
	late := 0
	s.mu.Lock()
	defer s.mu.Unlock()
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	for _, at := range leaving.arrivals {
		if !s.acked.IsZero() && at.Sub(s.acked) > cutDrain {
			late++
		}
	}
	rec.conclude("statuses: %v; watches cut: %d", statuses, s.cuts.Load())
	rec.conclude("DRAIN: %d requests reached the target later than %v after the instance had been told; %d of its requests were lost", late, cutDrain, lost)
	return late > 0, nil
}
