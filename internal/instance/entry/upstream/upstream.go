// Package upstream makes single attempts at upstreams over connections that it
// pools itself.
//
// It uses http.ClientConn, one request at a time on each connection, because
// http.Transport resends requests on its own when a pooled connection dies.
// An attempt here is written to at most one connection, and the package knows
// whether any byte of it was handed to the operating system.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"knapweedreel/internal/health"
)

// Config holds the limits of all pools.
type Config struct {
	ConnectTimeout time.Duration // for opening a connection
	HeaderBytes    int64         // largest header of an answer
	// Dial opens connections. Default: a net.Dialer with TCP keep-alive.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Protocol is the protocol with upstreams. Default: OwnProtocol.
	Protocol Protocol
}

// Target is an upstream with the limits that apply to it now.
type Target struct {
	Key            health.Key
	Address        string        // IP:port
	MaxConnections int           // of this instance
	IdleTimeout    time.Duration // after which an idle connection is not used
}

// keepAliveInterval is the time between TCP keep-alive probes. They find
// connections whose path was lost without a reset.
const keepAliveInterval = 5 * time.Second

// Pools holds the connections to all upstreams.
type Pools struct {
	cfg       Config
	transport *http.Transport

	mu     sync.Mutex
	pools  map[health.Key]*pool
	closed bool
}

// New returns empty pools.
func New(cfg Config) *Pools {
	if cfg.Dial == nil {
		d := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3,
		}}
		cfg.Dial = d.DialContext
	}
	if cfg.Protocol.RequestID == "" {
		cfg.Protocol = OwnProtocol()
	}
	p := &Pools{cfg: cfg, pools: make(map[health.Key]*pool)}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p.transport = &http.Transport{
		Proxy:                  nil,
		DialContext:            p.dial,
		DisableCompression:     true, // answers are passed on as they are
		MaxResponseHeaderBytes: cfg.HeaderBytes,
		Protocols:              protocols,
	}
	return p
}

// Protocol returns the protocol with upstreams.
func (p *Pools) Protocol() *Protocol { return &p.cfg.Protocol }

// Close closes idle connections, and busy ones as their attempts end.
func (p *Pools) Close() {
	p.mu.Lock()
	pools := p.pools
	p.pools = make(map[health.Key]*pool)
	p.closed = true
	p.mu.Unlock()
	for _, pl := range pools {
		pl.close()
	}
}

// Tidy closes the pools of upstreams that are not known, and the connections to
// the others that were idle for longer than the given time.
func (p *Pools) Tidy(known map[health.Key]time.Duration) {
	p.mu.Lock()
	var drop []*pool
	keep := make(map[*pool]time.Duration, len(p.pools))
	for k, pl := range p.pools {
		if idle, ok := known[k]; ok {
			keep[pl] = idle
			continue
		}
		drop = append(drop, pl)
		delete(p.pools, k)
	}
	p.mu.Unlock()
	for _, pl := range drop {
		pl.close()
	}
	for pl, idle := range keep {
		pl.dropIdle(idle)
	}
}

// pool returns the pool of t. A changed address starts a new pool.
func (p *Pools) pool(t Target) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[t.Key]
	if pl != nil && pl.address == t.Address {
		return pl
	}
	if pl != nil {
		go pl.close()
	}
	pl = &pool{address: t.Address, protocol: p.cfg.Protocol, closed: p.closed}
	p.pools[t.Key] = pl
	return pl
}
