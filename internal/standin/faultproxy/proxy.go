// Package faultproxy is a proxy for tests that passes TCP connections or UDP
// datagrams on to one target and has network faults that are switched while it
// runs. It knows nothing of the protocol it carries, except that it finds the end
// of HTTP/1.1 answers to duplicate them.
package faultproxy

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Networks that a proxy can carry.
const (
	TCP = "tcp"
	UDP = "udp"
)

// Config names a proxy's addresses.
type Config struct {
	Network string // TCP or UDP
	Listen  string // IP:port; port 0 takes a free one
	Target  string // IP:port
}

// Control is the set of faults of a proxy. The zero value has none.
type Control struct {
	CutToTarget            bool `json:"cut_to_target"`             // discard bytes to the target
	CutToClient            bool `json:"cut_to_client"`             // discard bytes to the client
	DelayMS                int  `json:"delay_ms"`                  // delay of each direction
	SilentExisting         bool `json:"silent_existing"`           // connections open now go silent for good
	ResetAfterRequestBytes int  `json:"reset_after_request_bytes"` // reset once so many bytes went to the target, 0 for never; TCP only
	ResetAfterAnswerBytes  int  `json:"reset_after_answer_bytes"`  // reset once so many bytes went to the client, 0 for never; TCP only
	ResetOnAccept          bool `json:"reset_on_accept"`           // TCP only
	Refuse                 bool `json:"refuse"`                    // close the listener, so that connecting fails; TCP only
	DuplicateAnswers       bool `json:"duplicate_answers"`         // send each whole HTTP answer (TCP) or datagram (UDP) twice
}

// Counts are the events since the start.
type Counts struct {
	Connections   int   `json:"connections"`      // TCP connections or UDP clients seen
	Open          int   `json:"open"`             // of these, still open
	Resets        int   `json:"resets"`           // connections reset by the proxy
	DialFailures  int   `json:"dial_failures"`    // target not reachable
	BytesToTarget int64 `json:"bytes_to_target"`  // passed on
	BytesToClient int64 `json:"bytes_to_client"`  // passed on
	Discarded     int64 `json:"discarded"`        // bytes of cut directions and silent connections
	Duplicated    int64 `json:"duplicated_bytes"` // sent a second time
}

// Status is the answer of GET /control.
type Status struct {
	Address string  `json:"address"` // of the proxy
	Target  string  `json:"target"`
	Control Control `json:"control"`
	Counts  Counts  `json:"counts"`
}

// Proxy is a running proxy.
type Proxy struct {
	cfg     Config
	carrier carrier

	mu      sync.Mutex
	address string
	control Control
	counts  Counts
	open    map[*connection]struct{}
	closed  bool
	group   sync.WaitGroup
}

// carrier accepts the clients of one network.
type carrier interface {
	setListening(bool) error // false refuses connections
	close() error
}

// Start opens a proxy without faults.
func Start(cfg Config) (*Proxy, error) {
	p := &Proxy{cfg: cfg, open: map[*connection]struct{}{}}
	switch cfg.Network {
	case TCP:
		return p, p.startTCP()
	case UDP:
		return p, p.startUDP()
	}
	return nil, errors.Newf("network is %q, want %q or %q", cfg.Network, TCP, UDP)
}

// Address returns the IP:port that clients use.
func (p *Proxy) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

func (p *Proxy) setAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
}

// Status returns the faults in effect and the counts.
func (p *Proxy) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.Open = len(p.open)
	return Status{Address: p.address, Target: p.cfg.Target, Control: p.control, Counts: counts}
}

// SetControl puts faults in effect. They replace those before, but connections
// that went silent stay so.
func (p *Proxy) SetControl(c Control) error {
	p.mu.Lock()
	p.control = c
	for conn := range p.open {
		conn.passed = [2]int64{} // resets count from now on
		conn.silent = conn.silent || c.SilentExisting
	}
	p.mu.Unlock()
	return p.carrier.setListening(!c.Refuse)
}

// Close ends the proxy and all its connections, and waits for its goroutines.
func (p *Proxy) Close() error {
	err := p.carrier.close()
	p.mu.Lock()
	p.closed = true
	for conn := range p.open {
		conn.close()
	}
	p.mu.Unlock()
	p.group.Wait()
	return err
}

// direction is the way that bytes take.
type direction int

const (
	toTarget direction = iota
	toClient
)

// connection is one client's connection with the one to the target.
type connection struct {
	client, target net.Conn
	closeOnce      sync.Once

	// The fields below are guarded by Proxy.mu.
	silent bool
	passed [2]int64 // bytes in each direction since the control was set
	answer []byte   // the answer so far, while answers are duplicated
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		c.client.Close()
		c.target.Close()
	})
}

// add keeps a connection, or returns false when the proxy is closed.
func (p *Proxy) add(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.open[c] = struct{}{}
	p.counts.Connections++
	return true
}

func (p *Proxy) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// verdict tells what to do with bytes that have arrived.
type verdict struct {
	pass      int // bytes to pass on
	reset     bool
	duplicate []byte // to send after them
}

// judge applies the faults in effect to the data and counts it.
func (p *Proxy) judge(c *connection, d direction, data []byte) verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(data)
	if p.discards(c, d) {
		p.counts.Discarded += int64(n)
		return verdict{}
	}
	v := verdict{pass: n, duplicate: p.duplicate(c, d, data)}
	limit := p.control.ResetAfterRequestBytes
	if d == toClient {
		limit = p.control.ResetAfterAnswerBytes
	}
	if limit > 0 && p.cfg.Network == TCP && c.passed[d]+int64(n) >= int64(limit) {
		v = verdict{pass: limit - int(c.passed[d]), reset: true}
		p.counts.Resets++
	}
	c.passed[d] += int64(v.pass)
	if d == toTarget {
		p.counts.BytesToTarget += int64(v.pass)
	} else {
		p.counts.BytesToClient += int64(v.pass)
	}
	p.counts.Duplicated += int64(len(v.duplicate))
	return v
}

// discards reports whether a direction is silent. The caller holds mu.
func (p *Proxy) discards(c *connection, d direction) bool {
	return c.silent || d == toTarget && p.control.CutToTarget || d == toClient && p.control.CutToClient
}

// isSilent is discards for a caller that does not hold mu.
func (p *Proxy) isSilent(c *connection, d direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.discards(c, d)
}
