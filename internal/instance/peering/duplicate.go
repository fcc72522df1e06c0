package peering

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/member"
)

// crossing is the longest time between two links that both members dialed at
// the same moment: each takes up to HelloTimeout to connect and again for the
// Hello.
const crossing = 2 * HelloTimeout

// replaces reports whether a new link to a member is kept instead of the one in
// use. Both ends must keep the same link.
//
// A link of a later boot is kept, because the earlier process is gone. A link
// that comes up later than two crossing dials can is kept too: its dialer had
// no link any more, so that the one in use is half-dead. Of two crossing links
// the one that the member with the smaller ID dialed is kept, and of two that
// the same member dialed the newer one.
func replaces(self string, fresh, used *link) bool {
	switch {
	case fresh.info.Incarnation != used.info.Incarnation:
		return fresh.info.Incarnation > used.info.Incarnation
	case fresh.up.Sub(used.up) > crossing || fresh.dialed == used.dialed:
		return true
	}
	return fresh.dialed == (self < fresh.info.ID)
}

// handover is the time for which a replaced link stays open. The other side may
// have sent on it before it learned of the link that is kept.
const handover = time.Second

// add takes a link into use and closes the links that it replaces after the
// handover. It reports false when there are too many links.
func (n *Node) add(k *link) bool {
	n.notify.Lock()
	defer n.notify.Unlock()
	n.mu.Lock()
	if n.run == nil || n.links >= MaxLinks {
		n.mu.Unlock()
		return false
	}
	n.links++
	p := n.peerLocked(k.info.ID)
	last := len(p.links) - 1
	used := last < 0 || replaces(n.cfg.ID, k, p.links[last])
	if used {
		p.links = append(p.links, k)
	} else {
		p.links = slices.Insert(p.links, last, k)
	}
	replaced := slices.Clone(p.links[:len(p.links)-1])
	p.signal()
	n.metrics.links.Update(float64(n.links))
	n.mu.Unlock()

	for _, old := range replaced {
		time.AfterFunc(handover, func() { _ = old.conn.CloseWithError(codeReplaced, "another link is kept") })
	}
	if used {
		n.cfg.Log.Info("peer_link_up", zap.String("member", k.info.ID), zap.Uint64("boot", k.info.Incarnation), zap.Bool("dialed", k.dialed))
		n.handler.LinkUp(k.info)
	}
	return true
}

// remove forgets a link that ended.
func (n *Node) remove(k *link, cause error) {
	n.notify.Lock()
	defer n.notify.Unlock()
	n.mu.Lock()
	n.links--
	p := n.peers[k.info.ID]
	p.links = slices.DeleteFunc(p.links, func(other *link) bool { return other == k })
	last := len(p.links) == 0
	p.failed = p.failed || last
	p.signal()
	if last && p.cancel == nil {
		delete(n.peers, k.info.ID)
	}
	n.metrics.links.Update(float64(n.links))
	n.mu.Unlock()

	if last {
		n.cfg.Log.Info("peer_link_down", zap.String("member", k.info.ID), zap.Uint64("boot", k.info.Incarnation), zap.Error(cause))
		n.handler.LinkDown(k.info.ID)
	}
}

func (n *Node) peerLocked(id string) *peer {
	p, ok := n.peers[id]
	if !ok {
		p = &peer{changed: make(chan struct{}, 1)}
		n.peers[id] = p
	}
	return p
}

// signal wakes the peer's dialer.
func (p *peer) signal() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Connect sets the members to which links are to be kept. Links that this
// instance dialed to other members are closed.
func (n *Node) Connect(members []member.Info) {
	n.mu.Lock()
	wanted := make(map[string]member.Info, len(members))
	for _, info := range members {
		if info.ID != n.cfg.ID {
			wanted[info.ID] = info
		}
	}
	n.wanted = wanted
	var unwanted []*link
	for id, p := range n.peers {
		if _, ok := wanted[id]; ok || p.cancel == nil {
			continue
		}
		p.cancel()
		p.cancel = nil
		for _, k := range p.links {
			if k.dialed {
				unwanted = append(unwanted, k)
			}
		}
		if len(p.links) == 0 {
			delete(n.peers, id)
		}
	}
	for id := range wanted {
		n.dialLocked(id)
	}
	n.mu.Unlock()
	for _, k := range unwanted {
		_ = k.conn.CloseWithError(codeStopped, "link is not needed")
	}
}
