package main

import (
	"fmt"
	"time"
)

// drainCase: an instance is killed and started again just after a target has said
// that it leaves. The pages of its first read come from replicas of the store, of
// which one is some seconds behind, as reads that may be old allow. The rule is
// broken if requests reach the target from the instance later than drain after the
// store's confirmation, sent once the instance has been in touch again.
func drainCase(r *run) bool {
	const (
		limit        = 5 * time.Second
		drain        = 2 * time.Second
		stableWindow = 3 * time.Second
		behind       = 3 * time.Second // the second replica
		pageItems    = 50
		servesFor    = 14 * time.Second // after it has said that it leaves
	)
	r.store.pageItems = pageItems
	r.store.lag = func(after string) time.Duration {
		if after == "" {
			return 0
		}
		return behind
	}
	var leaving *target
	for _, service := range []string{"entries", "photos", "schedules"} {
		for n := range 24 {
			t := r.addTarget(target{id: fmt.Sprintf("i-%s-%02d", service, n+1), service: service, zone: "south-hobart", slots: 6, queue: 12, work: 300 * time.Millisecond})
			if service == "schedules" && n == 0 {
				leaving = t
			}
		}
	}
	r.configure(map[string]routeSpec{
		"award":  {"/award/", "unsafe", "entries", int(limit.Milliseconds()), 2000, 2},
		"photo":  {"/photo/", "unsafe", "photos", int(limit.Milliseconds()), 2000, 2},
		"lookup": {"/lookup/", "unsafe", "schedules", int(limit.Milliseconds()), 2000, 2},
	})
	for _, zone := range []string{"south-hobart", "south-huon"} {
		r.addInstance(zone).start()
	}
	r.awaitReady()
	r.sleep(4 * time.Second)
	c := r.clientsOf("south")
	load := func(d time.Duration) {
		end := time.Now().Add(d)
		for time.Now().Before(end) {
			c.send("", "POST", "/lookup/1", "x", limit)
			r.sleep(15 * time.Millisecond)
		}
	}
	load(4 * time.Second)
	restarted := r.instances[0]
	confirmed := leaving.register("draining")
	load(500 * time.Millisecond)
	var up time.Time
	if r.trouble {
		restarted.kill()
		load(500 * time.Millisecond)
		restarted.start()
		up = time.Now()
	}
	load(servesFor - time.Since(confirmed))
	r.note("%s exits", leaving.id)
	leaving.close()
	r.store.remove(leaving.key())
	load(2 * time.Second)
	answers := c.wait()
	r.note("%d requests, by status %v", len(answers), countStatus(answers))
	sentBy := make(map[string]sent)
	for _, s := range answers {
		sentBy[s.id] = s
	}
	broken, lost := 0, 0
	for _, a := range leaving.seen() {
		s := sentBy[a.id]
		if a.at.Before(confirmed.Add(drain)) || s.at.Before(up.Add(stableWindow)) {
			continue
		}
		broken++
		if s.status != 200 {
			lost++
		}
		r.note("BROKEN: %s, sent to %s, reached %s %.1f s after it had left; its client was answered %d",
			a.id, s.entry, leaving.id, a.at.Sub(confirmed).Seconds(), s.status)
	}
	r.note("%d requests reached %s later than drain; %d of them were not served", broken, leaving.id, lost)
	return broken > 0
}
