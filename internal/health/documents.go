package health

import (
	"slices"
	"time"

	"knapweedreel/internal/document"
)

// Defaults of document.Unhealthy where the document leaves a field out.
const (
	defaultSensitivity = 0.5
	defaultSlowFactor  = 2.5
	defaultColdStart   = 10 * time.Second
)

// The threshold falls linearly from maxThreshold at sensitivity 0 to
// minThreshold at sensitivity 1, in units of log-likelihood ratio. One failure
// of an upstream that rarely fails weighs ln(0.2/0.01) = 3.
const (
	minThreshold = 6.0
	maxThreshold = 16.0
)

// limits are a document's settings as the Engine uses them.
type limits struct {
	threshold  float64 // h
	slowAfter  time.Duration
	slowFactor float64
	coldStart  time.Duration
}

func limitsOf(d *document.Document) limits {
	sensitivity, factor, cold := defaultSensitivity, defaultSlowFactor, defaultColdStart
	if d.Unhealthy.Sensitivity != nil {
		sensitivity = min(max(*d.Unhealthy.Sensitivity, 0), 1)
	}
	if d.Unhealthy.SlowFactor != nil {
		factor = *d.Unhealthy.SlowFactor
	}
	if d.Unhealthy.ColdStartMS != nil {
		cold = time.Duration(*d.Unhealthy.ColdStartMS) * time.Millisecond
	}
	return limits{
		threshold:  maxThreshold - sensitivity*(maxThreshold-minThreshold),
		slowAfter:  time.Duration(d.Unhealthy.SlowAfterMS) * time.Millisecond,
		slowFactor: factor,
		coldStart:  cold,
	}
}

// applyDocument puts a higher revision in force. A lower or equal revision is
// ignored.
func (e *Engine) applyDocument(d DocumentChanged) {
	s := e.services[d.Service]
	if s != nil && d.Revision <= s.revision && d.Document != nil {
		return
	}
	if d.Document == nil {
		e.removeService(s, d.Revision)
		return
	}
	if s == nil {
		s = e.addService(d.Service)
	}
	old := s.byID
	s.revision, s.document, s.limits = d.Revision, d.Document, limitsOf(d.Document)
	s.upstreams = s.upstreams[:0:0]
	s.byID = map[string]*upstream{}
	for _, spec := range d.Document.Upstreams {
		u := old[spec.ID]
		if u == nil || u.spec.Address != spec.Address {
			u = newUpstream(s, spec, e.now)
		}
		u.spec = spec
		s.upstreams = append(s.upstreams, u)
		s.byID[spec.ID] = u
	}
	e.recordUpstreams(s, old)
	e.holdFloor(s)
}

func newUpstream(s *service, spec document.Upstream, now time.Time) *upstream {
	return &upstream{
		key:      Key{Service: s.name, Upstream: spec.ID},
		spec:     spec,
		appeared: now,
	}
}

// recordUpstreams records the upstreams that a new document adds, removes or
// sets to leaving. Additions come first, so that no change that is recorded
// shows less capacity than the new document gives.
func (e *Engine) recordUpstreams(s *service, old map[string]*upstream) {
	for _, u := range s.upstreams {
		if old[u.key.Upstream] == u {
			continue
		}
		if pending, ok := e.pending[u.key]; ok {
			u.leaving = pending
			delete(e.pending, u.key)
		}
		e.setState(s, u, InService, RuleNewUpstream, "")
	}
	for _, u := range s.upstreams {
		e.markLeaving(s, u, LeavingDocument, u.spec.State == document.UpstreamLeaving)
	}
	for _, id := range sortedKeys(old) {
		if s.byID[id] != nil {
			continue
		}
		u := old[id]
		e.setState(s, u, Leaves, RuleRemoved, "")
		for _, name := range sortedKeys(e.peers) {
			delete(e.peers[name].seen, u.key)
		}
	}
}

func (e *Engine) addService(name string) *service {
	s := &service{name: name, baseline: quietBaseline, reported: map[string]reportedTraffic{}, routes: routes{}}
	e.services[name] = s
	at, _ := slices.BinarySearch(e.names, name)
	e.names = slices.Insert(e.names, at, name)
	return s
}

func (e *Engine) removeService(s *service, revision uint64) {
	if s == nil || revision < s.revision {
		return
	}
	old := s.byID
	s.upstreams, s.byID = nil, nil
	s.document = &document.Document{Service: s.name}
	e.recordUpstreams(s, old)
	delete(e.services, s.name)
	e.names = slices.DeleteFunc(e.names, func(n string) bool { return n == s.name })
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
