package peering

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/member"
)

// preferred orders the links of one member; the greatest is kept and used.
//
// Both ends must keep the same link. A link of a later boot wins, because the
// earlier process is gone. Then the link that the member with the smaller ID
// dialed wins. Of two links that the same side dialed the newer wins, as the
// dialing side only dials when it has none.
func preferred(self string, a, b *link) int {
	if c := cmp.Compare(a.info.Boot, b.info.Boot); c != 0 {
		return c
	}
	if a.dialed != b.dialed {
		if a.dialed == (self < a.info.ID) {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.serial, b.serial)
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
	n.serial++
	k.serial = n.serial
	n.links++
	p := n.peerLocked(k.info.ID)
	p.links = append(p.links, k)
	slices.SortFunc(p.links, func(a, b *link) int { return preferred(n.cfg.ID, a, b) })
	replaced := slices.Clone(p.links[:len(p.links)-1])
	used := p.links[len(p.links)-1] == k
	p.signal()
	n.metrics.links.Update(float64(n.links))
	n.mu.Unlock()

	for _, old := range replaced {
		time.AfterFunc(handover, func() { _ = old.conn.CloseWithError(codeReplaced, "another link is kept") })
	}
	if used {
		n.cfg.Log.Info("peer_link_up", zap.String("member", k.info.ID), zap.Uint64("boot", k.info.Boot), zap.Bool("dialed", k.dialed))
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
	p.signal()
	if last && p.cancel == nil {
		delete(n.peers, k.info.ID)
	}
	n.metrics.links.Update(float64(n.links))
	n.mu.Unlock()

	if last {
		n.cfg.Log.Info("peer_link_down", zap.String("member", k.info.ID), zap.Uint64("boot", k.info.Boot), zap.Error(cause))
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
