package control

import (
	"maps"
	"slices"
	"time"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/slots"
)

// publisher tracks what the next snapshot has to rebuild.
type publisher struct {
	dirty           bool
	urgent          bool            // publish without waiting for PublishInterval
	membersDirty    bool            // members or readiness changed
	dirtyServices   map[string]bool // services whose upstreams changed
	shares          map[string]share
	ramping         map[string]bool // services with an upstream whose weight is increasing
	inFlightChanged map[string]bool // services for which peers' requests in flight changed
	shardMembers    []string        // members that share slots, as of the last snapshot
	lastPublish     time.Time
}

// share is this instance's share of the capacity of a service's upstreams, by
// upstream ID.
type share struct {
	revision    uint64
	homeSlots   map[string]int
	connections map[string]int
}

func newPublisher() publisher {
	return publisher{dirtyServices: make(map[string]bool), shares: make(map[string]share), ramping: make(map[string]bool), inFlightChanged: make(map[string]bool)}
}

func (p *publisher) markService(name string, urgent bool) {
	p.dirtyServices[name] = true
	p.dirty = true
	p.urgent = p.urgent || urgent
}

func (p *publisher) markMembers(urgent bool) {
	p.membersDirty = true
	p.dirty = true
	p.urgent = p.urgent || urgent
}

func (p *publisher) markAll(urgent bool) { p.markMembers(urgent) }

// markFrequentChanges marks services for values that change frequently: the
// weights of reinstated upstreams, which increase without an event, and peers'
// requests in flight, which arrive with every heartbeat. It is called on ticks,
// as a snapshot per heartbeat would cost more than the rest of the loop.
func (l *Loop) markFrequentChanges() {
	p := &l.publisher
	for name := range p.ramping {
		p.markService(name, false)
	}
	for name := range p.inFlightChanged {
		p.markService(name, false)
	}
	clear(p.inFlightChanged)
}

type publishEvent struct{}

func (publishEvent) apply(*Loop, time.Time) {}

// publishIfDue publishes pending changes: urgent ones at once, others at most
// once per PublishInterval.
func (l *Loop) publishIfDue(now time.Time) {
	p := &l.publisher
	if p.dirty && (p.urgent || now.Sub(p.lastPublish) >= PublishInterval) {
		l.publish(now)
	}
}

// Snapshot returns the current routing snapshot. It is never nil.
func (l *Loop) Snapshot() *routing.Snapshot { return l.snapshot.Load() }

// publish builds a new snapshot and replaces the current one. Unchanged services
// are shared with the previous snapshot.
func (l *Loop) publish(now time.Time) {
	p := &l.publisher
	next := &routing.Snapshot{
		Built: now, Self: l.self, Ready: l.ready.done, Shards: l.table.Shards(),
		Services: make(map[string]*routing.Service, len(l.documents.byService)),
		Hosts:    make(map[string]*routing.Service, len(l.documents.byService)),
	}
	previous := l.snapshot.Load()
	if previous != nil {
		next.Sequence = previous.Sequence + 1
		next.Members = previous.Members
		maps.Copy(next.Services, previous.Services)
	}
	if p.membersDirty || previous == nil {
		next.Members = l.routingMembers()
		l.updateMembership(now, next.Shards)
	}
	for name := range p.dirtyServices {
		if doc, ok := l.documents.byService[name]; ok {
			next.Services[name] = l.routingService(doc, next.Shards)
		}
	}
	// Documents may be outdated until they have been compared after a start or a
	// long pause. Without hosts, no request is matched.
	if l.ready.done {
		for host, name := range l.documents.hosts {
			next.Hosts[host] = next.Services[name]
		}
	}
	l.snapshot.Store(next)
	l.metrics.snapshots.Inc(1)
	clear(p.dirtyServices)
	p.dirty, p.urgent, p.membersDirty, p.lastPublish = false, false, false, now
}

