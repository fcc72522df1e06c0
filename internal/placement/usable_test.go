package placement

import "testing"

// Guards against counting the slots of upstreams where requests hang as capacity,
// and against ignoring what waits at the upstreams.
func TestUsableLeavesOutHangingUpstreams(t *testing.T) {
	c := candidates("good", "bad", "excluded")
	c[2].Excluded = true
	tr := NewTracker(DefaultModel())
	times := tr.ResponseTimes("r", medianTime)
	now := serve(tr, "good", 10, 0, Succeeded)
	serve(tr, "bad", 4, now-1600, Failed)
	for range 3 {
		tr.Start("good", times, atMS(now))
		tr.Start("bad", times, atMS(now))
	}
	u := tr.Usable(c, atMS(now))
	if u.Slots < 6 || u.Slots > 8.5 || u.Running < 2.8 || u.Running > 4.3 || u.Waiting != 0 {
		t.Errorf("%+v with 6 slots and 3 requests at a healthy upstream", u)
	}
	tr.SetLoad("good", 11, atMS(now))
	if u := tr.Usable(c, atMS(now)); u.Waiting < 4.5 || u.Waiting > 5 {
		t.Errorf("%+v with 11 requests for 6 slots", u)
	}
}
