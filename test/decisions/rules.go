package decisions

import (
	"time"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
)

// Rule is a way to decide, with the name that the tables give it.
type Rule struct {
	Name  string
	Share bool // instances send evidence to each other
	Build func(health.Config) Decider
}

func buildEngine(c health.Config) Decider { return health.New(c) }

// Rules are those that the measurement compares.
var Rules = []Rule{
	{"consecutive failures, alone", false, func(c health.Config) Decider { return newPlain(c, consecutive) }},
	{"score, alone", false, buildEngine},
	{"merged failure rate", true, func(c health.Config) Decider { return newPlain(c, mergedRate) }},
	{"engine", true, buildEngine},
}

// Settings of the rules to compare with.
const (
	consecutiveLimit = 5
	rateWindow       = 5 * time.Second
	rateLimit        = 0.1
	rateFailures     = 5
	plainWait        = 5 * time.Second
)

type plainRule uint8

const (
	consecutive plainRule = iota
	mergedRate
)

// plain is a decider without guards: it ejects for plainWait times the number of
// ejections, then puts the upstream back, and holds the floor.
type plain struct {
	config    health.Config
	rule      plainRule
	documents map[string]*document.Document
	upstreams map[health.Key]*plainUpstream
	order     []health.Key
	seen      map[string]map[health.Key]health.Evidence
}

type plainUpstream struct {
	slots     int
	out       bool
	until     time.Time
	ejections int
	failures  int // in a row, at this instance
	own       health.Evidence
	sent      health.Evidence
	buckets   []bucket // merged, of the last rateWindow
}

// bucket holds merged counts of one tick.
type bucket struct {
	at                  time.Time
	successes, failures uint64
}

func newPlain(c health.Config, rule plainRule) *plain {
	return &plain{
		config: c, rule: rule,
		documents: map[string]*document.Document{},
		upstreams: map[health.Key]*plainUpstream{},
		seen:      map[string]map[health.Key]health.Evidence{},
	}
}

func (p *plain) Apply(now time.Time, ev health.Event) []health.Change {
	switch {
	case ev.Document != nil:
		p.document(ev.Document)
	case ev.Outcome != nil:
		return p.outcome(now, ev.Outcome)
	case ev.Peer != nil:
		return p.peer(now, ev.Peer)
	case ev.Tick != nil:
		return p.tick(now)
	}
	return nil
}

func (p *plain) document(d *health.DocumentChanged) {
	p.documents[d.Service] = d.Document
	for _, spec := range d.Document.Upstreams {
		key := health.Key{Service: d.Service, Upstream: spec.ID}
		if p.upstreams[key] == nil {
			p.upstreams[key] = &plainUpstream{slots: spec.Slots, own: health.Evidence{Upstream: key}}
			p.order = append(p.order, key)
		}
	}
}

func (p *plain) outcome(now time.Time, o *health.Outcome) []health.Change {
	u := p.upstreams[o.Upstream]
	if u == nil || u.out || o.Class == health.Neutral {
		return nil
	}
	if o.Class == health.OK {
		u.failures = 0
		u.own.Successes++
		u.count(now, 1, 0)
		return nil
	}
	u.failures++
	u.own.Failures++
	u.count(now, 0, 1)
	return p.decide(now, o.Upstream, u)
}

func (p *plain) peer(now time.Time, e *health.PeerEvidence) []health.Change {
	known := p.seen[e.Reporter]
	if known == nil {
		known = map[health.Key]health.Evidence{}
		p.seen[e.Reporter] = known
	}
	var changes []health.Change
	for _, ev := range e.Evidence {
		before, u := known[ev.Upstream], p.upstreams[ev.Upstream]
		known[ev.Upstream] = ev
		if u == nil || u.out {
			continue
		}
		u.count(now, ev.Successes-before.Successes, ev.Failures-before.Failures)
		changes = append(changes, p.decide(now, ev.Upstream, u)...)
	}
	return changes
}

func (u *plainUpstream) count(now time.Time, successes, failures uint64) {
	if n := len(u.buckets); n > 0 && now.Sub(u.buckets[n-1].at) < health.TickInterval {
		u.buckets[n-1].successes += successes
		u.buckets[n-1].failures += failures
		return
	}
	u.buckets = append(u.buckets, bucket{now, successes, failures})
}

func (p *plain) decide(now time.Time, key health.Key, u *plainUpstream) []health.Change {
	if !p.reaches(now, u) || !p.mayEject(key, u) {
		return nil
	}
	u.ejections++
	u.out, u.until = true, now.Add(time.Duration(u.ejections)*plainWait)
	return []health.Change{{Time: now, Upstream: key, From: health.InService, To: health.Ejected, Rule: health.RuleEvidence}}
}

func (p *plain) reaches(now time.Time, u *plainUpstream) bool {
	if p.rule == consecutive {
		return u.failures >= consecutiveLimit
	}
	var successes, failures uint64
	for _, b := range u.buckets {
		if now.Sub(b.at) < rateWindow {
			successes += b.successes
			failures += b.failures
		}
	}
	return failures >= rateFailures && float64(failures) >= rateLimit*float64(successes+failures)
}

func (p *plain) mayEject(key health.Key, u *plainUpstream) bool {
	healthy := 0
	for k, o := range p.upstreams {
		if k.Service == key.Service && !o.out {
			healthy += o.slots
		}
	}
	return healthy-u.slots >= p.documents[key.Service].FloorSlots
}

func (p *plain) tick(now time.Time) []health.Change {
	var changes []health.Change
	for _, key := range p.order {
		u := p.upstreams[key]
		for len(u.buckets) > 0 && now.Sub(u.buckets[0].at) >= rateWindow {
			u.buckets = u.buckets[1:]
		}
		if u.out && !now.Before(u.until) {
			u.out, u.failures, u.buckets = false, 0, nil
			changes = append(changes, health.Change{Time: now, Upstream: key, From: health.Ejected, To: health.InService, Rule: health.RuleWaitOver})
		}
	}
	return changes
}

func (p *plain) Outgoing(time.Time) []health.Evidence {
	if p.rule == consecutive {
		return nil
	}
	var out []health.Evidence
	for _, key := range p.order {
		u := p.upstreams[key]
		if u.own.Successes != u.sent.Successes || u.own.Failures != u.sent.Failures {
			u.sent = u.own
			out = append(out, u.own)
		}
	}
	return out
}

func (p *plain) Views(service string) []health.View {
	var views []health.View
	for _, key := range p.order {
		if key.Service == service {
			views = append(views, health.View{Upstream: key, Weight: 1})
		}
	}
	return views
}
