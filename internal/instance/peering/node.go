package peering

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// Node maintains the links of an instance. It implements Sender.
type Node struct {
	cfg     Config
	handler Handler
	metrics metrics

	// notifyMu serializes the calls of LinkUp and LinkDown. It is locked before
	// mu. Send and SetPeers lock only mu, because the control goroutine calls
	// them and a LinkUp call may be waiting for that goroutine.
	notifyMu sync.Mutex

	mu        sync.Mutex
	peers     map[string]*peer
	wanted    map[string]member.Info
	run       *runState // nil unless Run is active
	linkCount int
}

// peer holds the links to a member and the state of its dialer.
type peer struct {
	links   []*link       // the last one is in use, the others have been replaced
	changed chan struct{} // receives a value after links changed
	cancel  context.CancelFunc
	failed  bool // the last link ended or a dial failed; later dials use a new socket
}

// runState holds the state of one call of Run.
type runState struct {
	ctx       context.Context
	transport *quic.Transport
	wg        sync.WaitGroup
}

// New returns a node that reports messages and changes of links to handler.
func New(cfg Config, handler Handler) *Node {
	return &Node{
		cfg: cfg, handler: handler, metrics: newMetrics(cfg.Scope),
		peers: make(map[string]*peer), wanted: make(map[string]member.Info),
	}
}

// Run accepts and dials links until ctx ends, then closes all of them. It
// returns an error if the socket cannot be opened or fails.
func (n *Node) Run(ctx context.Context) error {
	socket, err := n.cfg.Listen()
	if err != nil {
		return errors.Wrap(err, "open peer socket")
	}
	defer socket.Close()
	ctx, cancel := context.WithCancel(ctx)
	r := &runState{ctx: ctx, transport: &quic.Transport{Conn: socket}}
	defer r.transport.Close()
	listener, err := r.transport.Listen(withProtocol(n.cfg.ServerTLS), quicConfig())
	if err != nil {
		cancel()
		return errors.Wrap(err, "listen for peers")
	}
	n.start(r)
	err = n.accept(r, listener)
	n.stop()
	cancel()
	n.closeLinks()
	r.wg.Wait()
	return err
}

func (n *Node) start(r *runState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.run = r
	for id := range n.wanted {
		n.startDialerLocked(id)
	}
}

func (n *Node) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.run = nil
	for _, p := range n.peers {
		if p.cancel != nil {
			p.cancel()
			p.cancel = nil
		}
	}
}

func (n *Node) accept(r *runState, listener *quic.Listener) error {
	for {
		conn, err := listener.Accept(r.ctx)
		if r.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept peer")
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			if err := n.serve(r, conn, ""); err != nil {
				n.cfg.Log.Debug("peer_link_ended", zap.Stringer("remote", conn.RemoteAddr()), zap.Error(err))
			}
		}()
	}
}

// serve opens a link on a connection and reads from it until it ends. If
// expectedID is not empty, this instance dialed and the peer must have that ID.
func (n *Node) serve(r *runState, conn *quic.Conn, expectedID string) error {
	l, err := open(r.ctx, conn, n.cfg.Self(), expectedID != "")
	if err == nil && expectedID != "" && l.info.ID != expectedID {
		err = errors.Wrapf(ErrIdentity, "dialed %q, reached %q", expectedID, l.info.ID)
	}
	if err == nil && l.info.ID == n.cfg.ID {
		err = errors.Wrap(ErrIdentity, "peer has the ID of this instance")
	}
	if err != nil {
		n.metrics.refused.Inc(1)
		n.cfg.Log.Warn("peer_refused", zap.Stringer("remote", conn.RemoteAddr()), zap.String("dialed", expectedID), zap.Error(err))
		_ = conn.CloseWithError(closeCode(err), "refused")
		return err
	}
	if !n.addLink(l) {
		n.metrics.refused.Inc(1)
		_ = conn.CloseWithError(codeTooMany, "too many links")
		return errors.New("too many links")
	}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		if err := l.write(&n.metrics, n.cfg.Log); err != nil {
			_ = conn.CloseWithError(codeStopped, "write failed")
		}
	}()
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		l.enforceReceiveTimeout(n.cfg.ReceiveTimeout)
	}()
	err = n.read(l)
	_ = conn.CloseWithError(closeCode(err), "read ended")
	n.removeLink(l, err)
	return nil
}

func (n *Node) read(l *link) error {
	for {
		m, err := l.next()
		if err != nil {
			return err
		}
		n.metrics.received.Inc(1)
		n.handler.Message(l.info.ID, m)
	}
}

// Send queues the message for a member. If there is no link or its queue is
// full, the message is dropped and counted.
func (n *Node) Send(id string, m wire.Message) {
	n.mu.Lock()
	var l *link
	if p := n.peers[id]; p != nil && len(p.links) > 0 {
		l = p.links[len(p.links)-1]
	}
	n.mu.Unlock()
	if l == nil || !l.enqueue(&m) {
		n.metrics.dropped.Inc(1)
	}
}

// closeLinks closes all links when Run ends.
func (n *Node) closeLinks() {
	n.mu.Lock()
	var all []*link
	for _, p := range n.peers {
		all = append(all, p.links...)
	}
	n.mu.Unlock()
	for _, l := range all {
		_ = l.conn.CloseWithError(codeStopped, "instance stops")
	}
}

// ListenUDP returns a function for Config.Listen that opens a UDP socket on an
// IP:port.
func ListenUDP(address string) func() (net.PacketConn, error) {
	return func() (net.PacketConn, error) {
		a, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return nil, err
		}
		return net.ListenUDP("udp", a)
	}
}

// ListenEphemeralUDP returns a function for Config.ListenEphemeral that opens a UDP
// socket on the IP of an IP:port and a free port.
func ListenEphemeralUDP(address string) func() (net.PacketConn, error) {
	return func() (net.PacketConn, error) {
		a, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return nil, err
		}
		return net.ListenUDP("udp", &net.UDPAddr{IP: a.IP})
	}
}
