package placement

import (
	"math"
	"time"
)

// Times estimates how long healthy upstreams take for one kind of request. It
// assumes a log-normal distribution with a tail of rare long requests.
type Times struct {
	mean, variance float64 // of the logarithm of seconds
	samples        float64
}

const (
	// timesMemory is the number of answers over which the estimate averages.
	timesMemory = 200
	// minDeviation keeps a few answers of equal length from making every other
	// one look late.
	minDeviation = 0.2
	// tailShare is the share of requests that are taken to have no usual time.
	tailShare = 0.01
	// priorWeight is the number of answers for which the first guess counts.
	priorWeight = 8
	// priorDeviation is the deviation of the first guess.
	priorDeviation = 0.6
)

// NewTimes returns an estimate that begins with a guess of the median.
func NewTimes(guess time.Duration) *Times {
	return &Times{
		mean: math.Log(max(guess, time.Millisecond).Seconds()), variance: priorDeviation * priorDeviation,
		samples: priorWeight,
	}
}

// Add takes in the time of a good answer.
func (t *Times) Add(d time.Duration) {
	x := math.Log(max(d, time.Millisecond).Seconds())
	t.samples = min(t.samples+1, timesMemory)
	gain := 1 / t.samples
	delta := x - t.mean
	t.mean += gain * delta
	t.variance += gain * (delta*delta*(1-gain) - t.variance)
}

// Median returns the time that half of the answers take.
func (t *Times) Median() time.Duration { return seconds(math.Exp(t.mean)) }

// Mean returns the mean time of an answer.
func (t *Times) Mean() time.Duration { return seconds(math.Exp(t.mean + t.variance/2)) }

// Hold returns the time for which it pays to wait for a better upstream than one
// that is believed to be faulty. After it, few slots become free that others do
// not wait for as well.
func (t *Times) Hold() time.Duration { return t.Median() / 2 }

// Late returns the time that an answer of a healthy upstream exceeds by chance
// with the given number of standard deviations.
func (t *Times) Late(deviations float64) time.Duration {
	return seconds(math.Exp(t.mean + deviations*t.deviation()))
}

// giveUpDeviations is the number of standard deviations beyond the usual time
// after which an answer is so late that the upstream is probably faulty.
const giveUpDeviations = 2.2

// GiveUp returns how long to wait for an answer before the request goes to
// another upstream, if that is allowed and the given time is left in all. The
// other upstream gets the time that most answers take, if there is enough for
// both.
func (t *Times) GiveUp(left time.Duration) time.Duration {
	late := t.Late(giveUpDeviations)
	if latest := left - t.Late(1); latest >= t.Median() {
		return min(late, latest)
	}
	return late
}

// Least returns the time below which hardly any answer comes. With less than
// that, another attempt is in vain.
func (t *Times) Least() time.Duration { return t.Late(-2) }

func (t *Times) deviation() float64 { return max(minDeviation, math.Sqrt(t.variance)) }

// slower returns the share of healthy answers that take longer than d.
func (t *Times) slower(d time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	z := (math.Log(d.Seconds()) - t.mean) / t.deviation()
	return tailShare + (1-tailShare)*0.5*math.Erfc(z/math.Sqrt2)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
