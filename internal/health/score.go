package health

import (
	"time"
)

// score is a CUSUM of log-likelihood ratios with the share of each reporter and
// caller in it. A success scales all shares by the same factor, so that they
// always add up to the sum. Shares are stored divided by scale, so that a success
// only changes scale.
type score struct {
	sum       float64
	scale     float64
	reporters map[string]float64
	callers   map[uint64]float64
	started   time.Time // first failure since the sum was zero
	failures  uint64    // since then
	successes uint64    // since then
}

// maxShares limits the reporters and the callers in a score. Further callers
// share one entry.
const maxShares = 64

// overflowCaller is the entry for callers beyond maxShares.
const overflowCaller = 0

// negligibleScore is the score up to which a score is rounded down to 0.
const negligibleScore = 1e-3

// minScale is the scale below which the shares are rescaled, before the division
// loses precision.
const minScale = 1e-6

// weightedFailure is one failure with its weight and limits in a score.
type weightedFailure struct {
	reporter    string
	caller      uint64
	ratio       float64 // log-likelihood ratio, above 0
	reporterCap float64 // maximum share of the reporter
	callerCap   float64 // maximum share of the caller
}

// addFailure adds a failure, up to the caps.
func (s *score) addFailure(now time.Time, f weightedFailure) {
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

// addSuccesses adds n successes with the given log-likelihood ratio, which is
// below 0.
func (s *score) addSuccesses(n uint64, ratio float64) {
	if s.sum == 0 {
		return
	}
	s.successes += n
	s.lowerTo(s.sum + float64(n)*ratio)
}

// lowerTo lowers the sum to the given value and scales the shares.
func (s *score) lowerTo(to float64) {
	if to >= s.sum {
		return
	}
	if to <= negligibleScore {
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

// dropReporter removes a reporter's share.
func (s *score) dropReporter(reporter string) { dropShare(s, s.reporters, reporter, s.callers) }

// dropCaller removes a caller's share. It scales down all reporters by the same
// factor, since the score does not record which of them reported the caller's
// failures.
func (s *score) dropCaller(caller uint64) { dropShare(s, s.callers, caller, s.reporters) }

// dropShare removes the share of key from the score and scales the shares in
// others to add up to the new sum.
func dropShare[K, L comparable](s *score, shares map[K]float64, key K, others map[L]float64) {
	share := shares[key] * s.scale
	if share == 0 {
		return
	}
	rest := s.sum - share
	delete(shares, key)
	if rest <= negligibleScore {
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

// worst returns the higher of the upstream's two scores.
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
