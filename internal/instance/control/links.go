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

// link is what is known of a peer to which a link is up.
type link struct {
	digest   uint64
	inFlight map[health.Key]uint32
	beat     time.Time // of the last heartbeat sent
	heard    bool      // a heartbeat has arrived since the link came up
}

// LinkUp says that a link to the member is up and authenticated.
func (l *Loop) LinkUp(info member.Info) { l.post(linkUp{info}) }

// LinkDown says that the last link to the member is gone.
func (l *Loop) LinkDown(id string) { l.post(linkDown{id}) }

// Message hands over a message of an authenticated member.
func (l *Loop) Message(from string, m wire.Message) {
	e := received{from: from, message: m}
	if m.DocumentPush != nil {
		e.offer = l.prepare(m.DocumentPush.Envelope)
	}
	l.post(e)
}

type linkUp struct{ info member.Info }

func (e linkUp) apply(l *Loop, now time.Time) {
	id := e.info.ID
	k, ok := l.links[id]
	if !ok {
		k = &link{}
		l.links[id] = k
	}
	k.heard = false
	l.merge(now, e.info)
	l.heartbeat(now, id, k)
	l.tellLeavings(id)
	if !l.ready.done {
		l.askRevisions(id)
	}
}

type linkDown struct{ id string }

func (e linkDown) apply(l *Loop, now time.Time) {
	l.table.Unlinked(e.id, now)
	if k, ok := l.links[e.id]; ok {
		l.setInFlight(k, nil)
		delete(l.links, e.id)
	}
}

// setInFlight replaces a peer's requests in flight and marks the services whose
// numbers differ.
func (l *Loop) setInFlight(k *link, inFlight map[health.Key]uint32) {
	for key, n := range inFlight {
		if k.inFlight[key] != n {
			l.publisher.loaded[key.Service] = true
		}
	}
	for key := range k.inFlight {
		if _, ok := inFlight[key]; !ok {
			l.publisher.loaded[key.Service] = true
		}
	}
	k.inFlight = inFlight
}

// peerInFlight returns the requests in flight of all linked peers at an
// upstream.
func (l *Loop) peerInFlight(key health.Key) int {
	n := 0
	for _, k := range l.links {
		n += int(k.inFlight[key])
	}
	return n
}

// send completes a message and queues it for a peer.
func (l *Loop) send(id string, m wire.Message) {
	l.sequence++
	m.Version = wire.Version
	m.Sender = l.self.ID
	m.Boot = l.self.Boot
	m.Sequence = l.sequence
	l.cfg.Peers.Send(id, m)
}

// shardLinks returns the linked live members of the own shard, in order.
func (l *Loop) shardLinks() []string {
	shards := l.table.Shards()
	own := member.ShardOf(l.self.ID, shards)
	var out []string
	for _, id := range l.linkedIDs() {
		if member.ShardOf(id, shards) == own {
			out = append(out, id)
		}
	}
	return out
}

// chooseLinks tells peering to which members links are to be kept: all of the
// own shard, and Fanout random others so that documents reach every shard.
func (l *Loop) chooseLinks() {
	shards := l.table.Shards()
	own := member.ShardOf(l.self.ID, shards)
	var want []member.Info
	others := make(map[string]member.Info)
	for row := range l.table.All() {
		switch {
		case row.ID == l.self.ID || row.PeerAddress == "":
		case member.ShardOf(row.ID, shards) == own:
			want = append(want, row.Info)
		case row.Presence != member.Lost:
			others[row.ID] = row.Info
		}
	}
	maps.DeleteFunc(l.chosen, func(id string, _ bool) bool { _, ok := others[id]; return !ok })
	var fresh []string
	for _, id := range slices.Sorted(maps.Keys(others)) {
		if !l.chosen[id] {
			fresh = append(fresh, id)
		}
	}
	for _, id := range l.sample(fresh, max(Fanout-len(l.chosen), 0)) {
		l.chosen[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(l.chosen)) {
		want = append(want, others[id])
	}
	clear(l.watched)
	for _, info := range want {
		l.watched[info.ID] = true
	}
	l.relink = false
	l.cfg.Peers.Connect(want)
}

type received struct {
	from    string
	message wire.Message
	offer   offer // of a DocumentPush
}

func (e received) apply(l *Loop, now time.Time) {
	m := &e.message
	if l.table.Outdated(e.from, m.Boot) {
		l.cfg.Log.Debug("message_of_earlier_boot", zap.String("member", e.from))
		return
	}
	l.table.Touch(e.from, m.Boot, now)
	switch {
	case m.Hello != nil:
		l.merge(now, *m.Hello)
	case m.Heartbeat != nil:
		l.receiveHeartbeat(now, e.from, m.Boot, m.Heartbeat)
	case m.Evidence != nil:
		l.receiveEvidence(now, m)
	case m.Leaving != nil:
		l.receiveLeaving(now, m.Leaving)
	case m.DocumentPush != nil:
		// A refusal is logged by offer. The sender's link stays up, as it may
		// only have passed the document on.
		_ = l.offer(now, e.offer, platform.SourcePeer, e.from)
	case m.RevisionVector != nil:
		l.receiveRevisions(e.from, m.RevisionVector)
	case m.AuditEvents != nil:
		l.receiveAudits(m.AuditEvents)
	}
}
