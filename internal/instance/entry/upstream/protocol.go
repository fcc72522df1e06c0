package upstream

import "net/http"

// Headers of the fleet's own protocol with upstreams.
const (
	// HeaderRequestID carries the identity of a request. Upstreams echo it.
	HeaderRequestID = "Knapweedreel-Request-Id"
	// HeaderDeadline carries the remaining time in milliseconds.
	HeaderDeadline = "Knapweedreel-Deadline-Ms"
	// HeaderRefused marks a 503 by which an upstream says that it has not run
	// the request.
	HeaderRefused = "Knapweedreel-Refused"
)

// Protocol names the headers that callers, the fleet and upstreams exchange,
// in canonical form, and recognises refusals. An empty name means that the
// protocol has no such header.
type Protocol struct {
	RequestID string // identity of a request, echoed in its answer
	Deadline  string // remaining time in whole milliseconds
	Expect    string // ID of the upstream that is meant to run the request
	Signature string // present in every success that an upstream has made
	Load      string // an upstream's load, read by ParseLoad
	// Refused returns why the upstream has not run the request, or NotRefused.
	Refused func(*http.Response) Refusal
	// Unframed allows answers that have neither a length nor chunks and end with
	// their connection. An upstream that ends early cannot be told from one that
	// has finished then, unless the connection is reset.
	Unframed bool
	// ParseLoad reads the value of the Load header.
	ParseLoad func(string) (Load, bool)
}

// Load is what an upstream says about itself in an answer.
type Load struct {
	Running, Waiting, Slots int // requests, and requests it runs at a time
}

// OwnProtocol returns the fleet's own protocol, which is the default.
func OwnProtocol() Protocol {
	return Protocol{RequestID: HeaderRequestID, Deadline: HeaderDeadline, Refused: ownRefusal}
}

func ownRefusal(resp *http.Response) Refusal {
	refused := Refusal(resp.Header.Get(HeaderRefused))
	if resp.StatusCode != http.StatusServiceUnavailable || refused != Shed && refused != Draining {
		return NotRefused
	}
	return refused
}

// LoadOf returns the load that an answer reports.
func (p *Protocol) LoadOf(resp *http.Response) (Load, bool) {
	if p.Load == "" {
		return Load{}, false
	}
	return p.ParseLoad(resp.Header.Get(p.Load))
}
