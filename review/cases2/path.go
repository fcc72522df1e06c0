package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	pathRequests  = 20
	pathTimeLimit = 5 * time.Second
)

// pathTarget records the request targets of the requests that it runs.
type pathTarget struct {
	rec *record
	id  string

	mu  sync.Mutex
	ran map[string]string // request target by request ID
}

func (t *pathTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(protocol.RequestID)
	t.mu.Lock()
	t.ran[id] = r.RequestURI
	t.mu.Unlock()
	t.rec.add("target %s runs %s: %s %s", t.id, id, r.Method, r.RequestURI)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(protocol.RequestID, id)
	w.Header().Set(protocol.Signature, "review."+t.id)
	_, _ = io.WriteString(w, t.id+" ran "+id)
}

// changedPath has a caller name entries as browsers write them into a path.
func changedPath(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	t := &pathTarget{rec: rec, id: "i-1", ran: map[string]string{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	server := &http.Server{Handler: t}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	f.register(t.id, l.Addr().String(), "entries", "south-hobart", 6)
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
	name := "show%2F12-dahlia"
	if trouble {
		name = "show%2F12|dahlia"
	}
	changed, answered := 0, 0
	for n := range pathRequests {
		id, path := fmt.Sprintf("entry-%d", n+1), fmt.Sprintf("/entries/%s/%d", name, n+1)
		c, err := net.Dial("tcp", i.entry)
		if err != nil {
			return false, err
		}
		_ = c.SetDeadline(time.Now().Add(pathTimeLimit))
		rec.add("%s is sent: POST %s", id, path)
		_, _ = io.WriteString(c, head(http.MethodPost, path, id, pathTimeLimit, 5)+"award")
		a := receive(c, http.MethodPost)
		_ = c.Close()
		rec.add("%s: status %d, signature %q, %q, error %v", id, a.status, a.signature, strings.TrimSpace(a.body), a.err)
		if a.status == http.StatusOK {
			answered++
		}
		t.mu.Lock()
		if got, ok := t.ran[id]; ok && got != path {
			changed++
		}
		t.mu.Unlock()
	}
	rec.conclude("UNASKED: %d of %d requests were run with a changed path; %d were answered with success", changed, pathRequests, answered)
	return changed > 0, nil
}
