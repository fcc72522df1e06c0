package upstream

import (
	"net/http"
	"strconv"
	"time"
)

// Headers of the default protocol with upstreams.
const (
	// HeaderRequestID carries the ID of a request. Upstreams echo it.
	HeaderRequestID = "Knapweedreel-Request-Id"
	// HeaderDeadline carries the remaining time in milliseconds.
	HeaderDeadline = "Knapweedreel-Deadline-Ms"
	// HeaderRefused marks a 503 of an upstream that did not run the request. Its
	// value is the Refusal.
	HeaderRefused = "Knapweedreel-Refused"
)

// Protocol holds the names, in canonical form, of the headers that callers, the
// fleet and upstreams exchange, and functions that interpret responses. An empty
// name means that the protocol has no such header.
type Protocol struct {
	RequestID string // ID of a request, echoed in the response
	Deadline  string // remaining time in whole milliseconds
	Expect    string // ID of the upstream that should run the request
	Signature string // present in every successful response that an upstream itself created
	Load      string // load of the upstream, parsed by ParseLoad
	Leaving   string // "1" in the responses of an upstream that is leaving
	Account   string // name of the client account, in requests to upstreams
	// ParseRefusal returns why the upstream did not run the request, or NotRefused.
	ParseRefusal func(*http.Response) Refusal
	// Unframed allows responses that have neither a length nor chunked encoding
	// and end when the connection closes. A response that ends early then looks
	// like a complete one, unless the connection is reset.
	Unframed bool
	// FractionalRetryAfter allows fractions of seconds in the Retry-After header of
	// responses to callers. HTTP itself does not.
	FractionalRetryAfter bool
	// ParseLoad parses the value of the Load header.
	ParseLoad func(string) (Load, bool)
}

// Load is the load that an upstream reports in a response.
type Load struct {
	Running, Waiting, Slots int // requests being run, requests queued, and requests it can run at a time
}

// DefaultProtocol returns the fleet's protocol with upstreams: the headers above
// and none of the optional ones.
func DefaultProtocol() Protocol {
	return Protocol{RequestID: HeaderRequestID, Deadline: HeaderDeadline, ParseRefusal: refusalFromHeader}
}

func refusalFromHeader(resp *http.Response) Refusal {
	refused := Refusal(resp.Header.Get(HeaderRefused))
	if resp.StatusCode != http.StatusServiceUnavailable || refused != Shed && refused != Draining {
		return NotRefused
	}
	return refused
}

// maxBackoff bounds the backoff that an upstream can ask for, so that a mistake
// doesn't exclude it for good.
const maxBackoff = 10 * time.Minute

// backoffOf returns the Retry-After of a response that turns the request away, in
// seconds and possibly with a fraction; 0 if there is none. Dates are not
// supported, because clocks may differ.
func backoffOf(resp *http.Response) time.Duration {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return 0
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second))
}

// isLeaving reports whether the response says that its upstream is leaving.
func (p *Protocol) isLeaving(resp *http.Response) bool {
	return p.Leaving != "" && resp.Header.Get(p.Leaving) == leavingValue
}

// leavingValue is the value of the Leaving header.
const leavingValue = "1"

// FormatRetryAfter returns the value of the Retry-After header for a duration,
// rounded up to milliseconds or to seconds.
func (p *Protocol) FormatRetryAfter(d time.Duration) string {
	if p.FractionalRetryAfter {
		milliseconds := (d + time.Millisecond - 1) / time.Millisecond
		return strconv.FormatFloat(float64(milliseconds)/1000, 'f', -1, 64)
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// LoadOf returns the load reported in a response.
func (p *Protocol) LoadOf(resp *http.Response) (Load, bool) {
	if p.Load == "" {
		return Load{}, false
	}
	return p.ParseLoad(resp.Header.Get(p.Load))
}
