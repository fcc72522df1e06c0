package main

import (
	"fmt"
	"time"
)

// backoffCase: a target turns a request away and asks for no others for some time.
// Meanwhile it is partitioned from the store, so that its entry goes and comes back.
// The rule is broken if more than two requests reach it from one instance between
// half a second after its answer and the end of that time.
func backoffCase(r *run) bool {
	const (
		limit   = 5 * time.Second
		wanted  = 14 * time.Second        // the target wants nothing for so long
		expires = 4500 * time.Millisecond // three check-in intervals
		cutFor  = 8 * time.Second
	)
	for n := range 5 {
		r.addTarget(target{id: fmt.Sprintf("i-schedules-%d", n+1), service: "schedules", zone: "south-hobart", slots: 6, queue: 12, work: 250 * time.Millisecond})
	}
	t := r.targets[0]
	r.configure(map[string]routeSpec{"lookup": {"/lookup/", "safe", "schedules", 4000, 2000, 2}})
	for _, zone := range []string{"south-hobart", "south-huon"} {
		r.addInstance(zone).start()
	}
	r.awaitReady()
	r.sleep(3 * time.Second)
	c := r.clientsOf("south")
	load := func(d time.Duration) {
		end := time.Now().Add(d)
		for time.Now().Before(end) {
			c.send("", "GET", "/lookup/1", "", limit)
			r.sleep(11 * time.Millisecond)
		}
	}
	load(4 * time.Second)
	t.turnAway(wanted, 300*time.Millisecond)
	asked := time.Now()
	load(time.Second)
	if r.trouble {
		r.note("disruption: %s is cut off from the store", t.id)
		load(expires)
		r.store.remove(t.key())
		r.note("store: the entry of %s has expired", t.id)
		load(cutFor - expires)
		r.note("disruption: over")
		t.register("ready")
	} else {
		load(cutFor)
	}
	load(wanted - time.Since(asked) + time.Second)
	answers := c.wait()
	r.note("%d requests, by status %v", len(answers), countStatus(answers))
	entries := make(map[string]string)
	for _, s := range answers {
		entries[s.id] = s.entry
	}
	turned := make(map[string]time.Time) // first answer that asks for nothing, by instance
	reached := make(map[string]int)
	for _, a := range t.seen() {
		from := entries[a.id]
		if a.turnedAway {
			if turned[from].IsZero() {
				turned[from] = a.at
			}
			continue
		}
		if first := turned[from]; !first.IsZero() && a.at.After(first.Add(500*time.Millisecond)) && a.at.Before(first.Add(wanted)) {
			reached[from]++
			r.note("BROKEN: %s from %s reached %s %.1f s after it had asked %s for nothing for %v", a.id, from, t.id, a.at.Sub(first).Seconds(), from, wanted)
		}
	}
	r.note("requests that reached %s in that time, by instance: %v; instances turned away: %d", t.id, reached, len(turned))
	if len(turned) == 0 {
		r.failf("no request was turned away")
	}
	for _, n := range reached {
		if n > 2 {
			return true
		}
	}
	return false
}
