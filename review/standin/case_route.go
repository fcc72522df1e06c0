package main

import (
	"fmt"
	"strings"
	"time"
)

// routeCase: another writer replaces the entry of a target by one that lacks fields
// and names another service. The rule is broken if the target runs a request of that
// service.
func routeCase(r *run) bool {
	const limit = 5 * time.Second
	var odd *target
	for n := range 4 {
		for _, service := range []string{"entries", "photos"} {
			t := r.addTarget(target{id: fmt.Sprintf("i-%s-%d", service, n+1), service: service, zone: "south-hobart", slots: 6, queue: 12, work: 200 * time.Millisecond})
			if service == "photos" && n == 0 {
				odd = t
			}
		}
	}
	r.configure(map[string]routeSpec{
		"award": {"/award/", "unsafe", "entries", int(limit.Milliseconds()), 2000, 2},
		"photo": {"/photo/", "upload", "photos", int(limit.Milliseconds()), 2000, 2},
	})
	for _, zone := range []string{"south-hobart", "south-huon"} {
		r.addInstance(zone).start()
	}
	r.awaitReady()
	r.sleep(3 * time.Second)
	c := r.clientsOf("south")
	load := func(d time.Duration) {
		end := time.Now().Add(d)
		for n := 0; time.Now().Before(end); n++ {
			path := "/award/1"
			if n%4 == 0 {
				path = "/photo/1"
			}
			c.send("", "POST", path, "x", limit)
			r.sleep(40 * time.Millisecond)
		}
	}
	load(4 * time.Second)
	if r.trouble {
		entry := fmt.Sprintf(names["partialEntry"], odd.address, odd.born, "entries", odd.zone, odd.slots)
		r.store.put(odd.key(), entry)
		r.note("disruption: another writer puts %s = %s", odd.key(), entry)
	}
	load(8 * time.Second)
	answers := c.wait()
	r.note("%d requests, by status %v", len(answers), countStatus(answers))
	paths := make(map[string]string)
	for _, s := range answers {
		paths[s.id] = s.path
	}
	broken := 0
	for _, t := range r.targets {
		for _, a := range t.seen() {
			allowed := "entries"
			if strings.HasPrefix(paths[a.id], "/photo/") {
				allowed = "photos"
			}
			if a.ran && t.service != allowed {
				broken++
				r.note("BROKEN: %s %s was run by %s of service %s", paths[a.id], a.id, t.id, t.service)
			}
		}
	}
	r.note("%d requests were run by another service than their route's", broken)
	return broken > 0
}
