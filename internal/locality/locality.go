// Package locality decides which share of a service's requests leaves the region
// in which they arrived.
//
// It answers two loads. When one region is short of slots and others are not,
// requests leave it until waiting here costs callers as much as leaving does. When
// all regions are short, as in a burst of the whole service, leaving would only
// exchange requests among full regions: none leave.
//
// The instances of a region see the same loads, so they arrive at the same share
// without agreeing on it, and each applies it to its own requests.
//
// All functions take the time as an argument, and the package does no I/O.
package locality

import (
	"math"
	"time"
)

// Pool is the capacity of one region for the requests of one service.
type Pool struct {
	Slots float64 // each weighted with the probability that a request there succeeds
	Load  float64 // requests running and waiting there, as far as known
}

// Input is the state of a service on which the share depends.
type Input struct {
	Local  Pool
	Remote []Pool // of other regions whose load is known
	// MeanTime is the mean time of a healthy response.
	MeanTime time.Duration
	// Objective is the latency objective of the requests. A wait as long as the
	// objective counts as much as a failed request.
	Objective time.Duration
	// Price is what it costs to send a request to another region, as a failure
	// probability: for the distance and for the bytes.
	Price float64
}

// Parameters of the share.
const (
	// UpdateInterval is the time between two updates. It is shorter than most
	// requests, so that the share changes before the load has.
	UpdateInterval = 250 * time.Millisecond
	// startMargin is the gain, as a failure probability, from which the first
	// requests leave. Without a margin, random variations of equal loads would move
	// requests back and forth.
	startMargin = 0.03
	// smoothing is the part of the distance to the wanted share that one update
	// moves. The load follows within a response time, so larger steps overshoot.
	smoothing = 0.3
	// maxShare bounds the share, so that the local upstreams stay known.
	maxShare = 0.8
	// minShare is the share below which none leaves.
	minShare = 0.01
	// bisections is the number of steps in which the wanted share is found. They
	// give it to within minShare.
	bisections = 8
)

// Planner holds the share of one service. The zero value is ready for use. It is
// not safe for concurrent use.
type Planner struct {
	share     float64
	updatedAt time.Time
}

// Share returns the share of requests that leave the region, from 0 to 1.
func (p *Planner) Share() float64 { return p.share }

// Leaves reports whether a request leaves, for a random number from 0 to 1.
func (p *Planner) Leaves(random float64) bool { return random < p.share }

// Due reports whether Update has an effect: the latest update was at least
// UpdateInterval ago.
func (p *Planner) Due(now time.Time) bool {
	return p.updatedAt.IsZero() || now.Sub(p.updatedAt) >= UpdateInterval
}

// Update moves the share toward the one at which leaving no longer pays. It does
// nothing unless an update is due.
func (p *Planner) Update(in Input, now time.Time) {
	if !p.Due(now) {
		return
	}
	p.updatedAt = now
	all := in.withoutShare(p.share)
	p.share += smoothing * (all.wanted(p.share > 0) - p.share)
	if p.share < minShare {
		p.share = 0
	}
}

// withoutShare returns the input with the loads that there would be if no request
// left. The present loads are the result of the present share: judged by them, it
// would always look needless.
func (in Input) withoutShare(share float64) Input {
	all := in.Local.Load / (1 - share)
	moved := all * share
	in.Local.Load = all
	remote := make([]Pool, len(in.Remote))
	slots := 0.0
	for _, pool := range in.Remote {
		slots += pool.Slots
	}
	for i, pool := range in.Remote {
		remote[i] = pool
		if slots > 0 {
			remote[i].Load = max(0, pool.Load-moved*pool.Slots/slots)
		}
	}
	in.Remote = remote
	return in
}

// wanted returns the share at which the cost of waiting here equals that of
// leaving. leaving is set if requests leave already.
func (in *Input) wanted(leaving bool) float64 {
	target, ok := in.target()
	if !ok {
		return 0
	}
	margin := startMargin
	if leaving {
		margin = 0
	}
	if in.gain(target, 0) <= margin {
		return 0
	}
	low, high := 0.0, maxShare
	for range bisections {
		if middle := (low + high) / 2; in.gain(target, middle) > 0 {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// target returns the capacity of the regions to which leaving pays, together.
func (in *Input) target() (Pool, bool) {
	var sum Pool
	for _, pool := range in.Remote {
		if pool.Slots >= 1 && in.gain(pool, 0) > 0 {
			sum.Slots += pool.Slots
			sum.Load += pool.Load
		}
	}
	return sum, sum.Slots > 0
}

// gain returns what the next request that leaves gains, as a failure probability,
// if the given share of the local load has moved to the target.
func (in *Input) gain(target Pool, share float64) float64 {
	moved := share * in.Local.Load
	here := Pool{in.Local.Slots, in.Local.Load - moved}.wait(in.MeanTime)
	there := Pool{target.Slots, target.Load + moved}.wait(in.MeanTime)
	return (here-there).Seconds()/in.Objective.Seconds() - in.Price
}

// maxUtilization bounds the utilization in the estimate of random waits, which
// grows without limit toward 1. Beyond it the queue itself is the estimate.
const maxUtilization = 0.95

// maxWait is the wait at a pool without slots.
const maxWait = time.Hour

// wait returns the expected wait of a request: for those ahead of it, and for
// random variations as in a queue with several servers (Sakasegawa's
// approximation).
func (p Pool) wait(mean time.Duration) time.Duration {
	if p.Slots < 1 {
		return maxWait
	}
	ahead := max(0, p.Load-p.Slots) / p.Slots
	utilization := min(p.Load/p.Slots, maxUtilization)
	random := math.Pow(utilization, math.Sqrt(2*(p.Slots+1))-1) / (p.Slots * (1 - utilization))
	return min(maxWait, time.Duration((ahead+random)*float64(mean)))
}
