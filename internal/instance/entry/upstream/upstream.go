// Package upstream sends requests to upstreams, one attempt per call, over
// connections that it pools itself.
//
// It uses http.ClientConn, with one request at a time on each connection,
// because http.Transport resends requests on its own when a pooled connection
// breaks. Here an attempt is written to at most one connection, and the package
// tracks whether any byte of it was passed to the operating system.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"knapweedreel/internal/connlimit"
	"knapweedreel/internal/health"
)

// Config configures all pools.
type Config struct {
	ConnectTimeout time.Duration // to open a connection
	HeaderBytes    int64         // largest response header
	// MaxConnections is the maximum number of open connections to all upstreams. One
	// service gets three quarters. Default: no limit.
	MaxConnections int
	// Dial opens connections. Default: a net.Dialer with TCP keep-alive.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Protocol describes the headers exchanged with upstreams. Default:
	// DefaultProtocol.
	Protocol Protocol
}

// Target is an upstream and its current connection limits.
type Target struct {
	Key            health.Key
	Address        string        // IP:port
	MaxConnections int           // open at a time from this instance
	IdleTimeout    time.Duration // an idle connection is not used after this time
}

// keepAliveInterval is the time between TCP keep-alive probes, which detect
// connections that broke without a reset.
const keepAliveInterval = 5 * time.Second

// Pools holds one connection pool for each upstream.
type Pools struct {
	cfg       Config
	transport *http.Transport
	limit     connlimit.Limit

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
		cfg.Protocol = DefaultProtocol()
	}
	p := &Pools{cfg: cfg, pools: make(map[health.Key]*pool), limit: connlimit.Limit{All: cfg.MaxConnections}}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p.transport = &http.Transport{
		Proxy:                  nil,
		DialContext:            p.dial,
		DisableCompression:     true, // responses are forwarded unchanged
		MaxResponseHeaderBytes: cfg.HeaderBytes,
		Protocols:              protocols,
	}
	return p
}

// Protocol returns the protocol used with upstreams.
func (p *Pools) Protocol() *Protocol { return &p.cfg.Protocol }

// Close closes idle connections at once and busy ones when their attempts end.
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

// Prune closes the pools of upstreams that are not in known. In the other pools
// it closes the connections that have been idle for at least the time given in
// known.
func (p *Pools) Prune(known map[health.Key]time.Duration) {
	p.mu.Lock()
	var removed []*pool
	remaining := make(map[*pool]time.Duration, len(p.pools))
	for k, pl := range p.pools {
		if idle, ok := known[k]; ok {
			remaining[pl] = idle
			continue
		}
		removed = append(removed, pl)
		delete(p.pools, k)
	}
	p.mu.Unlock()
	for _, pl := range removed {
		pl.close()
	}
	for pl, idle := range remaining {
		pl.closeIdle(idle)
	}
}

// pool returns the pool of t. It replaces a pool whose address differs from t's.
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
