package placement

import (
	"math"
	"time"
)

// ResponseTimes estimates the response times of healthy upstreams for one route.
// It assumes a log-normal distribution with rare outliers.
type ResponseTimes struct {
	mean, variance float64 // of the logarithm of seconds
	samples        float64
}

const (
	// maxSamples is the number of responses over which the estimate averages.
	maxSamples = 200
	// minDeviation is the minimum standard deviation. Without it, any other
	// response would count as late after a few that took almost the same time.
	minDeviation = 0.2
	// outlierShare is the assumed share of outliers, which may take any time.
	outlierShare = 0.01
	// priorWeight is the weight of the initial guess, in responses.
	priorWeight = 8
	// priorDeviation is the standard deviation of the initial guess.
	priorDeviation = 0.6
)

// NewResponseTimes returns an estimate that starts with a guess of the median.
func NewResponseTimes(guess time.Duration) *ResponseTimes {
	return &ResponseTimes{
		mean: math.Log(max(guess, time.Millisecond).Seconds()), variance: priorDeviation * priorDeviation,
		samples: priorWeight,
	}
}

// Add adds the response time of a successful attempt.
func (t *ResponseTimes) Add(d time.Duration) {
	logSeconds := math.Log(max(d, time.Millisecond).Seconds())
	t.samples = min(t.samples+1, maxSamples)
	gain := 1 / t.samples
	delta := logSeconds - t.mean
	t.mean += gain * delta
	t.variance += gain * (delta*delta*(1-gain) - t.variance)
}

// Settled reports whether enough responses have been observed that the initial
// guess hardly matters.
func (t *ResponseTimes) Settled() bool { return t.samples >= 4*priorWeight }

// Median returns the median response time.
func (t *ResponseTimes) Median() time.Duration { return seconds(math.Exp(t.mean)) }

// Mean returns the mean response time.
func (t *ResponseTimes) Mean() time.Duration { return seconds(math.Exp(t.mean + t.variance/2)) }

// MaxWait returns how long a request waits for a better upstream when only
// probably faulty ones are free. After that time, most slots that become free are
// wanted by other queued requests too.
func (t *ResponseTimes) MaxWait() time.Duration { return t.Median() / 2 }

// AtDeviations returns the response time whose logarithm lies the given number of
// standard deviations above the mean logarithm. With 0 it is the median.
func (t *ResponseTimes) AtDeviations(deviations float64) time.Duration {
	return seconds(math.Exp(t.mean + deviations*t.deviation()))
}

// lateDeviations is the argument of AtDeviations for the time after which a
// response is so late that the upstream is probably faulty.
const lateDeviations = 2.2

// LateAfter returns how long to wait for a response before the request is
// sent to another upstream, where left is the time until the deadline. If left
// suffices, the other upstream gets enough time for most responses.
func (t *ResponseTimes) LateAfter(left time.Duration) time.Duration {
	late := t.AtDeviations(lateDeviations)
	if latest := left - t.AtDeviations(1); latest >= t.Median() {
		return min(late, latest)
	}
	return late
}

// Shortest returns a time that almost all responses exceed. Another attempt with
// less time left is pointless.
func (t *ResponseTimes) Shortest() time.Duration { return t.AtDeviations(-2) }

// Longest returns a time that few responses exceed.
func (t *ResponseTimes) Longest() time.Duration { return t.AtDeviations(2) }

func (t *ResponseTimes) deviation() float64 { return max(minDeviation, math.Sqrt(t.variance)) }

// tailProbability returns the share of healthy responses that take longer than d.
func (t *ResponseTimes) tailProbability(d time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	z := (math.Log(d.Seconds()) - t.mean) / t.deviation()
	return outlierShare + (1-outlierShare)*0.5*math.Erfc(z/math.Sqrt2)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
