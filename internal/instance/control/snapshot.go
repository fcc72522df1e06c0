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

// publisher notes what the next snapshot has to rebuild.
type publisher struct {
	dirty    bool
	urgent   bool
	fleet    bool            // members or readiness
	services map[string]bool // services whose upstreams changed
	shares   map[string]share
	rising   map[string]bool // services with an upstream whose weight grows with time
	loaded   map[string]bool // services whose requests in flight at peers changed
	present  []string        // members that share slots, as of the last snapshot
	last     time.Time
}

// share is this instance's part of a service's upstreams, by upstream ID.
type share struct {
	revision    uint64
	homeSlots   map[string]int
	connections map[string]int
}

func newPublisher() publisher {
	return publisher{services: make(map[string]bool), shares: make(map[string]share), rising: make(map[string]bool), loaded: make(map[string]bool)}
}

func (p *publisher) service(name string, urgent bool) {
	p.services[name] = true
	p.dirty = true
	p.urgent = p.urgent || urgent
}

func (p *publisher) members(urgent bool) {
	p.fleet = true
	p.dirty = true
	p.urgent = p.urgent || urgent
}

func (p *publisher) all(urgent bool) { p.members(urgent) }

// refresh lets the next snapshot show what changes all the time: the weights of
// returning upstreams, which grow without an event, and peers' requests in
// flight, which come with every heartbeat. It is called on ticks, because a
// snapshot for each heartbeat costs more than all else in the loop.
func (l *Loop) refresh() {
	p := &l.publisher
	for name := range p.rising {
		p.service(name, false)
	}
	for name := range p.loaded {
		p.service(name, false)
	}
	clear(p.loaded)
}

type publishEvent struct{}

func (publishEvent) apply(*Loop, time.Time) {}

// settle publishes what has changed: at once when it is urgent, else at most
// every PublishInterval.
func (l *Loop) settle(now time.Time) {
	p := &l.publisher
	if p.dirty && (p.urgent || now.Sub(p.last) >= PublishInterval) {
		l.publish(now)
	}
}

// Snapshot returns the current routing snapshot, never nil.
func (l *Loop) Snapshot() *routing.Snapshot { return l.snapshot.Load() }

// publish builds a snapshot aside and swaps it in. Services that did not change
// are shared with the previous one.
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
	if p.fleet || previous == nil {
		next.Members = l.routingMembers()
		l.followMembers(now, next.Shards)
	}
	for name := range p.services {
		if f, ok := l.documents.byService[name]; ok {
			next.Services[name] = l.routingService(f, next.Shards)
		}
	}
	// Without hosts no request is matched. Documents that were not compared
	// since a start or a long pause may be old.
	if l.ready.done {
		for host, name := range l.documents.hosts {
			next.Hosts[host] = next.Services[name]
		}
	}
	l.snapshot.Store(next)
	l.metrics.snapshots.Inc(1)
	clear(p.services)
	p.dirty, p.urgent, p.fleet, p.last = false, false, false, now
}

// followMembers divides slots and connections again when the members that share
// them changed, and services between shards when their number did.
func (l *Loop) followMembers(now time.Time, shards int) {
	p := &l.publisher
	present := l.presentMembers(shards)
	if shards == l.shards && slices.Equal(present, p.present) {
		return
	}
	p.present = present
	clear(p.shares)
	for name := range l.documents.byService {
		if shards != l.shards || l.serves(name, shards) {
			p.services[name] = true
		}
	}
	l.followShards(now, shards)
}

func (l *Loop) routingMembers() []routing.Member {
	out := make([]routing.Member, 0, l.table.Len())
	for row := range l.table.All() {
		out = append(out, routing.Member{Info: row.Info, Live: l.usable(row)})
	}
	return out
}

// usable reports whether callers may be sent to a member. A member of another
// shard to which no link is kept counts as the list shows it, unless this
// instance has no link at all and may be cut off itself.
func (l *Loop) usable(row member.Row) bool {
	if row.Presence == member.Live {
		return true
	}
	unheard := row.Presence == member.Known && !l.watched[row.ID]
	return unheard && row.State == member.Active && len(l.links) > 0
}

// presentMembers returns the members of the own shard that share slots and
// connections, in the order of their IDs.
func (l *Loop) presentMembers(shards int) []string {
	own := member.ShardOf(l.self.ID, shards)
	var out []string
	for row := range l.table.All() {
		if member.ShardOf(row.ID, shards) == own && row.Presence != member.Lost {
			out = append(out, row.ID)
		}
	}
	return out
}

func (l *Loop) routingService(f *inForce, shards int) *routing.Service {
	name := f.envelope.Service
	s := &routing.Service{
		Name: name, Revision: f.envelope.Revision, Document: f.parsed,
		Served: l.serves(name, shards),
	}
	if !s.Served {
		return s
	}
	part := l.shareOf(f)
	views := make(map[string]health.View, len(f.parsed.Upstreams))
	for _, v := range l.engine.Views(name) {
		views[v.Upstream.Upstream] = v
	}
	delete(l.publisher.rising, name)
	s.Upstreams = make([]routing.Upstream, 0, len(f.parsed.Upstreams))
	for _, u := range f.parsed.Upstreams {
		v := views[u.ID]
		if v.State == health.InService && v.Weight < 1 {
			l.publisher.rising[name] = true
		}
		s.Upstreams = append(s.Upstreams, routing.Upstream{
			Upstream: u, State: v.State, Weight: v.Weight,
			HomeSlots: part.homeSlots[u.ID], MaxConnections: part.connections[u.ID],
			PeerInFlight: l.peerInFlight(health.Key{Service: name, Upstream: u.ID}),
		})
	}
	return s
}

// shareOf returns this instance's part of the upstreams. It is computed again
// only when the document or the members changed.
func (l *Loop) shareOf(f *inForce) share {
	name := f.envelope.Service
	present := l.publisher.present
	if s, ok := l.publisher.shares[name]; ok && s.revision == f.envelope.Revision {
		return s
	}
	s := share{
		revision:    f.envelope.Revision,
		homeSlots:   homeSlots(l.self.ID, f.parsed, present),
		connections: connections(f.parsed.Upstreams, len(present)),
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
