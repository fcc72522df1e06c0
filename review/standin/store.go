package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a version of an item of the store.
type item struct {
	key               string
	value             []byte
	revision, created uint64
	lease             uint64
	removed           bool
	at                time.Time
}

func (i *item) MarshalJSON() ([]byte, error) {
	if i.removed {
		return json.Marshal(map[string]any{"key": i.key, "revision": i.revision, "tombstone": true})
	}
	return json.Marshal(map[string]any{
		"key": i.key, "value": base64.StdEncoding.EncodeToString(i.value), "revision": i.revision, "created": i.created, "lease": i.lease,
	})
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is the platform's store. Reads that may be old are answered by one of
// several replicas, of which each is behind by the time that lag returns.
type store struct {
	address   string
	pageItems int // in a page of a range read
	lag       func(after string) time.Duration

	server   *http.Server
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	history  []*item
	items    map[string]*item
	leases   map[uint64]*lease
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), pageItems: 500, changed: make(chan struct{}), revision: 100,
		items: make(map[string]*item), leases: make(map[uint64]*lease),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["range"], s.serveRange)
	mux.HandleFunc("GET "+names["watch"], s.serveWatch)
	mux.HandleFunc("POST "+names["txn"], s.serveTxn)
	mux.HandleFunc("POST "+names["lease"], s.serveLease)
	mux.HandleFunc("POST "+names["keep"]+"{id}", s.serveKeep)
	mux.HandleFunc("DELETE "+names["leaseEnd"]+"{id}", s.serveLeaseEnd)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes an item as the operator or a target does, and returns when the store
// has confirmed it.
func (s *store) put(key, value string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, []byte(value), 0)
	return time.Now()
}

// remove removes an item.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(key)
	return time.Now()
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.created
	}
	i := &item{key: key, value: value, revision: s.revision, created: created, lease: lease, at: time.Now()}
	s.items[key] = i
	s.append(i)
}

func (s *store) erase(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(&item{key: key, revision: s.revision, removed: true, at: time.Now()})
}

func (s *store) append(i *item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// asOf returns the content and the revision at a time.
func (s *store) asOf(t time.Time) (map[string]*item, uint64) {
	items, revision := make(map[string]*item), uint64(100)
	for _, i := range s.history {
		if i.at.After(t) {
			break
		}
		revision = i.revision
		if i.removed {
			delete(items, i.key)
		} else {
			items[i.key] = i
		}
	}
	return items, revision
}

func respondJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	items, revision := s.items, s.revision
	if q.Get("serializable") == "1" && s.lag != nil {
		items, revision = s.asOf(time.Now().Add(-s.lag(q.Get("after"))))
	}
	var keys []string
	for k := range items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > s.pageItems
	if more {
		keys = keys[:s.pageItems]
	}
	page := []*item{}
	for _, k := range keys {
		page = append(page, items[k])
	}
	respondJSON(w, http.StatusOK, map[string]any{"items": page, names["more"]: more, names["at"]: revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mu.Lock()
		events := []*item{}
		for _, i := range s.history {
			if i.revision > after && strings.HasPrefix(i.key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-limit.C:
			case <-r.Context().Done():
				return
			}
		}
		respondJSON(w, http.StatusOK, map[string]any{"events": events, names["at"]: revision})
		return
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		var revision uint64
		if old := s.items[c.Key]; old != nil {
			revision = old.revision
		}
		if revision != c.Revision {
			respondJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []*item{}})
			return
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.live(p.Lease) == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Deletes {
		s.erase(k)
	}
	respondJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL string `json:"ttl_time"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(in.TTL)
	if err != nil || ttl < time.Second {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uint64(len(s.leases)) + 7000
	for s.leases[id] != nil {
		id++
	}
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
	respondJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_time": in.TTL})
}

// expire ends a lease and removes its items. A lease that has ended keeps its
// number, so that none is given twice.
func (s *store) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	s.leases[id].timer.Stop()
	s.leases[id].ttl = 0
	for key, i := range s.items {
		if i.lease == id {
			s.erase(key)
		}
	}
}

// live returns a lease that has not ended, or nil. s.mu is held.
func (s *store) live(id uint64) *lease {
	if l := s.leases[id]; l != nil && l.ttl > 0 {
		return l
	}
	return nil
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.live(id)
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	respondJSON(w, http.StatusOK, map[string]any{"ttl_time": l.ttl.String()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.expire(id)
	w.WriteHeader(http.StatusOK)
}