// updateMembership recomputes the shares of slots and connections if the members
// of the shard changed, and the services in the engine if the number of shards
// changed.
func (l *Loop) updateMembership(now time.Time, shards int) {
	p := &l.publisher
	members := l.shardMembers(shards)
	if shards == l.shards && slices.Equal(members, p.shardMembers) {
		return
	}
	p.shardMembers = members
	clear(p.shares)
	for name := range l.documents.byService {
		if shards != l.shards || l.serves(name, shards) {
			p.dirtyServices[name] = true
		}
	}
	l.updateShards(now, shards)
}

func (l *Loop) routingMembers() []routing.Member {
	out := make([]routing.Member, 0, l.table.Len())
	for row := range l.table.All() {
		out = append(out, routing.Member{Info: row.Info, Live: l.usable(row)})
	}
	return out
}

// usable reports whether callers may be directed to a member. For a member of
// another shard to which no link is kept, the instance list decides, unless this
// instance has no links at all and may itself be partitioned.
func (l *Loop) usable(row member.Row) bool {
	if row.Presence == member.Live {
		return true
	}
	unlinked := row.Presence == member.Known && !l.linkTargets[row.ID]
	return unlinked && row.State == member.Active && len(l.links) > 0
}

// shardMembers returns the members of this instance's shard that share slots and
// connections, sorted.
func (l *Loop) shardMembers(shards int) []string {
	selfShard := member.ShardOf(l.self.ID, shards)
	var out []string
	for row := range l.table.All() {
		if member.ShardOf(row.ID, shards) == selfShard && row.Presence != member.Lost {
			out = append(out, row.ID)
		}
	}
	return out
}

func (l *Loop) routingService(doc *appliedDocument, shards int) *routing.Service {
	name := doc.envelope.Service
	s := &routing.Service{
		Name: name, Revision: doc.envelope.Revision, Document: doc.parsed,
		InShard: l.serves(name, shards),
	}
	if !s.InShard {
		return s
	}
	part := l.shareOf(doc)
	views := make(map[string]health.View, len(doc.parsed.Upstreams))
	for _, v := range l.engine.Views(name) {
		views[v.Upstream.Upstream] = v
	}
	delete(l.publisher.ramping, name)
	s.Upstreams = make([]routing.Upstream, 0, len(doc.parsed.Upstreams))
	for _, u := range doc.parsed.Upstreams {
		v := views[u.ID]
		if v.State == health.InService && v.Weight < 1 {
			l.publisher.ramping[name] = true
		}
		s.Upstreams = append(s.Upstreams, routing.Upstream{
			Upstream: u, State: v.State, Weight: v.Weight,
			HomeSlots: part.homeSlots[u.ID], MaxConnections: part.connections[u.ID],
			PeerInFlight: l.peerInFlight(health.Key{Service: name, Upstream: u.ID}),
		})
	}
	return s
}

// shareOf returns this instance's share of the upstreams. It is cached until the
// document or the members change.
func (l *Loop) shareOf(doc *appliedDocument) share {
	name := doc.envelope.Service
	members := l.publisher.shardMembers
	if s, ok := l.publisher.shares[name]; ok && s.revision == doc.envelope.Revision {
		return s
	}
	s := share{
		revision:    doc.envelope.Revision,
		homeSlots:   homeSlots(l.self.ID, doc.parsed, members),
		connections: connections(doc.parsed.Upstreams, len(members)),
	}
	l.publisher.shares[name] = s
	return s
}

func homeSlots(instance string, d *document.Document, members []string) map[string]int {
	upstreams := make([]slots.Upstream, 0, len(d.Upstreams))
	for _, u := range d.Upstreams {
		upstreams = append(upstreams, slots.Upstream{ID: u.ID, Slots: u.Slots})
	}
	return slots.Assign(d.Service, upstreams, members)[instance]
}

func connections(upstreams []document.Upstream, members int) map[string]int {
	out := make(map[string]int, len(upstreams))
	for _, u := range upstreams {
		out[u.ID] = max(1, u.Connections/max(members, 1))
	}
	return out
}
