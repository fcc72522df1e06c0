package peering

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/member"
)

// simultaneousWindow is the longest time between the moments at which two links
// come up if both members dial at the same moment: each link takes up to
// HelloTimeout to connect and up to HelloTimeout again for the Hello.
const simultaneousWindow = 2 * HelloTimeout

// replaces reports whether candidate, a new link to a member, replaces the
// current link to it. Both ends must keep the same link:
//
//   - The link to the later incarnation is kept, because the earlier process has
//     ended.
//   - A candidate that came up more than simultaneousWindow after the current
//     link replaces it: the member that dialed had no link any more, so the
//     current one is half-open.
//   - Of two links dialed by the same member, the newer one is kept.
//   - Of two links dialed by both members at the same moment, the one dialed by
//     the member with the smaller ID is kept.
func replaces(self string, candidate, current *link) bool {
	switch {
	case candidate.info.Incarnation != current.info.Incarnation:
		return candidate.info.Incarnation > current.info.Incarnation
	case candidate.upSince.Sub(current.upSince) > simultaneousWindow || candidate.dialed == current.dialed:
		return true
	}
	return candidate.dialed == (self < candidate.info.ID)
}

// replacedCloseDelay is the time for which a replaced link stays open. The peer
// may have sent messages on it before it switched to the other link.
const replacedCloseDelay = time.Second

// addLink adds a link and, after replacedCloseDelay, closes all links to the same
// member except the one in use. It returns false if Run has ended or there are
// too many links.
func (n *Node) addLink(l *link) bool {
	n.notifyMu.Lock()
	defer n.notifyMu.Unlock()
	n.mu.Lock()
	if n.run == nil || n.linkCount >= MaxLinks {
		n.mu.Unlock()
		return false
	}
	n.linkCount++
	p := n.peerLocked(l.info.ID)
	last := len(p.links) - 1
	inUse := last < 0 || replaces(n.cfg.ID, l, p.links[last])
	if inUse {
		p.links = append(p.links, l)
	} else {
		p.links = slices.Insert(p.links, last, l)
	}
	replaced := slices.Clone(p.links[:len(p.links)-1])
	p.signal()
	n.metrics.links.Update(float64(n.linkCount))
	n.mu.Unlock()

	for _, old := range replaced {
		time.AfterFunc(replacedCloseDelay, func() { _ = old.conn.CloseWithError(codeReplaced, "another link is kept") })
	}
	if inUse {
		n.cfg.Log.Info("peer_link_up", zap.String("member", l.info.ID), zap.Uint64("boot", l.info.Incarnation), zap.Bool("dialed", l.dialed))
		n.handler.LinkUp(l.info)
	}
	return true
}

// removeLink removes a link that has ended.
func (n *Node) removeLink(l *link, cause error) {
	n.notifyMu.Lock()
	defer n.notifyMu.Unlock()
	n.mu.Lock()
	n.linkCount--
	p := n.peers[l.info.ID]
	p.links = slices.DeleteFunc(p.links, func(other *link) bool { return other == l })
	allEnded := len(p.links) == 0
	p.failed = p.failed || allEnded
	p.signal()
	if allEnded && p.cancel == nil {
		delete(n.peers, l.info.ID)
	}
	n.metrics.links.Update(float64(n.linkCount))
	n.mu.Unlock()

	if allEnded {
		n.cfg.Log.Info("peer_link_down", zap.String("member", l.info.ID), zap.Uint64("boot", l.info.Incarnation), zap.Error(cause))
		n.handler.LinkDown(l.info.ID)
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

// SetPeers sets the members to which links are maintained. It closes links that
// this instance dialed to members that are not in the list.
func (n *Node) SetPeers(members []member.Info) {
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
		for _, l := range p.links {
			if l.dialed {
				unwanted = append(unwanted, l)
			}
		}
		if len(p.links) == 0 {
			delete(n.peers, id)
		}
	}
	for id := range wanted {
		n.startDialerLocked(id)
	}
	n.mu.Unlock()
	for _, l := range unwanted {
		_ = l.conn.CloseWithError(codeStopped, "link is not needed")
	}
}
