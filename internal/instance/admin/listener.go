package admin

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// limitedListener limits the number of open connections. When all slots are in use,
// it closes the connection that has been idle longest, so that clients that keep
// connections open don't block new ones.
type limitedListener struct {
	net.Listener
	slots  chan struct{} // holds one value for each slot in use
	closed chan struct{}
	once   sync.Once

	mu         sync.Mutex
	idle       []net.Conn // oldest first
	slotNeeded bool       // Accept waits for the next connection that becomes idle
}

func newLimitedListener(l net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits for a free slot, then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	if err := l.acquireSlot(); err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

func (l *limitedListener) acquireSlot() error {
	select {
	case l.slots <- struct{}{}:
		return nil
	default:
		l.closeIdle()
	}
	select {
	case l.slots <- struct{}{}:
		return nil
	case <-l.closed:
		return net.ErrClosed
	}
}

// closeIdle closes the connection that has been idle longest. If none is idle, the
// next one to become idle is closed.
func (l *limitedListener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle) == 0 {
		l.slotNeeded = true
		return
	}
	go l.idle[0].Close() // Close may block on a client that does not read
	l.idle = l.idle[1:]
}

// connState tracks idle connections. It is the ConnState hook of the http.Server.
func (l *limitedListener) connState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = slices.DeleteFunc(l.idle, func(other net.Conn) bool { return other == c })
	switch {
	case state != http.StateIdle:
	case l.slotNeeded:
		l.slotNeeded = false
		go c.Close()
	default:
		l.idle = append(l.idle, c)
	}
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
