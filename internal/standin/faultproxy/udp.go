package faultproxy

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// udpCarrier gives each client address a socket of its own to the target.
type udpCarrier struct {
	proxy  *Proxy
	socket *net.UDPConn

	mu      sync.Mutex
	clients map[netip.AddrPort]*udpClient
}

// udpClient is the client's side of a connection. It reads the datagrams that
// the carrier's socket received from the client.
type udpClient struct {
	*net.UDPConn // the carrier's socket, for the methods that are not used
	address      netip.AddrPort
	received     chan []byte
	gone         chan struct{}
	once         sync.Once
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
	u := &udpCarrier{proxy: p, socket: socket, clients: map[netip.AddrPort]*udpClient{}}
	p.carrier = u
	p.setAddress(socket.LocalAddr().String())
	p.group.Go(u.receive)
	return nil
}

func (u *udpCarrier) setListening(bool) error { return nil } // UDP has no connections to refuse

func (u *udpCarrier) close() error { return errors.Wrap(u.socket.Close(), "close socket") }

// receive hands each datagram to its client until the socket is closed.
func (u *udpCarrier) receive() {
	buffer := make([]byte, readBytes)
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
		default: // a full queue drops datagrams, as a network does
		}
	}
}

// client returns the client with the address, or nil when the target cannot be
// reached.
func (u *udpCarrier) client(address netip.AddrPort) *udpClient {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c, ok := u.clients[address]; ok {
		return c
	}
	target, err := net.Dial(UDP, u.proxy.cfg.Target)
	if err != nil {
		return nil
	}
	client := &udpClient{UDPConn: u.socket, address: address, received: make(chan []byte, queueLength), gone: make(chan struct{})}
	c := &connection{client: client, target: target}
	if !u.proxy.add(c) {
		target.Close()
		return nil
	}
	u.clients[address] = client
	u.proxy.group.Go(func() { u.proxy.pump(c, toTarget, client, target) })
	u.proxy.group.Go(func() { u.proxy.pump(c, toClient, retrying{target}, client) })
	return client
}

// Read returns one datagram of the client.
func (c *udpClient) Read(b []byte) (int, error) {
	select {
	case data := <-c.received:
		return copy(b, data), nil
	case <-c.gone:
		return 0, net.ErrClosed
	}
}

// Write sends one datagram to the client.
func (c *udpClient) Write(b []byte) (int, error) { return c.WriteToUDPAddrPort(b, c.address) }

// Close ends Read. The socket stays open for other clients.
func (c *udpClient) Close() error {
	c.once.Do(func() { close(c.gone) })
	return nil
}

// retrying is a socket to the target whose reads go on after an error such as
// "connection refused", which a UDP target causes while it restarts.
type retrying struct{ net.Conn }

func (r retrying) Read(b []byte) (int, error) {
	for {
		n, err := r.Conn.Read(b)
		if err == nil || errors.Is(err, net.ErrClosed) {
			return n, err
		}
	}
}
