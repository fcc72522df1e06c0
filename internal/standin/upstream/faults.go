package upstream

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Control is the set of faults of an upstream. The zero value has none.
//
// FailPath and FailCaller limit all faults but Draining and Shed to matching
// requests. FailFraction is the share of those that are faulty: by Hang,
// Truncate or NoFraming if one of these is set, else by answering Status. With
// one of these set, a FailFraction of 0 means all.
type Control struct {
	FailFraction          float64 `json:"fail_fraction"`           // 0 to 1
	FailPath              string  `json:"fail_path"`               // prefix of the path
	FailCaller            string  `json:"fail_caller"`             // caller account
	Status                int     `json:"status"`                  // of failed requests, default 500
	SlowFactor            float64 `json:"slow_factor"`             // of the time that work takes, default 1
	Hang                  bool    `json:"hang"`                    // runs the request and never answers
	Truncate              bool    `json:"truncate"`                // ends the answer after half of its body
	Draining              bool    `json:"draining"`                // refuses all requests as draining
	Shed                  bool    `json:"shed"`                    // refuses all requests as shed
	FlapMS                int     `json:"flap_ms"`                 // all faults go on and off every so many milliseconds, first on
	CrossedFraction       float64 `json:"crossed_fraction"`        // share answered with identity and body of another request
	LateDuplicateFraction float64 `json:"late_duplicate_fraction"` // share answered a second time on the same connection
	NoFraming             bool    `json:"no_framing"`              // answers with neither length nor chunks

	failed, crossed, duplicated bool // drawn for one request
}

// faults holds the control that is in effect.
type faults struct {
	mu      sync.Mutex
	control Control
	since   time.Time
}

func (f *faults) set(c Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.control, f.since = c, time.Now()
}

func (f *faults) get() Control {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.control
}

// forRequest returns the faults that a request meets. The chance function is
// true for the given share of calls.
func (f *faults) forRequest(r *http.Request, chance func(float64) bool) Control {
	f.mu.Lock()
	c, since := f.control, f.since
	f.mu.Unlock()
	if c.FlapMS > 0 && (time.Since(since).Milliseconds()/int64(c.FlapMS))%2 == 1 {
		return healthy(Control{})
	}
	if !c.matches(r) {
		return healthy(c)
	}
	special := c.Hang || c.Truncate || c.NoFraming
	hit := special && c.FailFraction == 0 || chance(c.FailFraction)
	c.Hang, c.Truncate, c.NoFraming = c.Hang && hit, c.Truncate && hit, c.NoFraming && hit
	c.failed = hit && !special
	c.crossed = chance(c.CrossedFraction)
	c.duplicated = chance(c.LateDuplicateFraction)
	c.complete()
	return c
}

func (c *Control) matches(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, c.FailPath) &&
		(c.FailCaller == "" || c.FailCaller == r.Header.Get(HeaderCaller))
}

// healthy leaves only the faults that meet every request.
func healthy(c Control) Control {
	left := Control{Draining: c.Draining, Shed: c.Shed}
	left.complete()
	return left
}

func (c *Control) complete() {
	if c.Status == 0 {
		c.Status = http.StatusInternalServerError
	}
	if c.SlowFactor <= 0 {
		c.SlowFactor = 1
	}
}

// SetControl puts faults in effect for requests that arrive from now on.
func (s *Server) SetControl(c Control) { s.faults.set(c) }

func (s *Server) getControl(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.faults.get()) }

// postControl replaces all faults by those of the body.
func (s *Server) postControl(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	d.DisallowUnknownFields()
	var c Control
	if err := d.Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetControl(c)
	writeJSON(w, c)
}

func writeJSON(w http.ResponseWriter, data any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(data) // fails only when the client is gone
}
