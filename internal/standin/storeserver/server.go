package storeserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/store"
	"knapweedreel/internal/store/httpstore"
)

// maxBodyBytes is enough for a value of store.MaxValueBytes in base64.
const maxBodyBytes = 2 * store.MaxValueBytes

// Control is the body of POST /control. Absent fields leave their fault
// unchanged.
type Control struct {
	// Outage closes the connection of every call, without a response. The call
	// has no effect.
	Outage *bool `json:"outage,omitempty"`
	// Refuse responds to every call with status 503. The call has no effect.
	Refuse *bool `json:"refuse,omitempty"`
	// DelayMS is the time before each call takes effect, in milliseconds.
	DelayMS *int `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of writes, from now on, that take effect but
	// whose connection is closed without a response.
	LoseAnswers *int `json:"lose_answers,omitempty"`
	// Stale makes reads return the data as it was when Stale was set.
	Stale *bool `json:"stale,omitempty"`
	// ListLagMS is the time until the instance list shows a registration, in
	// milliseconds.
	ListLagMS *int `json:"list_lag_ms,omitempty"`
	// HideInstances replaces the IDs that the instance list omits.
	HideInstances *[]string `json:"hide_instances,omitempty"`
}

// Server serves a Memory over HTTP, with faults.
type Server struct {
	memory *Memory
	mux    *http.ServeMux

	mu              sync.Mutex
	outage          bool
	refuse          bool
	delay           time.Duration
	responsesToLose int
	calls           map[store.CallKind]uint64
}

// New returns a server with an empty store.
func New() *Server {
	s := &Server{memory: NewMemory(), mux: http.NewServeMux(), calls: map[store.CallKind]uint64{}}
	s.read("GET "+httpstore.PathKV+"/{key...}", store.CallGet, s.get)
	s.write("PUT "+httpstore.PathKV+"/{key...}", store.CallPut, s.put)
	s.read("GET "+httpstore.PathKV, store.CallList, s.list)
	s.read("GET "+httpstore.PathWatch, store.CallWatch, s.watch)
	s.write("POST "+httpstore.PathLeases+"/{key}", store.CallAcquireLease, s.acquire)
	s.write("PUT "+httpstore.PathLeases+"/{key}/{id}", store.CallRenewLease, s.renew)
	s.write("DELETE "+httpstore.PathLeases+"/{key}/{id}", store.CallReleaseLease, s.release)
	s.read("GET "+httpstore.PathInstances, store.CallInstances, s.instances)
	s.write("PUT "+httpstore.PathInstances+"/{id}", store.CallRegister, s.register)
	s.mux.HandleFunc("POST /control", s.serveControl)
	s.mux.HandleFunc("GET /control/calls", s.serveCalls)
	return s
}

// Memory returns the store behind the server.
func (s *Server) Memory() *Memory { return s.memory }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Apply changes the faults for which c has a value.
func (s *Server) Apply(c Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	setIfPresent(&s.outage, c.Outage)
	setIfPresent(&s.refuse, c.Refuse)
	setIfPresent(&s.responsesToLose, c.LoseAnswers)
	if c.DelayMS != nil {
		s.delay = time.Duration(*c.DelayMS) * time.Millisecond
	}
	if c.Stale != nil {
		s.memory.SetStale(*c.Stale)
	}
	if c.HideInstances != nil {
		s.memory.HideInstances(*c.HideInstances)
	}
	if c.ListLagMS != nil {
		s.memory.SetListLag(time.Duration(*c.ListLagMS) * time.Millisecond)
	}
}

func setIfPresent[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// Calls returns the number of calls by kind.
func (s *Server) Calls() map[store.CallKind]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[store.CallKind]uint64, len(s.calls))
	for k, n := range s.calls {
		m[k] = n
	}
	return m
}

// handler runs a call and returns the value to send as JSON.
type handler func(r *http.Request) (any, error)

func (s *Server) read(pattern string, kind store.CallKind, h handler) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, kind, false, h) })
}

func (s *Server) write(pattern string, kind store.CallKind, h handler) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, kind, true, h) })
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, kind store.CallKind, write bool, h handler) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	outage, refuse, delay := s.startCall(kind)
	switch {
	case outage:
		panic(http.ErrAbortHandler)
	case refuse:
		writeError(w, http.StatusServiceUnavailable, httpstore.CodeUnavailable)
		return
	}
	delayCall(delay)
	response, err := h(r)
	if err == nil && write && s.dropResponse() {
		panic(http.ErrAbortHandler)
	}
	// An outage that began during the call, for example during a watch, closes
	// its connection too.
	if s.inOutage() {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeResponse(w, r, response)
}

func (s *Server) startCall(kind store.CallKind) (outage, refuse bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	return s.outage, s.refuse, s.delay
}

// delayCall delays a call. The call takes effect even if the client disconnects
// meanwhile, as in a slow store.
func delayCall(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}

func (s *Server) inOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

// dropResponse reports whether to drop the response to the current write, and
// counts it against LoseAnswers.
func (s *Server) dropResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.responsesToLose == 0 {
		return false
	}
	s.responsesToLose--
	return true
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Apply(c)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Calls())
}

var errBadRequest = errors.New("storeserver: bad request")

func writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrConflict):
		writeError(w, http.StatusConflict, httpstore.CodeConflict)
	case errors.Is(err, store.ErrHeld):
		writeError(w, http.StatusConflict, httpstore.CodeHeld)
	case errors.Is(err, store.ErrLeaseLost):
		writeError(w, http.StatusConflict, httpstore.CodeLeaseLost)
	case errors.Is(err, errTooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, httpstore.CodeTooLarge)
	default:
		writeError(w, http.StatusBadRequest, httpstore.CodeBadRequest)
	}
}

func writeError(w http.ResponseWriter, status int, code httpstore.ErrorCode) {
	writeJSON(w, status, httpstore.ErrorResponse{Error: code})
}

func writeJSON(w http.ResponseWriter, status int, response any) {
	data, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
