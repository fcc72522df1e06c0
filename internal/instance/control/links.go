package control

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// link is the state of a peer to which a link is up.
type link struct {
	digest            uint64
	inFlight          map[health.Key]uint32
	lastHeartbeat     time.Time // when the last heartbeat was sent
	heartbeatReceived bool      // since the link came up
}

// LinkUp notifies the loop that a link to the member is up and authenticated.
func (l *Loop) LinkUp(info member.Info) { l.post(linkUpEvent{info}) }

// LinkDown notifies the loop that the last link to the member has ended.
func (l *Loop) LinkDown(id string) { l.post(linkDownEvent{id}) }

// Message queues a message from an authenticated member.
func (l *Loop) Message(from string, m wire.Message) {
	e := messageEvent{from: from, message: m}
	if m.DocumentPush != nil {
		e.offer = l.parseOffer(m.DocumentPush.Envelope)
	}
	l.post(e)
}

type linkUpEvent struct{ info member.Info }

func (e linkUpEvent) apply(l *Loop, now time.Time) {
	id := e.info.ID
	peer, ok := l.links[id]
	if !ok {
		peer = &link{}
		l.links[id] = peer
	}
	peer.heartbeatReceived = false
	l.merge(now, e.info)
	l.sendHeartbeat(now, id, peer)
	l.sendLeavingOnLinkUp(id)
	if !l.ready.done {
		l.requestRevisions(id)
	}
}

type linkDownEvent struct{ id string }

func (e linkDownEvent) apply(l *Loop, now time.Time) {
	l.table.MarkUnlinked(e.id, now)
	if peer, ok := l.links[e.id]; ok {
		l.setInFlight(peer, nil)
		delete(l.links, e.id)
	}
}

// setInFlight replaces a peer's requests in flight and marks the services for
// which they changed.
func (l *Loop) setInFlight(peer *link, inFlight map[health.Key]uint32) {
	for key, n := range inFlight {
		if peer.inFlight[key] != n {
			l.publisher.inFlightChanged[key.Service] = true
		}
	}
	for key := range peer.inFlight {
		if _, ok := inFlight[key]; !ok {
			l.publisher.inFlightChanged[key.Service] = true
		}
	}
	peer.inFlight = inFlight
}

// peerInFlight returns the number of requests that all linked peers have in
// flight at an upstream.
func (l *Loop) peerInFlight(key health.Key) int {
	n := 0
	for _, peer := range l.links {
		n += int(peer.inFlight[key])
	}
	return n
}

// send sets the header fields of a message and queues it for a peer.
func (l *Loop) send(id string, m wire.Message) {
	l.sequence++
	m.Version = wire.Version
	m.Sender = l.self.ID
	m.Incarnation = l.self.Incarnation
	m.Sequence = l.sequence
	l.cfg.Peers.Send(id, m)
}

// shardLinks returns the linked members of this instance's shard, sorted.
func (l *Loop) shardLinks() []string {
	shards := l.table.Shards()
	selfShard := member.ShardOf(l.self.ID, shards)
	var out []string
	for _, id := range l.linkedIDs() {
		if member.ShardOf(id, shards) == selfShard {
			out = append(out, id)
		}
	}
	return out
}

// chooseLinks selects the members to keep links to: all members of this
// instance's shard, and Fanout random others so that documents reach every
// shard.
func (l *Loop) chooseLinks() {
	shards := l.table.Shards()
	selfShard := member.ShardOf(l.self.ID, shards)
	var want []member.Info
	others := make(map[string]member.Info)
	for row := range l.table.All() {
		switch {
		case row.ID == l.self.ID || row.PeerAddress == "":
		case member.ShardOf(row.ID, shards) == selfShard:
			want = append(want, row.Info)
		case row.Presence != member.Lost:
			others[row.ID] = row.Info
		}
	}
	maps.DeleteFunc(l.otherShardPeers, func(id string, _ bool) bool { _, ok := others[id]; return !ok })
	var candidates []string
	for _, id := range slices.Sorted(maps.Keys(others)) {
		if !l.otherShardPeers[id] {
			candidates = append(candidates, id)
		}
	}
	for _, id := range l.sample(candidates, max(Fanout-len(l.otherShardPeers), 0)) {
		l.otherShardPeers[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(l.otherShardPeers)) {
		want = append(want, others[id])
	}
	clear(l.linkTargets)
	for _, info := range want {
		l.linkTargets[info.ID] = true
	}
	l.relink = false
	l.cfg.Peers.SetPeers(want)
}

type messageEvent struct {
	from    string
	message wire.Message
	offer   offer // set for a DocumentPush
}

func (e messageEvent) apply(l *Loop, now time.Time) {
	m := &e.message
	if l.table.Outdated(e.from, m.Incarnation) {
		l.cfg.Log.Debug("message_of_earlier_boot", zap.String("member", e.from))
		return
	}
	l.table.Touch(e.from, m.Incarnation, now)
	switch {
	case m.Hello != nil:
		l.merge(now, *m.Hello)
	case m.Heartbeat != nil:
		l.receiveHeartbeat(now, e.from, m.Incarnation, m.Heartbeat)
	case m.Evidence != nil:
		l.receiveEvidence(now, m)
	case m.Leaving != nil:
		l.receiveLeaving(now, m.Leaving)
	case m.DocumentPush != nil:
		// applyOffer logs a refusal. The link stays up, as the sender may only have
		// forwarded the document.
		_ = l.applyOffer(now, e.offer, platform.SourcePeer, e.from)
	case m.RevisionVector != nil:
		l.receiveRevisions(e.from, m.RevisionVector)
	case m.AuditEvents != nil:
		l.receiveAudits(m.AuditEvents)
	}
}
