package faultproxy

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// udpTransport opens a separate socket to the target for each client address.
type udpTransport struct {
	proxy  *Proxy
	socket *net.UDPConn

	mu      sync.Mutex
	clients map[netip.AddrPort]*udpClient
}

// udpClient is the client side of a connection. Read returns the datagrams that
// the shared socket received from the client.
type udpClient struct {
	*net.UDPConn // shared socket, embedded for the methods of net.Conn that are never called
	address      netip.AddrPort
	received     chan []byte
	closed       chan struct{}
	closeOnce    sync.Once
}

func (p *Proxy) startUDP() error {
	address, err := net.ResolveUDPAddr(UDP, p.cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	socket, err := net.ListenUDP(UDP, address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	u := &udpTransport{proxy: p, socket: socket, clients: map[netip.AddrPort]*udpClient{}}
	p.transport = u
	p.setAddress(socket.LocalAddr().String())
	p.group.Go(u.receive)
	return nil
}

func (u *udpTransport) setListening(bool) error { return nil } // UDP has no connections to refuse

func (u *udpTransport) close() error { return errors.Wrap(u.socket.Close(), "close socket") }

// receive passes each datagram to its udpClient until the socket is closed.
func (u *udpTransport) receive() {
	buffer := make([]byte, readBufferBytes)
	for {
		n, address, err := u.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		c := u.client(address)
		if c == nil {
			continue
		}
		select {
		case c.received <- append([]byte(nil), buffer[:n]...):
		default: // the queue is full: drop the datagram, as a network does
		}
	}
}

// client returns the client with the address, and creates it if necessary. It
// returns nil if the target cannot be dialed or the proxy is closed.
func (u *udpTransport) client(address netip.AddrPort) *udpClient {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c, ok := u.clients[address]; ok {
		return c
	}
	target, err := net.Dial(UDP, u.proxy.cfg.Target)
	if err != nil {
		return nil
	}
	client := &udpClient{UDPConn: u.socket, address: address, received: make(chan []byte, queueLength), closed: make(chan struct{})}
	c := &connection{client: client, target: target}
	if !u.proxy.add(c) {
		target.Close()
		return nil
	}
	u.clients[address] = client
	u.proxy.group.Go(func() { u.proxy.pump(c, toTarget, client, target) })
	u.proxy.group.Go(func() { u.proxy.pump(c, toClient, retryingConn{target}, client) })
	return client
}

// Read returns one datagram from the client.
func (c *udpClient) Read(b []byte) (int, error) {
	select {
	case data := <-c.received:
		return copy(b, data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Write sends one datagram to the client.
func (c *udpClient) Write(b []byte) (int, error) { return c.WriteToUDPAddrPort(b, c.address) }

// Close unblocks Read. The shared socket stays open for other clients.
func (c *udpClient) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// retryingConn is a UDP socket to the target that reads again after errors such
// as "connection refused", which occur while the target restarts.
type retryingConn struct{ net.Conn }

func (r retryingConn) Read(b []byte) (int, error) {
	for {
		n, err := r.Conn.Read(b)
		if err == nil || errors.Is(err, net.ErrClosed) {
			return n, err
		}
	}
}
