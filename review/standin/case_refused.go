package main

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// refusedCase: a target answers a request that it refuses a second time, late, at
// the point where the next answer on the connection is expected. The rule is broken
// if a request that is answered 503 (or 408, 421, 429) has run.
func refusedCase(r *run) bool {
	const (
		attempts = 3
		limit    = 5 * time.Second
		windows  = 13 // of the disruption
		window   = 5 * time.Second
		pause    = time.Second
		share    = 0.03 // of the target's answers
		// The copies are of refusals of one kind of request: a fault may apply to some
		// callers only.
		quietPath = "/award/late-entries"
	)
	var inWindow atomic.Bool
	faulty := target{id: "i-entries-1", service: "entries", zone: "south-hobart", slots: 6, queue: 1, work: 120 * time.Millisecond}
	answered, copies := 0, 0 // while the disruption lasts
	faulty.late = func(_ *target, path string, refusal bool) bool {
		if !inWindow.Load() {
			return false
		}
		answered++
		if !refusal || path != quietPath || float64(copies+1) > max(1, share*float64(answered)) {
			return false
		}
		copies++
		return true
	}
	r.addTarget(faulty)
	r.configure(map[string]routeSpec{"award": {"/award/", "unsafe", "entries", int(limit.Milliseconds()), 2000, attempts}})
	for _, zone := range []string{"south-hobart", "north-launceston", "northwest-burnie"} {
		r.addInstance(zone).start()
	}
	r.awaitReady()
	r.sleep(3 * time.Second)

	var all []*clients
	stop := make(chan struct{})
	done := make(chan struct{})
	// Two regions are busy, and their requests come in clumps.
	for _, region := range []string{"north", "northwest"} {
		c := r.clientsOf(region)
		all = append(all, c)
		go func() {
			defer func() { done <- struct{}{} }()
			for {
				for range 12 {
					c.send("", "POST", "/award/1", "dahlia", limit)
				}
				select {
				case <-time.After(2*time.Second + rand.N(1500*time.Millisecond)):
				case <-stop:
					return
				}
			}
		}()
	}
	quiet := r.clientsOf("south")
	all = append(all, quiet)
	go func() {
		defer func() { done <- struct{}{} }()
		for {
			quiet.send("", "POST", quietPath, "fuchsia", limit)
			quiet.wg.Wait() // one request at a time
			select {
			case <-time.After(rand.N(80 * time.Millisecond)):
			case <-stop:
				return
			}
		}
	}()
	for range windows {
		r.sleep(pause)
		if r.trouble {
			inWindow.Store(true)
			r.note("disruption: i-entries-1 begins to answer some requests twice")
		}
		r.sleep(window)
		inWindow.Store(false)
		r.note("disruption: over")
	}
	close(stop)
	for range all {
		<-done
	}
	time.Sleep(limit / 2)

	runs := r.runsByID()
	broken, twice, total := 0, 0, 0
	for _, c := range all {
		answers := c.wait()
		total += len(answers)
		r.note("region %s: %d requests, by status %v", c.region, len(answers), countStatus(answers))
		for _, s := range answers {
			switch s.status {
			case 408, 421, 429, 503:
				if at := runs[s.id]; len(at) > 0 {
					broken++
					r.note("BROKEN: %s was answered %d and has run at %v: %s", s.id, s.status, at, s.body)
				}
			}
			if len(runs[s.id]) > 1 {
				twice++
				r.note("BROKEN: %s has run at %v", s.id, runs[s.id])
			}
		}
	}
	if total < 100 {
		r.failf("only %d requests", total)
	}
	r.note("%d requests; %d refused though they have run, %d have run twice", total, broken, twice)
	return broken+twice > 0
}
