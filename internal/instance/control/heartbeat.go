package control

import (
	"time"

	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// Bounds that keep messages below wire.MaxFrame.
const (
	maxInFlight = 512 // upstreams in a heartbeat
	maxEvidence = 64  // upstreams in an evidence message
)

// SetInFlight gives the source of the entry's requests in flight.
func (l *Loop) SetInFlight(source func() []wire.InFlight) { l.inFlight.Store(&source) }

// heartbeats sends a heartbeat on every link whose last one is as old as the
// given time, less half a tick.
func (l *Loop) heartbeats(now time.Time, after time.Duration) {
	for _, id := range l.linkedIDs() {
		k := l.links[id]
		if now.Sub(k.beat) >= after-health.TickInterval/2 {
			l.heartbeat(now, id, k)
		}
	}
}

// announce sends a heartbeat on every link at once.
func (l *Loop) announce(now time.Time) { l.heartbeats(now, 0) }

func (l *Loop) heartbeat(now time.Time, id string, k *link) {
	k.beat = now
	l.self.Sequence++
	l.table.SetSelf(l.self)
	l.send(id, l.heartbeatFor(id))
}

// heartbeatFor returns a heartbeat for a peer. Only peers of the own shard
// share upstreams, so only they get requests in flight.
func (l *Loop) heartbeatFor(id string) wire.Message {
	h := &wire.Heartbeat{
		Info:   member.Info{Sequence: l.self.Sequence, State: l.self.State},
		Digest: l.documents.digest,
	}
	if held := l.holder.Load(); held != nil && held.own {
		h.Holder = &held.holder
	}
	shards := l.table.Shards()
	if source := l.inFlight.Load(); source != nil && member.ShardOf(id, shards) == member.ShardOf(l.self.ID, shards) {
		h.InFlight = (*source)()
		h.InFlight = h.InFlight[:min(len(h.InFlight), maxInFlight)]
	}
	return wire.Message{Heartbeat: h}
}

func (l *Loop) receiveHeartbeat(now time.Time, from string, boot uint64, h *wire.Heartbeat) {
	l.transitions(now, l.table.Beat(from, boot, h.Info.Sequence, h.Info.State, now))
	l.noteHolder(now, from, h.Holder)
	k, ok := l.links[from]
	if !ok {
		return
	}
	// A heartbeat that answers one shares a packet with its acknowledgement,
	// which saves a quarter of the packets of an idle link.
	if now.Sub(k.beat) >= l.cfg.Heartbeat/2 {
		l.heartbeat(now, from, k)
	}
	inFlight := make(map[health.Key]uint32, len(h.InFlight))
	for _, f := range h.InFlight {
		inFlight[f.Upstream] = f.Count
	}
	l.setInFlight(k, inFlight)
	k.digest = h.Digest
	if !k.heard && k.digest != l.documents.digest {
		l.askRevisions(from)
	}
	k.heard = true
}

// sendEvidence sends the evidence that is due to the peers of the own shard.
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
		Reporter: m.Sender, Boot: m.Boot, Sequence: m.Sequence,
		Region: m.Evidence.Region, Evidence: m.Evidence.Evidence,
	}})
}
