package health

import (
	"math"
	"slices"
	"time"
)

// Failure rates of the two hypotheses that a score compares: p0 for a healthy
// upstream, p1 for a faulty one.
const (
	// minHealthyRate and minFaultyRate are the lower bounds of p0 and p1. At these
	// rates a success weighs -0.21 and a failure 3.0, so the score rises if more
	// than 6.7% of requests fail.
	minHealthyRate = 0.01
	minFaultyRate  = 0.2
	// minHealthySlow and minFaultySlow are the same bounds for slow responses.
	// Healthy upstreams have 1 to 2% of them with the default slow_factor and a
	// typical latency distribution.
	minHealthySlow = 0.05
	minFaultySlow  = 0.4
	// maxHealthyRate is the upper bound of p0; p1 must be higher.
	maxHealthyRate = 0.9
	// healthyFactor is the ratio of p0 to the observed failure rate of the
	// service's upstreams.
	healthyFactor = 2
)

// baselineTrim is the share of upstreams, those with the most failures, that the
// baseline excludes, so that faulty upstreams raise it only if they are the
// majority.
const baselineTrim = 0.5

// serviceWideShare is the mean score of the service's other upstreams, as a
// share of the threshold, at which a fault counts as service-wide. The baseline
// takes about a second to follow a sudden fault; the scores follow immediately.
const serviceWideShare = 0.25

// A fault that starts at many upstreams at once is observed at some of them
// first, and the score of one may reach the threshold before the baseline has
// risen. An upstream is therefore ejected only if its failures in the long window
// are at least outlierFactor times the mean of the others plus a margin. The
// margin is outlierMargin for a mean of at least outlierFullMarginMean and is
// proportional to the mean below it: rare failures elsewhere must not mask a
// fault that causes fewer than outlierMargin failures in the window. The mean
// excludes a smaller share of upstreams than the baseline, because few failures
// have been observed at that point.
const (
	outlierFactor         = 6
	outlierMargin         = 3
	outlierFullMarginMean = 0.2
	outlierTrim           = 0.15
)

// rates holds p0 and p1.
type rates struct {
	healthy, faulty float64
}

// newRates derives p0 and p1 from the observed failure rate and their minimums.
func newRates(observed, minHealthy, minFaulty float64) rates {
	p0 := min(max(healthyFactor*observed, minHealthy), maxHealthyRate)
	return rates{healthy: p0, faulty: max(minFaulty, 1-math.Pow(1-p0, 3))}
}

// baseline holds the rates for failures and for slow responses.
type baseline struct {
	failed, slow rates
}

func newBaseline(failed, slow float64) baseline {
	return baseline{
		failed: newRates(failed, minHealthyRate, minFaultyRate),
		slow:   newRates(slow, minHealthySlow, minFaultySlow),
	}
}

// minBaseline is the baseline of a service without failures.
var minBaseline = newBaseline(0, 0)

// peerTraffic is the latest Evidence.Traffic of a peer.
type peerTraffic struct {
	outcomes uint64
	at       time.Time
}

// updateBaseline estimates the failure rates of the service's upstreams from the
// failures and the traffic of all reporters. It assumes steady traffic, spread
// evenly over the upstreams in service.
func (e *Engine) updateBaseline(s *service) {
	before := s.baseline
	if before == minBaseline && !s.hasPositiveScore() {
		return
	}
	long, _ := s.ownTraffic.get(e.now)
	traffic := uint64(long)
	for _, r := range s.peerTraffic {
		if e.now.Sub(r.at) < RecentWindow {
			traffic += r.outcomes
		}
	}
	var failed, slow [2][]float64 // long and short window
	for _, u := range s.upstreams {
		if u.state != InService {
			continue
		}
		l, sh := u.recent.failed.get(e.now)
		failed[0], failed[1] = append(failed[0], l), append(failed[1], sh)
		l, sh = u.recent.slow.get(e.now)
		slow[0], slow[1] = append(slow[0], l), append(slow[1], sh)
	}
	long = max(float64(traffic)/float64(max(len(failed[0]), 1)), 1)
	short := max(long*float64(shortHalfLife)/float64(longHalfLife), 1)
	s.baseline = newBaseline(
		max(trimmedMean(failed[0], baselineTrim)/long, trimmedMean(failed[1], baselineTrim)/short),
		max(trimmedMean(slow[0], baselineTrim)/long, trimmedMean(slow[1], baselineTrim)/short),
	)
	failedFactor := before.failed.failureWeightFactor(s.baseline.failed)
	slowFactor := before.slow.failureWeightFactor(s.baseline.slow)
	for _, u := range s.upstreams {
		u.failed.lowerTo(u.failed.sum * failedFactor)
		u.slow.lowerTo(u.slow.sum * slowFactor)
	}
}

// failureWeightFactor returns the ratio of a failure's new weight to its old one
// if p0 rises, and 1 otherwise. It rescales failures counted before the baseline
// reflected a service-wide fault, which would otherwise keep the weight of rare
// failures.
func (r rates) failureWeightFactor(next rates) float64 {
	if next.healthy <= r.healthy {
		return 1
	}
	return math.Log(next.faulty/next.healthy) / math.Log(r.faulty/r.healthy)
}

// hasPositiveScore reports whether an upstream of the service has a score above 0.
func (s *service) hasPositiveScore() bool {
	for _, u := range s.upstreams {
		if u.score() > 0 {
			return true
		}
	}
	return false
}

// trimmedMean returns the mean of values without the given share of the highest
// ones, or 0 if none are left. It sorts values.
func trimmedMean(values []float64, share float64) float64 {
	slices.Sort(values)
	values = values[:len(values)-int(math.Ceil(share*float64(len(values))))]
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// isServiceWide reports whether the service's other upstreams show the same kind
// of failure: their mean score is high, or the upstream is no outlier among them.
func (s *service) isServiceWide(u *upstream, slow bool, now time.Time) bool {
	var scores, counts []float64
	for _, o := range s.upstreams {
		if o == u || o.state != InService {
			continue
		}
		scores = append(scores, min(o.scoreFor(slow).sum, s.limits.threshold))
		counts = append(counts, o.recentFailures(slow, now))
	}
	if trimmedMean(scores, baselineTrim) >= serviceWideShare*s.limits.threshold {
		return true
	}
	if slow {
		// Counts of slow responses are not comparable: a slow upstream completes
		// few requests, while a busy healthy one always has some slow responses.
		return false
	}
	mean := trimmedMean(counts, outlierTrim)
	margin := outlierMargin * min(1, mean/outlierFullMarginMean)
	return u.recentFailures(slow, now) < outlierFactor*mean+margin
}

// recentFailures returns the slow responses or the other failures in the long
// window.
func (u *upstream) recentFailures(slow bool, now time.Time) float64 {
	w := &u.recent.failed
	if slow {
		w = &u.recent.slow
	}
	count, _ := w.get(now)
	return count
}

func (u *upstream) scoreFor(slow bool) *score {
	if slow {
		return &u.slow
	}
	return &u.failed
}
