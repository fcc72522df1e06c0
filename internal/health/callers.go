package health

import (
	"math"
	"slices"
	"time"
)

const (
	// faultyCallerUpstreams is the number of upstreams at which a caller's
	// requests must fail within faultyCallerWindow to attribute the failures to
	// the requests.
	faultyCallerUpstreams = 3
	faultyCallerWindow    = 10 * time.Second
	// faultyCallerRate is the failure rate that is required as well: a busy
	// caller sees rare failures at many upstreams.
	faultyCallerRate = 0.1
	// minCallerFailures is the number of failures required to apply the rate.
	minCallerFailures = 2
	// maxCallerUpstreams limits the upstreams in a caller's record.
	maxCallerUpstreams = 2 * faultyCallerUpstreams
	// callerWindow is the time after a request for which its caller counts as
	// active.
	callerWindow = time.Minute
	// maxCallerRecords limits the callers with recent failures.
	maxCallerRecords = 1024
)

// callers tracks the callers of a service.
type callers struct {
	lastCallers lastTwo[uint64]
	records     map[uint64]*callerRecord // of callers with recent failures
}

// callerRecord holds the recent failures of one caller's requests.
type callerRecord struct {
	upstreams []callerFailure // newest last, one per upstream, at most maxCallerUpstreams
	successes float64         // at this instance, since the record was created
	failures  float64
	last      time.Time
}

type callerFailure struct {
	upstream *upstream
	at       time.Time
}

// callerCap returns the maximum share of one caller in a score.
func (c *callers) callerCap(threshold float64, now time.Time) float64 {
	if c.lastCallers.bothWithin(now, callerWindow) {
		return shareCap * threshold
	}
	return math.Inf(1)
}

func (c *callers) addSuccess(caller uint64) {
	if r := c.records[caller]; r != nil {
		r.successes++
	}
}

// recordFor returns the caller's record, creating it if needed. It returns nil if
// maxCallerRecords is reached.
func (c *callers) recordFor(caller uint64, now time.Time) *callerRecord {
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

// addFailure records a failure of the caller at this instance.
func (c *callers) addFailure(caller uint64, u *upstream, usualRate float64, now time.Time) {
	r := c.recordFor(caller, now)
	if r == nil {
		return
	}
	r.failures++
	if r.isFailing(usualRate) {
		r.addUpstream(u, now)
	}
}

// addPeerFailures records the callers of failures that a peer reported for the
// upstream.
func (c *callers) addPeerFailures(u *upstream, all, failing []uint64, now time.Time) {
	for _, id := range all {
		c.lastCallers.add(id, now)
		if !slices.Contains(failing, id) {
			continue
		}
		if r := c.recordFor(id, now); r != nil {
			r.addUpstream(u, now)
		}
	}
}

// isFailing reports whether the caller's failure rate at this instance is high
// and above the usual rate of the service.
func (r *callerRecord) isFailing(usualRate float64) bool {
	return r.failures >= minCallerFailures && r.failures >= max(faultyCallerRate, usualRate)*(r.failures+r.successes)
}

func (r *callerRecord) addUpstream(u *upstream, now time.Time) {
	r.upstreams = slices.DeleteFunc(r.upstreams, func(f callerFailure) bool {
		return f.upstream == u || now.Sub(f.at) > faultyCallerWindow
	})
	r.upstreams = append(r.upstreams, callerFailure{u, now})
	if len(r.upstreams) > maxCallerUpstreams {
		r.upstreams = r.upstreams[1:]
	}
}

// failing returns the callers among ids with a high failure rate at this
// instance.
func (c *callers) failing(ids []uint64, usualRate float64) []uint64 {
	var failing []uint64
	for _, id := range ids {
		if r := c.records[id]; r != nil && r.isFailing(usualRate) {
			failing = append(failing, id)
		}
	}
	return failing
}

// isFaulty reports whether the caller's requests are at fault: they fail at
// several upstreams at which no other caller's do. Upstreams that fail for other
// callers too do not count, or several faulty upstreams would make every caller
// look faulty.
func (c *callers) isFaulty(caller uint64, now time.Time) bool {
	r := c.records[caller]
	if r == nil || !c.lastCallers.bothWithin(now, callerWindow) {
		return false
	}
	exclusive := 0
	for _, f := range r.upstreams {
		if now.Sub(f.at) <= faultyCallerWindow && f.upstream.state == InService && f.upstream.scoreOfOtherCallers(caller) < singleFailureWeight {
			exclusive++
		}
	}
	return exclusive >= faultyCallerUpstreams
}

// singleFailureWeight is slightly above the weight of one failure at the lowest
// p0.
const singleFailureWeight = 3.1

// scoreOfOtherCallers returns the score that other callers contributed.
func (u *upstream) scoreOfOtherCallers(caller uint64) float64 {
	return max(u.failed.sum-u.failed.callers[caller]*u.failed.scale, u.slow.sum-u.slow.callers[caller]*u.slow.scale)
}

// expire removes the records of callers without recent failures.
func (c *callers) expire(now time.Time) {
	for id, r := range c.records {
		if now.Sub(r.last) > faultyCallerWindow {
			delete(c.records, id)
		}
	}
}

// dropFaultyCallers removes the failures of faulty callers from the report and
// from the service's scores, and returns the remaining callers.
func (e *Engine) dropFaultyCallers(s *service, u *upstream, r *report) []uint64 {
	if r.failed+r.slow == 0 || len(r.callers) == 0 {
		return r.callers
	}
	var remaining []uint64
	for _, c := range r.callers {
		if s.callers.isFaulty(c, e.now) {
			for _, o := range s.upstreams {
				o.failed.dropCaller(c)
				o.slow.dropCaller(c)
			}
			continue
		}
		remaining = append(remaining, c)
	}
	total := uint64(len(r.callers))
	r.failed = (r.failed*uint64(len(remaining)) + total - 1) / total
	r.slow = (r.slow*uint64(len(remaining)) + total - 1) / total
	return remaining
}
