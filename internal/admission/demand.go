package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// demandMemory is the time constant with which past requests are forgotten. It
	// is a few times the work of a request, so that a class of a few requests a
	// second doesn't seem idle between two of them, and short enough to follow a
	// burst.
	demandMemory = 2 * time.Second
	// demandRecent is the time since its latest request for which a class counts as
	// in use.
	demandRecent = 5 * time.Second
)

// Demand estimates the recent demand of each class: the mean number of slots that
// its requests need, which is their rate times their work. The zero value is ready
// for use.
type Demand struct {
	classes []classDemand // by urgency
	routes  map[string]*routeDemand
}

type classDemand struct {
	Class
	own, all average
	last     time.Time // latest request
	// objective is 0 if it is not known. blocks is the mean time for which a request
	// blocks one behind it at an upstream.
	objective, blocks time.Duration
}

// routeDemand is the recent demand of a route by class. It tells the classes of
// requests that other instances have reported without them.
type routeDemand struct {
	classes []classDemand
	last    time.Time
}

// average is an exponentially decaying average.
type average struct {
	value float64
	at    time.Time
}

func (a *average) decayed(now time.Time) float64 {
	return a.value * math.Exp(-max(0, now.Sub(a.at)).Seconds()/demandMemory.Seconds())
}

func (a *average) add(amount float64, now time.Time) {
	a.value, a.at = a.decayed(now)+amount/demandMemory.Seconds(), now
}

func find(classes []classDemand, k Class) (int, bool) {
	return slices.BinarySearchFunc(classes, k, func(d classDemand, k Class) int { return d.Compare(k) })
}

func at(classes *[]classDemand, k Class) *classDemand {
	i, ok := find(*classes, k)
	if !ok {
		*classes = slices.Insert(*classes, i, classDemand{Class: k})
	}
	return &(*classes)[i]
}

// Add records an attempt of this instance.
func (d *Demand) Add(k Class, route string, work time.Duration, now time.Time) {
	c := at(&d.classes, k)
	c.own.add(work.Seconds(), now)
	c.all.add(work.Seconds(), now)
	c.last = now
	r := d.routes[route]
	if r == nil {
		if d.routes == nil {
			d.routes = make(map[string]*routeDemand)
		}
		r = new(routeDemand)
		d.routes[route] = r
	}
	r.last = now
	at(&r.classes, k).own.add(1, now)
}

// AddPeer records an attempt of another instance that serves the same callers. Its
// class is assumed to be distributed as for this instance's requests of the route.
// Without any, it is not counted.
func (d *Demand) AddPeer(route string, work time.Duration, now time.Time) {
	r := d.routes[route]
	if r == nil {
		return
	}
	total := 0.0
	for i := range r.classes {
		total += r.classes[i].own.decayed(now)
	}
	if total <= 0 {
		return
	}
	for i := range r.classes {
		share := r.classes[i].own.decayed(now) / total
		c := at(&d.classes, r.classes[i].Class)
		c.all.add(share*work.Seconds(), now)
		c.last = now
	}
}

const (
	// maxBlockedShare is the share of a request's latency objective for which it may
	// wait behind less urgent requests at an upstream. Keeping room costs these: the
	// free slots are those of the best upstreams, and if room was kept for classes
	// that can wait, up to twice as many requests failed.
	maxBlockedShare = 1.0 / 3
	// blocksGain is the gain of the moving average of classDemand.blocks.
	blocksGain = 1.0 / 16
)

// SetTimes records the latency objective of a request of a class, and for how long
// it blocks a request behind it at an upstream. The shortest objective counts.
func (d *Demand) SetTimes(k Class, objective, blocks time.Duration) {
	c := at(&d.classes, k)
	if c.objective == 0 || objective < c.objective {
		c.objective = objective
	}
	if c.blocks == 0 {
		c.blocks = blocks
	}
	c.blocks += time.Duration(blocksGain * float64(blocks-c.blocks))
}

// Urgent is the demand of the classes that are more urgent than some class, as the
// mean number of slots.
type Urgent struct {
	Own     float64 // of this instance
	All     float64 // of this instance and those that share their attempts with it
	Classes int     // classes with a recent request
}

// UrgentThan returns the demand of the classes that are more urgent than k.
func (d *Demand) UrgentThan(k Class, now time.Time) Urgent {
	return d.urgentThan(k, now, func(*classDemand) bool { return true })
}

// BlockedBy returns the demand of the classes that are more urgent than k and whose
// requests can't wait behind those of k at an upstream.
func (d *Demand) BlockedBy(k Class, now time.Time) Urgent {
	i, ok := find(d.classes, k)
	if !ok {
		return Urgent{}
	}
	blocks := d.classes[i].blocks
	return d.urgentThan(k, now, func(c *classDemand) bool {
		return c.objective > 0 && float64(blocks) >= maxBlockedShare*float64(c.objective)
	})
}

func (d *Demand) urgentThan(k Class, now time.Time, include func(*classDemand) bool) Urgent {
	var u Urgent
	for i := range d.classes {
		c := &d.classes[i]
		if c.Compare(k) >= 0 {
			break
		}
		if now.Sub(c.last) > demandRecent || !include(c) {
			continue
		}
		u.Classes++
		u.Own += c.own.decayed(now)
		u.All += c.all.decayed(now)
	}
	return u
}

// Classes returns the classes with a recent request, the most urgent one first.
func (d *Demand) Classes(now time.Time) []Class {
	var classes []Class
	for i := range d.classes {
		if now.Sub(d.classes[i].last) <= demandRecent {
			classes = append(classes, d.classes[i].Class)
		}
	}
	return classes
}

// Prune forgets classes and routes without recent requests.
func (d *Demand) Prune(now time.Time) {
	old := func(c classDemand) bool { return now.Sub(c.last) > demandRecent }
	d.classes = slices.DeleteFunc(d.classes, old)
	for name, r := range d.routes {
		if now.Sub(r.last) > 12*demandRecent {
			delete(d.routes, name)
		}
	}
}
