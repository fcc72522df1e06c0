// Package faultproxy is a proxy for tests that forwards TCP connections or UDP
// datagrams to one target and injects network faults, which can be changed
// while it runs. It does not parse the forwarded protocol, except that it finds
// the end of HTTP/1.1 responses to duplicate them.
package faultproxy

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Values of Config.Network.
const (
	TCP = "tcp"
	UDP = "udp"
)

// Config holds the network and addresses of a proxy.
type Config struct {
	Network string // TCP or UDP
	Listen  string // IP:port; port 0 uses a free one
	Target  string // IP:port
}

// Control is the set of faults of a proxy. The zero value has none.
type Control struct {
	CutToTarget            bool `json:"cut_to_target"`             // discard bytes to the target
	CutToClient            bool `json:"cut_to_client"`             // discard bytes to the client
	DelayMS                int  `json:"delay_ms"`                  // delay in each direction
	SilentExisting         bool `json:"silent_existing"`           // discard all bytes of the connections that are open now, permanently
	ResetAfterRequestBytes int  `json:"reset_after_request_bytes"` // reset after this many bytes to the target, 0 for never; TCP only
	ResetAfterAnswerBytes  int  `json:"reset_after_answer_bytes"`  // reset after this many bytes to the client, 0 for never; TCP only
	ResetOnAccept          bool `json:"reset_on_accept"`           // reset each new connection; TCP only
	Refuse                 bool `json:"refuse"`                    // close the listener, so that new connections are refused; TCP only
	DuplicateAnswers       bool `json:"duplicate_answers"`         // send each complete HTTP response (TCP) or datagram to the client (UDP) twice
}

// Counts holds counters since the start.
type Counts struct {
	Connections   int   `json:"connections"`      // TCP connections or UDP clients
	Open          int   `json:"open"`             // of Connections, those still open
	Resets        int   `json:"resets"`           // connections reset by the proxy
	DialFailures  int   `json:"dial_failures"`    // failed connections to the target
	BytesToTarget int64 `json:"bytes_to_target"`  // forwarded, without duplicates
	BytesToClient int64 `json:"bytes_to_client"`  // forwarded, without duplicates
	Discarded     int64 `json:"discarded"`        // bytes of silent directions and connections
	Duplicated    int64 `json:"duplicated_bytes"` // bytes sent a second time
}

// Status is the response to GET /control.
type Status struct {
	Address string  `json:"address"` // IP:port of the proxy
	Target  string  `json:"target"`
	Control Control `json:"control"`
	Counts  Counts  `json:"counts"`
}

// Proxy forwards connections or datagrams to its target.
type Proxy struct {
	cfg       Config
	transport transport

	mu      sync.Mutex
	address string
	control Control
	counts  Counts
	open    map[*connection]struct{}
	closed  bool
	group   sync.WaitGroup
}

// transport accepts the clients of one network.
type transport interface {
	setListening(bool) error // false refuses connections
	close() error
}

// Start starts a proxy without faults.
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

// Address returns the IP:port that clients connect to.
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

// SetControl replaces the faults. Connections that SilentExisting made silent
// stay silent.
func (p *Proxy) SetControl(c Control) error {
	p.mu.Lock()
	p.control = c
	for conn := range p.open {
		conn.forwarded = [2]int64{} // resets count bytes from now on
		conn.silent = conn.silent || c.SilentExisting
	}
	p.mu.Unlock()
	return p.transport.setListening(!c.Refuse)
}

// Close stops the proxy, closes all connections and waits for all goroutines.
func (p *Proxy) Close() error {
	err := p.transport.close()
	p.mu.Lock()
	p.closed = true
	for conn := range p.open {
		conn.close()
	}
	p.mu.Unlock()
	p.group.Wait()
	return err
}

// direction is the direction of forwarded bytes.
type direction int

const (
	toTarget direction = iota
	toClient
)

// connection is a pair of connections, from a client and to the target.
type connection struct {
	client, target net.Conn
	closeOnce      sync.Once

	// The fields below are guarded by Proxy.mu.
	silent    bool
	forwarded [2]int64 // bytes by direction since the last SetControl
	response  []byte   // response received so far, with DuplicateAnswers
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		c.client.Close()
		c.target.Close()
	})
}

// add registers a connection. It returns false if the proxy is closed.
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

// action is what to do with received bytes.
type action struct {
	forward   int // number of bytes to forward
	reset     bool
	duplicate []byte // to send after the forwarded bytes
}

// applyFaults decides what to do with data under the current faults, and counts
// it.
func (p *Proxy) applyFaults(c *connection, d direction, data []byte) action {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(data)
	if p.isSilentLocked(c, d) {
		p.counts.Discarded += int64(n)
		return action{}
	}
	a := action{forward: n, duplicate: p.duplicate(c, d, data)}
	limit := p.control.ResetAfterRequestBytes
	if d == toClient {
		limit = p.control.ResetAfterAnswerBytes
	}
	if limit > 0 && p.cfg.Network == TCP && c.forwarded[d]+int64(n) >= int64(limit) {
		a = action{forward: limit - int(c.forwarded[d]), reset: true}
		p.counts.Resets++
	}
	c.forwarded[d] += int64(a.forward)
	if d == toTarget {
		p.counts.BytesToTarget += int64(a.forward)
	} else {
		p.counts.BytesToClient += int64(a.forward)
	}
	p.counts.Duplicated += int64(len(a.duplicate))
	return a
}

// isSilentLocked reports whether a direction of a connection is silent: its
// bytes are discarded. The caller holds mu.
func (p *Proxy) isSilentLocked(c *connection, d direction) bool {
	return c.silent || d == toTarget && p.control.CutToTarget || d == toClient && p.control.CutToClient
}

// isSilent is isSilentLocked for callers that do not hold mu.
func (p *Proxy) isSilent(c *connection, d direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isSilentLocked(c, d)
}
