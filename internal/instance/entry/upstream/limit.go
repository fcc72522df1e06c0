package upstream

import (
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/connlimit"
)

// errTooManyOpen means that this instance may open no more connections. Like a lack of
// descriptors, it says nothing about the upstream.
var errTooManyOpen = errors.Mark(errors.New("all connections to upstreams are in use"), syscall.EMFILE)

// reserveOpen counts a connection that is about to be opened. At the limit it closes
// the connection that has been idle longest, and reports false if none is idle.
func (p *Pools) reserveOpen(service string) bool {
	for {
		closed := false
		switch p.limit.Reserve(service) {
		case connlimit.Reserved:
			return true
		case connlimit.Full:
			closed = p.closeLongestIdle("")
		case connlimit.ServiceFull:
			closed = p.closeLongestIdle(service)
		}
		if !closed {
			return false
		}
	}
}

// closeLongestIdle closes the connection that has been idle longest, of a service or
// of all if it is empty. It reports false if there is none.
func (p *Pools) closeLongestIdle(service string) bool {
	p.mu.Lock()
	pools := make([]*pool, 0, len(p.pools))
	for k, pl := range p.pools {
		if service == "" || k.Service == service {
			pools = append(pools, pl)
		}
	}
	p.mu.Unlock()
	var longest *pool
	var since time.Time
	for _, pl := range pools {
		if t, ok := pl.idleSince(); ok && (longest == nil || t.Before(since)) {
			longest, since = pl, t
		}
	}
	return longest != nil && longest.closeFirstIdle()
}

// idleSince returns since when the least recently used connection is idle, false if
// none is.
func (pl *pool) idleSince() (time.Time, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if len(pl.idle) == 0 {
		return time.Time{}, false
	}
	return pl.idle[0].lastUsed, true
}

// closeFirstIdle closes the least recently used idle connection and reports whether
// there was one.
func (pl *pool) closeFirstIdle() bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if len(pl.idle) == 0 {
		return false
	}
	pl.idle[0].close()
	pl.idle = slices.Delete(pl.idle, 0, 1)
	return true
}
