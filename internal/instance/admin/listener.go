package admin

import (
	"net"
	"sync"
)

// limitedListener accepts a bounded number of connections at a time.
type limitedListener struct {
	net.Listener
	free   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitedListener(l net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: l, free: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits for a free place, then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.free <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.free })}, nil
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
