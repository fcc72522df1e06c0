package health

import (
	"math"
	"slices"
	"time"
)

const (
	// poisonousUpstreams is the number of upstreams at which a caller's
	// requests fail within poisonousWindow from which on the fault is taken to
	// be in the requests.
	poisonousUpstreams = 3
	poisonousWindow    = 10 * time.Second
	// poisonousRate is the failure rate that a caller must have besides. A busy
	// caller meets rare failures at many upstreams.
	poisonousRate = 0.1
	// minCallerFailures is the number of failures from which the rate counts.
	minCallerFailures = 2
	// maxPlaces bounds the upstreams in a caller's record.
	maxPlaces = 2 * poisonousUpstreams
	// callersWindow is the time for which a caller counts as present in the
	// service.
	callersWindow = time.Minute
	// maxCallerRecords bounds the callers with recent failures.
	maxCallerRecords = 1024
)

// callers are the callers of a service.
type callers struct {
	present presence[uint64]
	records map[uint64]*callerRecord // of callers with recent failures
}

// callerRecord holds where a caller's requests failed lately.
type callerRecord struct {
	places    []callerFailure // newest last, one for each upstream, at most maxPlaces
	successes float64         // here, since the record began
	failures  float64
	last      time.Time
}

type callerFailure struct {
	upstream *upstream
	at       time.Time
}

// cap returns the largest share of one caller in a score.
func (c *callers) cap(h float64, now time.Time) float64 {
	if c.present.several(now, callersWindow) {
		return shareCap * h
	}
	return math.Inf(1)
}

func (c *callers) succeed(caller uint64) {
	if r := c.records[caller]; r != nil {
		r.successes++
	}
}

// record returns the caller's record; nil when there is no room for a new one.
func (c *callers) record(caller uint64, now time.Time) *callerRecord {
	r := c.records[caller]
	if r == nil {
		if len(c.records) >= maxCallerRecords {
			return nil
		}
		if c.records == nil {
			c.records = map[uint64]*callerRecord{}
		}
		r = &callerRecord{}
		c.records[caller] = r
	}
	r.last = now
	return r
}

// fail records a failure at this instance.
func (c *callers) fail(caller uint64, u *upstream, usual float64, now time.Time) {
	r := c.record(caller, now)
	if r == nil {
		return
	}
	r.failures++
	if r.isFailing(usual) {
		r.addPlace(u, now)
	}
}

// noteElsewhere takes note of the callers of a peer's failures at the upstream.
func (c *callers) noteElsewhere(u *upstream, all, failing []uint64, now time.Time) {
	for _, id := range all {
		c.present.add(id, now)
		if !slices.Contains(failing, id) {
			continue
		}
		if r := c.record(id, now); r != nil {
			r.addPlace(u, now)
		}
	}
}

// isFailing reports whether many of the caller's requests fail here, more than
// the usual rate of the service.
func (r *callerRecord) isFailing(usual float64) bool {
	return r.failures >= minCallerFailures && r.failures >= max(poisonousRate, usual)*(r.failures+r.successes)
}

func (r *callerRecord) addPlace(u *upstream, now time.Time) {
	r.places = slices.DeleteFunc(r.places, func(f callerFailure) bool {
		return f.upstream == u || now.Sub(f.at) > poisonousWindow
	})
	r.places = append(r.places, callerFailure{u, now})
	if len(r.places) > maxPlaces {
		r.places = r.places[1:]
	}
}

// failing returns those of the callers of whose requests many fail here.
func (c *callers) failing(ids []uint64, usual float64) []uint64 {
	var failing []uint64
	for _, id := range ids {
		if r := c.records[id]; r != nil && r.isFailing(usual) {
			failing = append(failing, id)
		}
	}
	return failing
}

// isPoisonous counts the upstreams at which only this caller's requests fail. An
// upstream at which those of others fail too is itself suspect: several faulty
// upstreams must not make every caller look poisonous.
func (c *callers) isPoisonous(caller uint64, now time.Time) bool {
	r := c.records[caller]
	if r == nil || !c.present.several(now, callersWindow) {
		return false
	}
	alone := 0
	for _, f := range r.places {
		if now.Sub(f.at) <= poisonousWindow && f.upstream.state == InService && f.upstream.othersShare(caller) < oneFailure {
			alone++
		}
	}
	return alone >= poisonousUpstreams
}

// oneFailure is slightly more than the weight of a single failure at the lowest
// p0.
const oneFailure = 3.1

// othersShare returns the part of the scores that other callers contributed.
func (u *upstream) othersShare(caller uint64) float64 {
	return max(u.failed.sum-u.failed.callers[caller]*u.failed.scale, u.slow.sum-u.slow.callers[caller]*u.slow.scale)
}

// forget drops the records of callers without recent failures.
func (c *callers) forget(now time.Time) {
	for id, r := range c.records {
		if now.Sub(r.last) > poisonousWindow {
			delete(c.records, id)
		}
	}
}

// soundCallers takes the failures of poisonous callers out of a report and
// returns the callers to which the rest belongs.
func (e *Engine) soundCallers(s *service, u *upstream, r *report) []uint64 {
	if r.failed+r.slow == 0 || len(r.callers) == 0 {
		return r.callers
	}
	var sound []uint64
	for _, c := range r.callers {
		if s.callers.isPoisonous(c, e.now) {
			for _, o := range s.upstreams {
				o.failed.dropCaller(c)
				o.slow.dropCaller(c)
			}
			continue
		}
		sound = append(sound, c)
	}
	all := uint64(len(r.callers))
	r.failed = (r.failed*uint64(len(sound)) + all - 1) / all
	r.slow = (r.slow*uint64(len(sound)) + all - 1) / all
	return sound
}
