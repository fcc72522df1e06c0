package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// dialTimeout limits connecting to the target.
const dialTimeout = 5 * time.Second

// tcpTransport owns the listener, which is closed while Control.Refuse is set.
type tcpTransport struct {
	proxy *Proxy

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused, and after close
	closed   bool
}

func (p *Proxy) startTCP() error {
	t := &tcpTransport{proxy: p}
	p.transport = t
	p.setAddress(p.cfg.Listen)
	return t.setListening(true)
}

func (t *tcpTransport) setListening(on bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || on == (t.listener != nil) {
		return nil
	}
	if !on {
		err := t.listener.Close()
		t.listener = nil
		return errors.Wrap(err, "close listener")
	}
	l, err := net.Listen(TCP, t.proxy.Address())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	t.listener = l
	t.proxy.setAddress(l.Addr().String()) // later listeners use the same port
	t.proxy.group.Go(func() { t.accept(l) })
	return nil
}

func (t *tcpTransport) close() error {
	err := t.setListening(false)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	return err
}

func (t *tcpTransport) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return // the listener was closed
		}
		t.proxy.group.Go(func() { t.proxy.serveTCP(client) })
	}
}

func (p *Proxy) serveTCP(client net.Conn) {
	if p.Status().Control.ResetOnAccept {
		p.countReset()
		resetConn(client)
		client.Close()
		return
	}
	target, err := net.DialTimeout(TCP, p.cfg.Target, dialTimeout)
	if err != nil {
		p.mu.Lock()
		p.counts.DialFailures++
		p.mu.Unlock()
		resetConn(client)
		client.Close()
		return
	}
	c := &connection{client: client, target: target}
	defer c.close()
	if !p.add(c) {
		return
	}
	defer p.remove(c)
	var both sync.WaitGroup
	both.Go(func() { p.forwardTCP(c, toTarget, client, target) })
	both.Go(func() { p.forwardTCP(c, toClient, target, client) })
	both.Wait()
}

// forwardTCP forwards one direction. When the source closes its side, the other
// side is closed too, unless the direction is silent: across a partition,
// neither side sees the other close.
func (p *Proxy) forwardTCP(c *connection, d direction, from, to net.Conn) {
	if p.pump(c, d, from, to) {
		_ = to.(*net.TCPConn).CloseWrite() // fails only if the connection is already closed
	}
}

func (p *Proxy) countReset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Resets++
}
