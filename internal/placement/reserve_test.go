package placement

import (
	"fmt"
	"testing"
)

// fill sends requests with the given properties until Choose finds no place, and
// returns the number at each upstream.
func fill(tr *Tracker, c []Candidate, h Headroom, ms int) map[string]int {
	times := tr.ResponseTimes("r", medianTime)
	sent := map[string]int{}
	for {
		got, ok := tr.Choose(c, nil, Request{Headroom: h}, atMS(ms))
		if !ok {
			return sent
		}
		sent[c[got.Index].ID]++
		tr.Start(c[got.Index].ID, times, atMS(ms))
	}
}

// sent returns the number of requests at all upstreams.
func sent(by map[string]int) int {
	n := 0
	for _, k := range by {
		n += k
	}
	return n
}

// used returns a tracker whose upstreams have all just served a request.
func used(c []Candidate) (*Tracker, int) {
	tr := NewTracker(DefaultModel())
	now := 0
	for i := range c {
		now = serve(tr, c[i].ID, 1, 0, Succeeded)
	}
	return tr, now
}

func manyCandidates(n, slots int) []Candidate {
	var c []Candidate
	for i := range n {
		c = append(c, Candidate{ID: fmt.Sprint("u", i), Slots: slots, Connections: 64})
	}
	return c
}

// Guards against less urgent requests that take the slots and the places beyond
// them, behind which urgent requests then wait, and against slots that are kept
// free at other upstreams by each instance.
func TestSlotsAreKeptFreeForUrgentRequests(t *testing.T) {
	c := manyCandidates(20, 3)
	var first map[string]int
	for instance := range 3 {
		tr, now := used(c)
		got := fill(tr, c, Headroom{Urgent: true, Slots: 5.2}, now)
		if n := sent(got); n != 60-11 {
			t.Errorf("%d less urgent requests, want 49 of 60 slots", n)
		}
		if instance == 0 {
			first = got
		} else if fmt.Sprint(got) != fmt.Sprint(first) {
			t.Errorf("instances keep different slots free: %v and %v", first, got)
		}
		if n := sent(fill(tr, c, Headroom{}, now)); n != 11+20 {
			t.Errorf("%d urgent requests, want 11 slots and 20 places beyond", n)
		}
	}
}

// Guards against slots that are kept free without urgent traffic, against keeping
// more than the less urgent classes can spare or a large demand needs, and against a
// class that is due for its minimum share and finds nothing free.
func TestKeptSlotsAreBounded(t *testing.T) {
	c := manyCandidates(10, 4)
	for name, tc := range map[string]struct {
		h    Headroom
		want int
	}{
		"no urgent traffic": {Headroom{}, 10 * 5},
		"hardly any":        {Headroom{Urgent: true, Slots: 0.01}, 40 - 1},
		"too much":          {Headroom{Urgent: true, Slots: 1000}, 10},
		"large demand":      {Headroom{Urgent: true, Slots: 16}, 40 - 24},
		"no upstream kept":  {Headroom{Urgent: true}, 40},
		"due":               {Headroom{Urgent: true, Slots: 1000, Due: true}, 10 * 5}, // the slots and one place beyond at each upstream
	} {
		tr, now := used(c)
		if n := sent(fill(tr, c, tc.h, now)); n != tc.want {
			t.Errorf("%s: %d requests, want %d", name, n, tc.want)
		}
	}
	one := manyCandidates(1, 3) // a share rounded up would be all
	tr, now := used(one)
	if n := sent(fill(tr, one, Headroom{Urgent: true, Slots: 1000}, now)); n != 1 {
		t.Errorf("%d requests at the only upstream, want 1", n)
	}
}

// Guards against slots that are kept free at upstreams that are probably faulty,
// where they are of no use.
func TestFaultyUpstreamsAreNotKeptFree(t *testing.T) {
	c := manyCandidates(4, 3)
	tr, now := used(c)
	got := fill(tr, c, Headroom{Urgent: true, Slots: 3}, now)
	if n := sent(got); n != 6 {
		t.Fatalf("%d requests at %v, want 6", n, got)
	}
	kept := ""
	for i := range c {
		if got[c[i].ID] == 0 {
			kept = c[i].ID
		}
	}
	tr, now = used(c)
	now = serve(tr, kept, 4, now, Failed)
	for i := range c {
		if c[i].ID != kept {
			serve(tr, c[i].ID, 1, now-400, Succeeded)
		}
	}
	if n := fill(tr, c, Headroom{Urgent: true, Slots: 3}, now)[kept]; n != 3 {
		t.Errorf("%d less urgent requests at the faulty upstream, want 3", n)
	}
}

// Guards against upstreams that no instance uses, and knows nothing of, because
// their slots are kept free for urgent requests that are few.
func TestKeptUpstreamsGetARequestWhenStale(t *testing.T) {
	c := manyCandidates(4, 3)
	tr, now := used(c)
	h := Headroom{Urgent: true, Slots: 3}
	times := tr.ResponseTimes("r", medianTime)
	used := map[string]int{}
	var running []string // upstreams of the latest requests, which take 150 ms
	var attempts []*Attempt
	for i := range 100 {
		at := atMS(now + 50*i)
		if len(running) == 3 {
			tr.End(running[0], attempts[0], Succeeded, at)
			running, attempts = running[1:], attempts[1:]
		}
		got, ok := tr.Choose(c, nil, Request{Headroom: h}, at)
		if !ok {
			t.Fatal("no upstream")
		}
		id := c[got.Index].ID
		used[id]++
		running, attempts = append(running, id), append(attempts, tr.Start(id, times, at))
	}
	if len(used) != 4 {
		t.Errorf("used %v", used)
	}
	few := 0
	for _, n := range used {
		if n <= 4 {
			few++
		}
	}
	if few != 2 {
		t.Errorf("two upstreams are kept free but for requests after 1.7 s: used %v", used)
	}
}
