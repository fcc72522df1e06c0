package health

import (
	"time"
)

// score is a CUSUM of log-likelihood ratios with the share that each reporter
// and caller has in it. A success scales all shares alike, so that they always
// add up to the sum; they are stored divided by scale, which makes a success
// cheap.
type score struct {
	sum       float64
	scale     float64
	reporters map[string]float64
	callers   map[uint64]float64
	started   time.Time // first failure since the sum was zero
	failures  uint64    // since then
	successes uint64    // since then
}

// maxShares bounds the reporters and the callers in a score. Further callers
// share one entry.
const maxShares = 64

// overflowCaller stands for the callers beyond maxShares.
const overflowCaller = 0

// negligible is the score that counts as none.
const negligible = 1e-3

// minScale is the scale at which the shares are stored anew, before the
// division loses precision.
const minScale = 1e-6

// weighedFailure is one failure as it enters a score.
type weighedFailure struct {
	reporter    string
	caller      uint64
	ratio       float64 // log-likelihood ratio, above 0
	reporterCap float64 // largest share of the reporter
	callerCap   float64 // largest share of the caller
}

// fail adds a failure, as far as the caps allow.
func (s *score) fail(now time.Time, f weighedFailure) {
	if s.sum == 0 {
		s.reset()
		s.started = now
		s.scale = 1
		s.reporters = map[string]float64{}
		s.callers = map[uint64]float64{}
	}
	s.failures++
	if _, known := s.callers[f.caller]; !known && len(s.callers) >= maxShares {
		f.caller = overflowCaller
	}
	if _, known := s.reporters[f.reporter]; !known && len(s.reporters) >= maxShares {
		return
	}
	inc := min(f.ratio, f.reporterCap-s.reporters[f.reporter]*s.scale, f.callerCap-s.callers[f.caller]*s.scale)
	inc = max(inc, 0)
	s.sum += inc
	s.reporters[f.reporter] += inc / s.scale
	s.callers[f.caller] += inc / s.scale
}

// succeed adds n successes of the given ratio, which is below 0.
func (s *score) succeed(n uint64, ratio float64) {
	if s.sum == 0 {
		return
	}
	s.successes += n
	s.shrink(s.sum + float64(n)*ratio)
}

// shrink lowers the sum to the given value.
func (s *score) shrink(to float64) {
	if to >= s.sum {
		return
	}
	if to <= negligible {
		s.reset()
		return
	}
	s.scale *= to / s.sum
	s.sum = to
	if s.scale < minScale {
		for r := range s.reporters {
			s.reporters[r] *= s.scale
		}
		for c := range s.callers {
			s.callers[c] *= s.scale
		}
		s.scale = 1
	}
}

// drop takes a reporter's share out.
func (s *score) drop(reporter string) { dropShare(s, s.reporters, reporter, s.callers) }

// dropCaller takes a caller's share out. Reporters lose alike, since the score
// does not know whose reports the caller's failures came with.
func (s *score) dropCaller(caller uint64) { dropShare(s, s.callers, caller, s.reporters) }

// dropShare takes the share of key out of the score and scales the other shares,
// so that they add up to the new sum.
func dropShare[K, L comparable](s *score, shares map[K]float64, key K, others map[L]float64) {
	share := shares[key] * s.scale
	if share == 0 {
		return
	}
	rest := s.sum - share
	delete(shares, key)
	if rest <= negligible {
		s.reset()
		return
	}
	for o := range others {
		others[o] *= rest / s.sum
	}
	s.sum = rest
}

func (s *score) reset() { *s = score{} }

// reporterNames returns the reporters with failures, sorted.
func (s *score) reporterNames() []string {
	if len(s.reporters) == 0 {
		return nil
	}
	return sortedKeys(s.reporters)
}

// worst returns the higher of the upstream's scores.
func (u *upstream) worst() *score {
	if u.slow.sum > u.failed.sum {
		return &u.slow
	}
	return &u.failed
}

func (u *upstream) score() float64 { return u.worst().sum }

func (u *upstream) resetScores() {
	u.failed.reset()
	u.slow.reset()
}
