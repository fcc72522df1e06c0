package decisions

import (
	"time"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
)

// Rule is a way to make decisions. The tables show its name.
type Rule struct {
	Name  string
	Share bool // instances exchange evidence
	Build func(health.Config) Decider
}

func buildEngine(c health.Config) Decider { return health.New(c) }

// Rules are the rules to compare. The engine has to be last: the table by
// sensitivity shows the last rule.
var Rules = []Rule{
	{"consecutive failures, alone", false, func(c health.Config) Decider { return newBaseline(c, consecutive) }},
	{"score, alone", false, buildEngine},
	{"merged failure rate", true, func(c health.Config) Decider { return newBaseline(c, mergedRate) }},
	{"engine", true, buildEngine},
}

// Settings of the baselines.
const (
	consecutiveThreshold = 5
	rateWindow           = 5 * time.Second
	rateThreshold        = 0.1
	rateMinFailures      = 5
	baseEjectionTime     = 5 * time.Second
)

type baselineRule uint8

const (
	consecutive baselineRule = iota
	mergedRate
)

// baseline is a Decider with a simple rule. It ejects an upstream for
// baseEjectionTime times the number of its ejections so far and then puts it
// back in service without probation. It respects the floor and has no other
// safeguard.
type baseline struct {
	config    health.Config
	rule      baselineRule
	documents map[string]*document.Document
	upstreams map[health.Key]*baselineUpstream
	order     []health.Key
	received  map[string]map[health.Key]health.Evidence
}

type baselineUpstream struct {
	slots        int
	ejected      bool
	ejectedUntil time.Time
	ejections    int
	failures     int // consecutive failures at this instance
	local        health.Evidence
	sent         health.Evidence
	buckets      []bucket // merged counts of the last rateWindow
}

// bucket holds the counts of one tick interval, from all instances.
type bucket struct {
	at                  time.Time
	successes, failures uint64
}

func newBaseline(c health.Config, rule baselineRule) *baseline {
	return &baseline{
		config: c, rule: rule,
		documents: map[string]*document.Document{},
		upstreams: map[health.Key]*baselineUpstream{},
		received:  map[string]map[health.Key]health.Evidence{},
	}
}

func (b *baseline) Apply(now time.Time, ev health.Event) []health.Change {
	switch {
	case ev.Document != nil:
		b.document(ev.Document)
	case ev.Outcome != nil:
		return b.outcome(now, ev.Outcome)
	case ev.Peer != nil:
		return b.peer(now, ev.Peer)
	case ev.Tick != nil:
		return b.tick(now)
	}
	return nil
}

func (b *baseline) document(d *health.DocumentChanged) {
	b.documents[d.Service] = d.Document
	for _, spec := range d.Document.Upstreams {
		key := health.Key{Service: d.Service, Upstream: spec.ID}
		if b.upstreams[key] == nil {
			b.upstreams[key] = &baselineUpstream{slots: spec.Slots, local: health.Evidence{Upstream: key}}
			b.order = append(b.order, key)
		}
	}
}

func (b *baseline) outcome(now time.Time, o *health.Outcome) []health.Change {
	u := b.upstreams[o.Upstream]
	if u == nil || u.ejected || o.Class == health.Neutral {
		return nil
	}
	if o.Class == health.OK {
		u.failures = 0
		u.local.Successes++
		u.count(now, 1, 0)
		return nil
	}
	u.failures++
	u.local.Failures++
	u.count(now, 0, 1)
	return b.decide(now, o.Upstream, u)
}

func (b *baseline) peer(now time.Time, e *health.PeerEvidence) []health.Change {
	known := b.received[e.Reporter]
	if known == nil {
		known = map[health.Key]health.Evidence{}
		b.received[e.Reporter] = known
	}
	var changes []health.Change
	for _, ev := range e.Evidence {
		before, u := known[ev.Upstream], b.upstreams[ev.Upstream]
		known[ev.Upstream] = ev
		if u == nil || u.ejected {
			continue
		}
		u.count(now, ev.Successes-before.Successes, ev.Failures-before.Failures)
		changes = append(changes, b.decide(now, ev.Upstream, u)...)
	}
	return changes
}

func (u *baselineUpstream) count(now time.Time, successes, failures uint64) {
	if n := len(u.buckets); n > 0 && now.Sub(u.buckets[n-1].at) < health.TickInterval {
		u.buckets[n-1].successes += successes
		u.buckets[n-1].failures += failures
		return
	}
	u.buckets = append(u.buckets, bucket{now, successes, failures})
}

func (b *baseline) decide(now time.Time, key health.Key, u *baselineUpstream) []health.Change {
	if !b.reachesThreshold(now, u) || !b.mayEject(key, u) {
		return nil
	}
	u.ejections++
	u.ejected, u.ejectedUntil = true, now.Add(time.Duration(u.ejections)*baseEjectionTime)
	return []health.Change{{Time: now, Upstream: key, From: health.InService, To: health.Ejected, Rule: health.RuleEvidence}}
}

func (b *baseline) reachesThreshold(now time.Time, u *baselineUpstream) bool {
	if b.rule == consecutive {
		return u.failures >= consecutiveThreshold
	}
	var successes, failures uint64
	for _, bkt := range u.buckets {
		if now.Sub(bkt.at) < rateWindow {
			successes += bkt.successes
			failures += bkt.failures
		}
	}
	return failures >= rateMinFailures && float64(failures) >= rateThreshold*float64(successes+failures)
}

func (b *baseline) mayEject(key health.Key, u *baselineUpstream) bool {
	slotsInService := 0
	for k, other := range b.upstreams {
		if k.Service == key.Service && !other.ejected {
			slotsInService += other.slots
		}
	}
	return slotsInService-u.slots >= b.documents[key.Service].FloorSlots
}

func (b *baseline) tick(now time.Time) []health.Change {
	var changes []health.Change
	for _, key := range b.order {
		u := b.upstreams[key]
		for len(u.buckets) > 0 && now.Sub(u.buckets[0].at) >= rateWindow {
			u.buckets = u.buckets[1:]
		}
		if u.ejected && !now.Before(u.ejectedUntil) {
			u.ejected, u.failures, u.buckets = false, 0, nil
			changes = append(changes, health.Change{Time: now, Upstream: key, From: health.Ejected, To: health.InService, Rule: health.RuleWaitOver})
		}
	}
	return changes
}

func (b *baseline) Outgoing(time.Time) []health.Evidence {
	if b.rule == consecutive {
		return nil
	}
	var out []health.Evidence
	for _, key := range b.order {
		u := b.upstreams[key]
		if u.local.Successes != u.sent.Successes || u.local.Failures != u.sent.Failures {
			u.sent = u.local
			out = append(out, u.local)
		}
	}
	return out
}

func (b *baseline) Views(service string) []health.View {
	var views []health.View
	for _, key := range b.order {
		if key.Service == service {
			views = append(views, health.View{Upstream: key, Weight: 1})
		}
	}
	return views
}
