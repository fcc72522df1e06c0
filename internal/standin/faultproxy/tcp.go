package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// dialTimeout bounds connecting to the target.
const dialTimeout = 5 * time.Second

// tcpCarrier owns the listener, which is closed while connections are refused.
type tcpCarrier struct {
	proxy *Proxy

	mu       sync.Mutex
	listener net.Listener // nil while refused or closed
	closed   bool
}

func (p *Proxy) startTCP() error {
	t := &tcpCarrier{proxy: p}
	p.carrier = t
	p.setAddress(p.cfg.Listen)
	return t.setListening(true)
}

func (t *tcpCarrier) setListening(on bool) error {
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
	t.proxy.setAddress(l.Addr().String()) // kept when connections are accepted again
	t.proxy.group.Go(func() { t.accept(l) })
	return nil
}

func (t *tcpCarrier) close() error {
	err := t.setListening(false)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	return err
}

func (t *tcpCarrier) accept(l net.Listener) {
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
	both.Go(func() { p.carryTCP(c, toTarget, client, target) })
	both.Go(func() { p.carryTCP(c, toClient, target, client) })
	both.Wait()
}

// carryTCP carries one direction. The end of the source is passed on as the
// end of that direction, unless the direction is silent: behind a partition
// neither side sees the other one close.
func (p *Proxy) carryTCP(c *connection, d direction, from, to net.Conn) {
	if p.pump(c, d, from, to) {
		_ = to.(*net.TCPConn).CloseWrite() // fails only when the connection is closed already
	}
}

func (p *Proxy) countReset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Resets++
}
