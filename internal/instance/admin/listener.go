package admin

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// limitedListener accepts a bounded number of connections at a time. When all
// places are taken, the connection that has been idle longest is closed for a
// new one: clients that keep connections must not keep others out.
type limitedListener struct {
	net.Listener
	free   chan struct{}
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	idle    []net.Conn // oldest first
	waiting bool       // Accept needs a place
}

func newLimitedListener(l net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: l, free: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits for a free place, then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	if err := l.takePlace(); err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.free })}, nil
}

func (l *limitedListener) takePlace() error {
	select {
	case l.free <- struct{}{}:
		return nil
	default:
		l.makeRoom()
	}
	select {
	case l.free <- struct{}{}:
		return nil
	case <-l.closed:
		return net.ErrClosed
	}
}

// makeRoom closes the connection that has been idle longest, or the next one
// that becomes idle.
func (l *limitedListener) makeRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle) == 0 {
		l.waiting = true
		return
	}
	go l.idle[0].Close() // closing may wait for a client that does not read
	l.idle = l.idle[1:]
}

// connState follows the server's connections; it is an http.Server's ConnState.
func (l *limitedListener) connState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = slices.DeleteFunc(l.idle, func(other net.Conn) bool { return other == c })
	switch {
	case state != http.StateIdle:
	case l.waiting:
		l.waiting = false
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

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
