package main

import (
	"fmt"
	"time"
)

// deniedCase: while requests wait for a busy service, a configuration moves their
// route to another service and no longer names the first one. The rule is broken if
// more than 5 + one in 500 of the requests are answered 404, although every
// configuration has their route.
func deniedCase(r *run) bool {
	const (
		limit    = 5 * time.Second
		usual    = 34 // requests a second
		burst    = 1.7
		burstFor = 3 * time.Second
	)
	for n := range 4 {
		for _, service := range []string{"entries", "entries-new"} {
			r.addTarget(target{id: fmt.Sprintf("i-%s-%d", service, n+1), service: service, zone: "south-hobart", slots: 6, queue: 12, work: 500 * time.Millisecond})
		}
	}
	route := routeSpec{"/award/", "unsafe", "entries", int(limit.Milliseconds()), 2000, 2}
	r.configure(map[string]routeSpec{"award": route})
	for _, zone := range []string{"south-hobart", "south-huon"} {
		r.addInstance(zone).start()
	}
	r.awaitReady()
	r.sleep(3 * time.Second)
	c := r.clientsOf("south")
	load := func(perSecond float64, d time.Duration) {
		end := time.Now().Add(d)
		for time.Now().Before(end) {
			c.send("", "POST", "/award/1", "dahlia", limit)
			r.sleep(time.Duration(float64(time.Second) / perSecond))
		}
	}
	load(usual, 8*time.Second)
	r.note("many users come at once")
	load(usual*burst, burstFor)
	if r.trouble {
		route.service = "entries-new"
		r.configure(map[string]routeSpec{"award": route})
	}
	load(usual, 5*time.Second)
	answers := c.wait()
	byStatus := countStatus(answers)
	r.note("%d requests, by status %v", len(answers), byStatus)
	denied := 0
	for _, s := range answers {
		if s.status >= 300 && s.status < 500 && s.status != 408 && s.status != 421 && s.status != 429 && !s.signed {
			denied++
			r.note("BROKEN: %s was answered %d by the instance: %s", s.id, s.status, s.body)
		}
	}
	allowed := 5 + float64(len(answers))/500
	r.note("%d requests denied, %.1f allowed", denied, allowed)
	if byStatus[200] < len(answers)/2 {
		r.failf("only %d of %d requests were served", byStatus[200], len(answers))
	}
	return float64(denied) > allowed
}
