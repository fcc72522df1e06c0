package health

import (
	"slices"
	"time"

	"knapweedreel/internal/document"
)

// Defaults for fields of document.Unhealthy that a document does not set.
const (
	defaultSensitivity = 0.5
	defaultSlowFactor  = 2.5
	defaultColdStart   = 10 * time.Second
)

// The threshold decreases linearly from maxThreshold at sensitivity 0 to
// minThreshold at sensitivity 1, as a log-likelihood ratio. One failure of an
// upstream that rarely fails weighs ln(0.2/0.01) = 3.
const (
	minThreshold = 6.0
	maxThreshold = 16.0
)

// limits holds the settings of a document in the units of the Engine.
type limits struct {
	threshold  float64 // score at which an upstream is ejected
	slowAfter  time.Duration
	slowFactor float64
	coldStart  time.Duration
}

func newLimits(d *document.Document) limits {
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

// applyDocument applies a higher revision and ignores a lower or equal one. A
// removal of the service may have an equal revision.
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
	s.revision, s.document, s.limits = d.Revision, d.Document, newLimits(d.Document)
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
	e.enforceFloor(s)
}

func newUpstream(s *service, spec document.Upstream, now time.Time) *upstream {
	return &upstream{
		key:         Key{Service: s.name, Upstream: spec.ID},
		spec:        spec,
		coldStartAt: now,
	}
}

// recordUpstreams records the upstreams that a new document adds, removes or
// marks as leaving. Additions come first, so that no recorded change shows less
// capacity than the new document provides.
func (e *Engine) recordUpstreams(s *service, old map[string]*upstream) {
	for _, u := range s.upstreams {
		if old[u.key.Upstream] == u {
			continue
		}
		if pending, ok := e.pendingLeaving[u.key]; ok {
			u.leaving = pending
			delete(e.pendingLeaving, u.key)
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
		e.setState(s, u, Leaving, RuleRemoved, "")
		for _, name := range sortedKeys(e.peers) {
			delete(e.peers[name].reports, u.key)
		}
	}
}

func (e *Engine) addService(name string) *service {
	s := &service{name: name, baseline: minBaseline, peerTraffic: map[string]peerTraffic{}, routes: routes{}}
	e.services[name] = s
	at, _ := slices.BinarySearch(e.serviceNames, name)
	e.serviceNames = slices.Insert(e.serviceNames, at, name)
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
	e.serviceNames = slices.DeleteFunc(e.serviceNames, func(n string) bool { return n == s.name })
}

// sortedKeys returns the sorted keys of m.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
