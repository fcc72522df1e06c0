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
// FailPath and FailCaller limit all faults except Draining and Shed to matching
// requests. FailFraction is the share of these requests that fail: with Hang,
// Truncate or NoFraming if one of them is set, otherwise with Status. If one of
// the three is set, a FailFraction of 0 means all matching requests.
type Control struct {
	FailFraction          float64 `json:"fail_fraction"`           // 0 to 1
	FailPath              string  `json:"fail_path"`               // path prefix
	FailCaller            string  `json:"fail_caller"`             // caller account
	Status                int     `json:"status"`                  // status of failed requests, default 500
	SlowFactor            float64 `json:"slow_factor"`             // multiplies the time that requests take, default 1
	Hang                  bool    `json:"hang"`                    // run requests and never respond
	Truncate              bool    `json:"truncate"`                // end the response after half of its body
	Draining              bool    `json:"draining"`                // refuse all requests as draining
	Shed                  bool    `json:"shed"`                    // refuse all requests as shed
	FlapMS                int     `json:"flap_ms"`                 // switch all faults on and off, each for this many milliseconds, first on
	CrossedFraction       float64 `json:"crossed_fraction"`        // share of requests that get the response to the previous request
	LateDuplicateFraction float64 `json:"late_duplicate_fraction"` // share of responses sent again on the same connection
	NoFraming             bool    `json:"no_framing"`              // send responses with neither Content-Length nor chunked encoding

	failed, crossed, duplicated bool // random choices for one request
}

// faults holds the Control in effect.
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

// forRequest returns the faults that apply to a request. chance returns true
// with the given probability.
func (f *faults) forRequest(r *http.Request, chance func(float64) bool) Control {
	f.mu.Lock()
	c, since := f.control, f.since
	f.mu.Unlock()
	if c.FlapMS > 0 && (time.Since(since).Milliseconds()/int64(c.FlapMS))%2 == 1 {
		return globalFaults(Control{})
	}
	if !c.matches(r) {
		return globalFaults(c)
	}
	replacesStatus := c.Hang || c.Truncate || c.NoFraming
	faulty := replacesStatus && c.FailFraction == 0 || chance(c.FailFraction)
	c.Hang, c.Truncate, c.NoFraming = c.Hang && faulty, c.Truncate && faulty, c.NoFraming && faulty
	c.failed = faulty && !replacesStatus
	c.crossed = chance(c.CrossedFraction)
	c.duplicated = chance(c.LateDuplicateFraction)
	c.setDefaults()
	return c
}

func (c *Control) matches(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, c.FailPath) &&
		(c.FailCaller == "" || c.FailCaller == r.Header.Get(HeaderCaller))
}

// globalFaults returns the faults of c that apply to all requests.
func globalFaults(c Control) Control {
	global := Control{Draining: c.Draining, Shed: c.Shed}
	global.setDefaults()
	return global
}

func (c *Control) setDefaults() {
	if c.Status == 0 {
		c.Status = http.StatusInternalServerError
	}
	if c.SlowFactor <= 0 {
		c.SlowFactor = 1
	}
}

// SetControl replaces the faults. It affects requests that arrive later.
func (s *Server) SetControl(c Control) { s.faults.set(c) }

func (s *Server) getControl(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.faults.get()) }

// postControl replaces all faults with those in the body.
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
	_ = json.NewEncoder(w).Encode(data) // fails only if the client has disconnected
}
