package control

import (
	"time"

	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// Limits that keep messages below wire.MaxControlFrameBytes.
const (
	maxInFlight = 512 // upstreams in a heartbeat
	maxEvidence = 64  // upstreams in an evidence message
)

// SetInFlight sets the function that returns the requests in flight.
func (l *Loop) SetInFlight(source func() []wire.InFlight) { l.inFlight.Store(&source) }

// sendHeartbeats sends a heartbeat on every link whose last one was sent at
// least minAge ago. Half a tick less is enough, as it is called on ticks.
func (l *Loop) sendHeartbeats(now time.Time, minAge time.Duration) {
	for _, id := range l.linkedIDs() {
		peer := l.links[id]
		if now.Sub(peer.lastHeartbeat) >= minAge-health.TickInterval/2 {
			l.sendHeartbeat(now, id, peer)
		}
	}
}

// sendAllHeartbeats sends a heartbeat on every link.
func (l *Loop) sendAllHeartbeats(now time.Time) { l.sendHeartbeats(now, 0) }

func (l *Loop) sendHeartbeat(now time.Time, id string, peer *link) {
	peer.lastHeartbeat = now
	l.self.Sequence++
	l.table.SetSelf(l.self)
	l.send(id, l.newHeartbeat(id))
}

// newHeartbeat returns a heartbeat for a peer. It includes requests in flight
// only for peers of this instance's shard, as other shards use other upstreams.
func (l *Loop) newHeartbeat(id string) wire.Message {
	h := &wire.Heartbeat{
		Info:   member.Info{Sequence: l.self.Sequence, State: l.self.State},
		Digest: l.documents.digest,
	}
	if known := l.holder.Load(); known != nil && known.isSelf {
		h.Holder = &known.holder
	}
	shards := l.table.Shards()
	if source := l.inFlight.Load(); source != nil && member.ShardOf(id, shards) == member.ShardOf(l.self.ID, shards) {
		h.InFlight = (*source)()
		h.InFlight = h.InFlight[:min(len(h.InFlight), maxInFlight)]
	}
	return wire.Message{Heartbeat: h}
}

func (l *Loop) receiveHeartbeat(now time.Time, from string, incarnation uint64, h *wire.Heartbeat) {
	l.recordTransitions(now, l.table.MergeHeartbeat(from, incarnation, h.Info.Sequence, h.Info.State, now))
	l.receiveHolder(now, from, h.Holder)
	peer, ok := l.links[from]
	if !ok {
		return
	}
	// A heartbeat sent in response shares a packet with the acknowledgment of the
	// received one, which saves a quarter of the packets on an idle link.
	if now.Sub(peer.lastHeartbeat) >= l.cfg.Heartbeat/2 {
		l.sendHeartbeat(now, from, peer)
	}
	inFlight := make(map[health.Key]uint32, len(h.InFlight))
	for _, f := range h.InFlight {
		inFlight[f.Upstream] = f.Count
	}
	l.setInFlight(peer, inFlight)
	peer.digest = h.Digest
	if !peer.heartbeatReceived && peer.digest != l.documents.digest {
		l.requestRevisions(from)
	}
	peer.heartbeatReceived = true
}

// sendEvidence sends pending evidence to the peers of this instance's shard.
func (l *Loop) sendEvidence(now time.Time) {
	evidence := l.engine.Outgoing(l.engineClock.time(now))
	if len(evidence) == 0 {
		return
	}
	peers := l.shardLinks()
	for len(evidence) > 0 {
		n := min(len(evidence), maxEvidence)
		for _, id := range peers {
			l.send(id, wire.Message{Evidence: &wire.Evidence{Region: l.self.Region, Evidence: evidence[:n]}})
		}
		evidence = evidence[n:]
	}
}

func (l *Loop) receiveEvidence(now time.Time, m *wire.Message) {
	l.feed(now, health.Event{Peer: &health.PeerEvidence{
		Reporter: m.Sender, Incarnation: m.Incarnation, Sequence: m.Sequence,
		Region: m.Evidence.Region, Evidence: m.Evidence.Evidence,
	}})
}
