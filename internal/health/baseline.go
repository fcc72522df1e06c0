package health

import (
	"math"
	"slices"
	"time"
)

// Rates of the two hypotheses that a score compares.
const (
	// minHealthyRate is p0 where the service's upstreams fail less, and
	// minFaultyRate p1 where p0 is low. A success then weighs -0.21 and a failure
	// 3.0, so that the score rises from a failure rate of 6.7% on.
	minHealthyRate = 0.01
	minFaultyRate  = 0.2
	// minHealthySlow and minFaultySlow are the same for slow answers. Healthy
	// upstreams have a tail of them, of 1 to 2% with the default slow_factor and
	// a usual spread.
	minHealthySlow = 0.05
	minFaultySlow  = 0.4
	// maxHealthyRate keeps room for a faulty rate above it.
	maxHealthyRate = 0.9
	// healthyFactor is p0 over the failure rate of the service's upstreams.
	healthyFactor = 2
)

// trimmedShare is the share of upstreams, the worst, that a baseline leaves out,
// so that faulty upstreams do not raise it while they are no majority.
const trimmedShare = 0.5

// serviceWideShare is the mean score of the service's other upstreams, as a
// share of the threshold, from which a fault counts as one of the whole
// service. The baseline takes about a second to follow a sudden fault; the
// scores follow at once.
const serviceWideShare = 0.25

// A fault that begins at many upstreams at once reaches some of them first, and
// the score of the unlucky one may reach the threshold before the baseline has
// risen. An upstream is therefore ejected only when its failures in the long
// window are at least standOutFactor times the mean of the others, plus up to
// standOutMargin. The margin is whole from a mean of standOutMean on and falls to
// 0 with it: rare failures elsewhere must not hide a fault that gives less than
// standOutMargin failures in the window. The mean leaves out a smaller share than
// the baseline does, because few failures have been seen then.
const (
	standOutFactor = 6
	standOutMargin = 3
	standOutMean   = 0.2
	standOutTrim   = 0.15
)

// rates are p0 and p1.
type rates struct {
	healthy, faulty float64
}

// ratesOf returns the rates for an observed failure rate and their least values.
func ratesOf(observed, minHealthy, minFaulty float64) rates {
	p0 := min(max(healthyFactor*observed, minHealthy), maxHealthyRate)
	return rates{healthy: p0, faulty: max(minFaulty, 1-math.Pow(1-p0, 3))}
}

// baseline holds the rates for failures and for slow answers.
type baseline struct {
	failed, slow rates
}

func baselineOf(failed, slow float64) baseline {
	return baseline{
		failed: ratesOf(failed, minHealthyRate, minFaultyRate),
		slow:   ratesOf(slow, minHealthySlow, minFaultySlow),
	}
}

// quietBaseline is the baseline of a service without failures.
var quietBaseline = baselineOf(0, 0)

// reportedTraffic is a peer's number of outcomes as it was last reported.
type reportedTraffic struct {
	outcomes uint64
	at       time.Time
}

// updateBaseline estimates the failure rates of the service's upstreams from the
// failures that all reporters saw and the traffic that they announced. Traffic
// is taken as spread evenly over the upstreams in service, and as steady.
func (e *Engine) updateBaseline(s *service) {
	before := s.baseline
	if before == quietBaseline && !s.isSuspicious() {
		return
	}
	long, _ := s.traffic.get(e.now)
	traffic := uint64(long)
	for _, r := range s.reported {
		if e.now.Sub(r.at) < RecentWindow {
			traffic += r.outcomes
		}
	}
	var failed, slow [2][]float64 // long and short
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
	s.baseline = baselineOf(
		max(trimmedMean(failed[0], trimmedShare)/long, trimmedMean(failed[1], trimmedShare)/short),
		max(trimmedMean(slow[0], trimmedShare)/long, trimmedMean(slow[1], trimmedShare)/short),
	)
	failedFactor := before.failed.rise(s.baseline.failed)
	slowFactor := before.slow.rise(s.baseline.slow)
	for _, u := range s.upstreams {
		u.failed.shrink(u.failed.sum * failedFactor)
		u.slow.shrink(u.slow.sum * slowFactor)
	}
}

// rise returns the factor by which the weight of a failure falls when the rates
// rise, and 1 when they do not. Failures from before a common fault showed in
// the baseline would otherwise keep the weight of rare ones.
func (r rates) rise(to rates) float64 {
	if to.healthy <= r.healthy {
		return 1
	}
	return math.Log(to.faulty/to.healthy) / math.Log(r.faulty/r.healthy)
}

// isSuspicious reports whether any upstream of the service has a score.
func (s *service) isSuspicious() bool {
	for _, u := range s.upstreams {
		if u.score() > 0 {
			return true
		}
	}
	return false
}

// trimmedMean returns the mean without the given share of the values, the highest
// ones; 0 if none are left. It sorts the values.
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

// isServiceWide reports whether the service's other upstreams are suspected of
// the same kind of failure: their scores are high on average, or the upstream's
// failures do not stand out from theirs.
func (s *service) isServiceWide(u *upstream, slow bool, now time.Time) bool {
	var scores, counts []float64
	for _, o := range s.upstreams {
		if o == u || o.state != InService {
			continue
		}
		scores = append(scores, min(o.scoreOf(slow).sum, s.limits.threshold))
		counts = append(counts, o.recentOf(slow, now))
	}
	if trimmedMean(scores, trimmedShare) >= serviceWideShare*s.limits.threshold {
		return true
	}
	if slow {
		// A slow upstream answers few requests, while a busy healthy one always
		// has some slow answers: counts do not compare.
		return false
	}
	usual := trimmedMean(counts, standOutTrim)
	margin := standOutMargin * min(1, usual/standOutMean)
	return u.recentOf(slow, now) < standOutFactor*usual+margin
}

// recentOf returns the failures of one kind in the long window.
func (u *upstream) recentOf(slow bool, now time.Time) float64 {
	w := &u.recent.failed
	if slow {
		w = &u.recent.slow
	}
	long, _ := w.get(now)
	return long
}

func (u *upstream) scoreOf(slow bool) *score {
	if slow {
		return &u.slow
	}
	return &u.failed
}
