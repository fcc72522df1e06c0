package health

import (
	"math"
	"slices"
)

// Rates of the two hypotheses that a score compares.
const (
	// minHealthyRate is p0 where the service's upstreams fail less.
	minHealthyRate = 0.01
	// maxHealthyRate keeps room for a faulty rate above it.
	maxHealthyRate = 0.9
	// minFaultyRate is p1 where p0 is low. At p0 = 1% a success weighs 0.21 and
	// a failure 3.0, so that the score rises from a failure rate of 6.7% on.
	minFaultyRate = 0.2
	// healthyFactor is p0 over the failure rate of the service's upstreams.
	healthyFactor = 2
)

// trimmedShare is the share of upstreams, the worst, that a baseline leaves out,
// so that faulty upstreams do not raise it.
const trimmedShare = 0.25

// serviceWideShare is the mean score of the service's other upstreams, as a
// share of the threshold, from which a fault counts as one of the whole
// service. The baseline takes about a second to follow a sudden fault; the
// scores follow at once.
const serviceWideShare = 0.25

// rates are p0 and p1.
type rates struct {
	healthy, faulty float64
}

func ratesOf(observed float64) rates {
	p0 := min(max(healthyFactor*observed, minHealthyRate), maxHealthyRate)
	return rates{healthy: p0, faulty: max(minFaultyRate, 1-math.Pow(1-p0, 3))}
}

// baseline holds the rates for failures and for slow answers.
type baseline struct {
	failed, slow rates
}

// updateBaseline estimates the failure rates of the service's upstreams from the
// failures that all reporters saw and the traffic that they announced. Traffic
// is taken as spread evenly over the upstreams in service.
func (e *Engine) updateBaseline(s *service) {
	traffic := s.traffic.get(e.now)
	for _, name := range sortedKeys(e.peers) {
		g := e.peers[name].traffic[s.name]
		traffic += g.get(e.now)
	}
	var failed, slow []float64
	for _, u := range s.upstreams {
		if u.state != InService {
			continue
		}
		failed = append(failed, u.recent.failed.get(e.now))
		slow = append(slow, u.recent.slow.get(e.now))
	}
	each := max(traffic/float64(max(len(failed), 1)), 1)
	s.baseline = baseline{
		failed: ratesOf(trimmedMean(failed) / each),
		slow:   ratesOf(trimmedMean(slow) / each),
	}
}

// trimmedMean returns the mean without the highest trimmedShare of the values; 0
// if none are left. It sorts the values.
func trimmedMean(values []float64) float64 {
	slices.Sort(values)
	values = values[:len(values)-int(math.Ceil(trimmedShare*float64(len(values))))]
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
// the same kind of failure.
func (s *service) isServiceWide(u *upstream, slow bool) bool {
	var others []float64
	for _, o := range s.upstreams {
		if o == u || o.state != InService {
			continue
		}
		others = append(others, min(o.scoreOf(slow).sum, s.limits.threshold))
	}
	return trimmedMean(others) >= serviceWideShare*s.limits.threshold
}

func (u *upstream) scoreOf(slow bool) *score {
	if slow {
		return &u.slow
	}
	return &u.failed
}
