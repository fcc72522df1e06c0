package peering

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
)

// startDialerLocked starts the dialer of a member unless it is already running.
func (n *Node) startDialerLocked(id string) {
	p := n.peerLocked(id)
	if n.run == nil || p.cancel != nil {
		return
	}
	r := n.run
	ctx, cancel := context.WithCancel(r.ctx)
	p.cancel = cancel
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer cancel()
		n.maintainLink(ctx, r, id, p)
	}()
}

// maintainLink opens a link to a member whenever there is none, until ctx ends.
// The member with the smaller ID dials at once, the other after DialGrace.
func (n *Node) maintainLink(ctx context.Context, r *runState, id string, p *peer) {
	backoff := MinBackoff
	for ctx.Err() == nil {
		if n.linked(p) {
			backoff = MinBackoff
			wait(ctx, p.changed, IdleTimeout)
			continue
		}
		if n.cfg.ID > id && n.waitForPeer(ctx, p) {
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if err := n.dial(ctx, r, id); err != nil && ctx.Err() == nil {
			n.metrics.failures.Inc(1)
			n.markFailed(p)
			n.cfg.Log.Debug("peer_dial_failed", zap.String("member", id), zap.Error(err))
		}
		if n.linked(p) {
			continue
		}
		wait(ctx, nil, jittered(backoff, n.cfg.Jitter()))
		backoff = min(2*backoff, MaxBackoff)
	}
}

// waitForPeer waits until the member has dialed, at most for DialGrace, and
// reports whether there is a link.
func (n *Node) waitForPeer(ctx context.Context, p *peer) bool {
	deadline := time.Now().Add(n.cfg.dialGrace())
	for ctx.Err() == nil && time.Now().Before(deadline) {
		wait(ctx, p.changed, time.Until(deadline))
		if n.linked(p) {
			return true
		}
	}
	return false
}

// dial opens a connection to a member and serves the link in a new goroutine. It
// returns when the link is up or has failed.
func (n *Node) dial(ctx context.Context, r *runState, id string) error {
	n.metrics.dials.Inc(1)
	n.mu.Lock()
	info, ok := n.wanted[id]
	failed := n.peerLocked(id).failed
	n.mu.Unlock()
	if !ok {
		return errors.New("link to the member is no longer needed")
	}
	address, err := netip.ParseAddrPort(info.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	dialCtx, cancel := context.WithTimeout(ctx, HelloTimeout)
	defer cancel()
	conn, err := n.connect(dialCtx, r, address, failed)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		ended <- n.serve(r, conn, id)
	}()
	p := n.peerOf(id)
	for {
		select {
		case err := <-ended:
			return err
		case <-p.changed:
			if n.linked(p) {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// connect opens a connection from the shared socket or, after a failure, from a
// new socket: a network path can lose all packets between two ports for good
// while it delivers packets from another port.
func (n *Node) connect(ctx context.Context, r *runState, to netip.AddrPort, newSocket bool) (*quic.Conn, error) {
	address, config := net.UDPAddrFromAddrPort(to), withProtocol(n.cfg.ClientTLS)
	if !newSocket {
		return r.transport.Dial(ctx, address, config, quicConfig())
	}
	socket, err := n.cfg.ListenEphemeral()
	if err != nil {
		return nil, errors.Wrap(err, "open socket for one link")
	}
	transport := &quic.Transport{Conn: socket}
	release := func() {
		_ = transport.Close()
		_ = socket.Close()
	}
	conn, err := transport.Dial(ctx, address, config, quicConfig())
	if err != nil {
		release()
		return nil, err
	}
	r.wg.Go(func() {
		<-conn.Context().Done()
		release()
	})
	return conn, nil
}

func (n *Node) markFailed(p *peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.failed = true
}

func (n *Node) peerOf(id string) *peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peerLocked(id)
}

func (n *Node) linked(p *peer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(p.links) > 0
}

// jittered returns a time from d/2 to d, so that instances that lost the same
// peer do not redial it at the same moment.
func jittered(d time.Duration, factor float64) time.Duration {
	return d/2 + time.Duration(factor*float64(d/2))
}

// wait returns after d, on a value from changed, or when ctx ends.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-ctx.Done():
	}
}
