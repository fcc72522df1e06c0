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

// Node keeps the links of one instance. It implements Sender.
type Node struct {
	cfg     Config
	handler Handler
	metrics metrics

	// notify orders the handler's calls of LinkUp and LinkDown. It is taken
	// before mu. Send and Connect take only mu, because the control goroutine
	// calls them while a LinkUp may wait for it.
	notify sync.Mutex

	mu     sync.Mutex
	peers  map[string]*peer
	wanted map[string]member.Info
	run    *run // nil while Run does not run
	links  int
}

// peer is a member with its links and its dialer.
type peer struct {
	links   []*link       // the last one is in use, the others were replaced
	changed chan struct{} // holds one element after links changed
	cancel  context.CancelFunc
	failed  bool // the last link ended, or none came up
}

// run is what one call of Run uses.
type run struct {
	ctx       context.Context
	transport *quic.Transport
	wg        sync.WaitGroup
}

// New returns a node that hands messages and changes of links to handler.
func New(cfg Config, handler Handler) *Node {
	return &Node{
		cfg: cfg, handler: handler, metrics: newMetrics(cfg.Scope),
		peers: make(map[string]*peer), wanted: make(map[string]member.Info),
	}
}

// Run accepts and dials links until ctx ends, then closes all of them. It
// returns an error when the socket cannot be opened or fails.
func (n *Node) Run(ctx context.Context) error {
	socket, err := n.cfg.Listen()
	if err != nil {
		return errors.Wrap(err, "open peer socket")
	}
	defer socket.Close()
	ctx, cancel := context.WithCancel(ctx)
	r := &run{ctx: ctx, transport: &quic.Transport{Conn: socket}}
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
	n.closeAll()
	r.wg.Wait()
	return err
}

func (n *Node) start(r *run) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.run = r
	for id := range n.wanted {
		n.dialLocked(id)
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

func (n *Node) accept(r *run, listener *quic.Listener) error {
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

// serve opens a link on a connection and reads from it until it ends. With a
// non-empty want the peer must be that member.
func (n *Node) serve(r *run, conn *quic.Conn, want string) error {
	k, err := open(r.ctx, conn, n.cfg.Self(), want != "")
	if err == nil && want != "" && k.info.ID != want {
		err = errors.Wrapf(ErrIdentity, "dialed %q, reached %q", want, k.info.ID)
	}
	if err == nil && k.info.ID == n.cfg.ID {
		err = errors.Wrap(ErrIdentity, "peer has the name of this instance")
	}
	if err != nil {
		n.metrics.refused.Inc(1)
		n.cfg.Log.Warn("peer_refused", zap.Stringer("remote", conn.RemoteAddr()), zap.String("dialed", want), zap.Error(err))
		_ = conn.CloseWithError(closeCode(err), "refused")
		return err
	}
	if !n.add(k) {
		n.metrics.refused.Inc(1)
		_ = conn.CloseWithError(codeTooMany, "too many links")
		return errors.New("too many links")
	}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		if err := k.write(&n.metrics, n.cfg.Log); err != nil {
			_ = conn.CloseWithError(codeStopped, "write failed")
		}
	}()
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		k.watch(n.cfg.Silence)
	}()
	err = n.read(k)
	_ = conn.CloseWithError(closeCode(err), "read ended")
	n.remove(k, err)
	return nil
}

func (n *Node) read(k *link) error {
	for {
		m, err := k.next()
		if err != nil {
			return err
		}
		n.metrics.received.Inc(1)
		n.handler.Message(k.info.ID, m)
	}
}

// Send queues the message for one member. It is dropped and counted when there
// is no link or the link's queue is full.
func (n *Node) Send(id string, m wire.Message) {
	n.mu.Lock()
	var k *link
	if p := n.peers[id]; p != nil && len(p.links) > 0 {
		k = p.links[len(p.links)-1]
	}
	n.mu.Unlock()
	if k == nil || !k.enqueue(&m) {
		n.metrics.dropped.Inc(1)
	}
}

// closeAll closes the connections that are left when Run ends.
func (n *Node) closeAll() {
	n.mu.Lock()
	var all []*link
	for _, p := range n.peers {
		all = append(all, p.links...)
	}
	n.mu.Unlock()
	for _, k := range all {
		_ = k.conn.CloseWithError(codeStopped, "instance stops")
	}
}

// ListenUDP returns a Listen function for an IP:port.
func ListenUDP(address string) func() (net.PacketConn, error) {
	return func() (net.PacketConn, error) {
		a, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return nil, err
		}
		return net.ListenUDP("udp", a)
	}
}

// OpenUDP opens a UDP socket on a free port of the IP in an IP:port.
func OpenUDP(address string) func() (net.PacketConn, error) {
	return func() (net.PacketConn, error) {
		a, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return nil, err
		}
		return net.ListenUDP("udp", &net.UDPAddr{IP: a.IP})
	}
}
