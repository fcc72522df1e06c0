package admission

import (
	"slices"
	"testing"
	"time"
)

// roster is a request with a long objective that has just arrived.
var roster = Request{Arrived: epoch, Objective: 4 * time.Second, Deadline: epoch.Add(12 * time.Second)}

func stateOf(running, urgent float64, ahead int, each time.Duration) State {
	return State{
		Ahead: Ahead{Requests: ahead, Work: time.Duration(ahead) * each, Same: time.Duration(ahead) * each}, Running: running, Urgent: Urgent{Own: urgent, Classes: 1},
		Response: 600 * time.Millisecond, Slow: 750 * time.Millisecond,
	}
}

// Guards against requests that wait although it is known that they would be late,
// and against refusing ones that have the time: a less urgent request with an
// objective of 4 s may wait while urgent ones pass.
func TestDecide(t *testing.T) {
	short := Request{Arrived: epoch, Objective: 1200 * time.Millisecond, Deadline: epoch.Add(5 * time.Second)}
	retry, missed, hopeless := short, short, short
	retry.Retry = true
	missed.Arrived = epoch.Add(-2 * time.Second)
	hopeless.Arrived, hopeless.Deadline = missed.Arrived, epoch.Add(500*time.Millisecond)
	for name, tc := range map[string]struct {
		r       Request
		s       State
		refused Reason
		wait    time.Duration
	}{
		"urgent requests pass":               {roster, stateOf(20, 10, 40, 600*time.Millisecond), None, 3250 * time.Millisecond},
		"too many urgent requests pass":      {roster, stateOf(20, 15, 40, 600*time.Millisecond), TooManyAhead, 0},
		"a minimum share is left":            {roster, stateOf(20, 200, 13, 600*time.Millisecond), None, 3250 * time.Millisecond},
		"not more than it":                   {roster, stateOf(20, 200, 14, 600*time.Millisecond), TooManyAhead, 0},
		"the deadline is nearer":             {Request{Arrived: epoch, Objective: 4 * time.Second, Deadline: epoch.Add(2 * time.Second)}, stateOf(20, 0, 10, 600*time.Millisecond), None, 1250 * time.Millisecond},
		"short objective":                    {short, stateOf(20, 0, 14, 600*time.Millisecond), None, 450 * time.Millisecond},
		"short objective, too many ahead":    {short, stateOf(20, 0, 16, 600*time.Millisecond), TooManyAhead, 0},
		"short work ahead":                   {short, stateOf(20, 0, 16, 96*time.Millisecond), None, 450 * time.Millisecond},
		"nothing ahead":                      {short, stateOf(1, 0, 0, 0), None, 450 * time.Millisecond},
		"a retry waits until its deadline":   {retry, stateOf(20, 0, 100, 600*time.Millisecond), None, 4250 * time.Millisecond},
		"so does a late request":             {missed, stateOf(20, 0, 100, 600*time.Millisecond), None, 4250 * time.Millisecond},
		"no time before the deadline":        {hopeless, stateOf(20, 0, 0, 0), NoTime, 0},
		"no time before the deadline, retry": {Request{Arrived: epoch, Objective: time.Second, Deadline: epoch.Add(700 * time.Millisecond), Retry: true}, stateOf(20, 0, 0, 0), NoTime, 0},
	} {
		got := Decide(tc.r, tc.s, epoch)
		if got.Refused != tc.refused || got.Wait != tc.wait {
			t.Errorf("%s: %+v, want reason %d and %v", name, got, tc.refused, tc.wait)
		}
	}
}

// Guards against waiting for upstreams that have all asked for no requests until it
// is too late, and against ignoring what waits at the upstreams.
func TestDecideKnowsTheUpstreams(t *testing.T) {
	s := stateOf(20, 0, 0, 0)
	s.Earliest = epoch.Add(5 * time.Second)
	if got := Decide(roster, s, epoch); got.Refused != NotYet {
		t.Errorf("all upstreams have asked for none: %+v", got)
	}
	s.Earliest = epoch.Add(time.Second)
	if got := Decide(roster, s, epoch); got.Refused != None {
		t.Errorf("an upstream takes requests in time: %+v", got)
	}
	s = stateOf(20, 0, 1, 600*time.Millisecond)
	s.AtUpstreams = 3300 * time.Millisecond
	if got := Decide(roster, s, epoch); got.Refused != TooManyAhead {
		t.Errorf("requests wait at the upstreams: %+v", got)
	}
}

// Guards against refusing a class all of whose requests are behind many urgent ones:
// it gets its minimum share all the same, and would have no demand otherwise.
func TestMinimumShareShortensTheWait(t *testing.T) {
	s := stateOf(24, 24, 100, 600*time.Millisecond)
	s.Ahead.Same = 5 * 600 * time.Millisecond
	if got := Decide(roster, s, epoch); got.Refused != None || got.Expected != time.Second {
		t.Errorf("%+v, want a wait of 5 requests at an eighth of 24 slots", got)
	}
	if got := s.Position(); got != 5 {
		t.Errorf("position %d", got)
	}
}

// Guards against requests of a large account that wait until they are late, since
// requests of other accounts keep passing them: the account gets what it got before,
// or its part of the slots.
func TestLargeAccountsWaitLonger(t *testing.T) {
	s := stateOf(24, 0, 20, 600*time.Millisecond)
	s.Ahead.Own, s.Ahead.Received, s.Ahead.Accounts = 12*600*time.Millisecond, 3, 12
	if got := Decide(roster, s, epoch); got.Expected != 2400*time.Millisecond {
		t.Errorf("%+v, want 12 requests at 3 slots", got)
	}
	s.Ahead.Received = 1
	if got := Decide(roster, s, epoch); got.Refused != TooManyAhead || got.Expected != 3600*time.Millisecond {
		t.Errorf("%+v, want 12 requests at a twelfth of 24 slots", got)
	}
}

// Guards against a return that is told as if urgent requests took no slots.
func TestInterval(t *testing.T) {
	s := stateOf(20, 10, 0, 0)
	if got := s.Interval(); got != 60*time.Millisecond {
		t.Errorf("a slot each %v", got)
	}
}

// Guards against a demand that is estimated wrongly, that includes less urgent
// classes, and that lasts when there is no more urgent traffic.
func TestDemand(t *testing.T) {
	var d Demand
	urgent, other := Class{Route: 0}, Class{Route: 2}
	now := epoch
	for i := range 2000 { // 100/s of 96 ms, and as many at other instances
		now = epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		d.Add(urgent, "read", 96*time.Millisecond, now)
		d.AddPeer("read", 96*time.Millisecond, now)
		d.Add(other, "roster", 600*time.Millisecond, now)
		d.AddPeer("unknown", time.Second, now)
	}
	u := d.UrgentThan(other, now)
	if u.Own < 9 || u.Own > 10.2 || u.All < 18 || u.All > 20.4 || u.Classes != 1 {
		t.Errorf("demand %+v, want 9.6 and 19.2 slots", u)
	}
	if u := d.UrgentThan(urgent, now); u != (Urgent{}) {
		t.Errorf("demand above the most urgent class %+v", u)
	}
	if u := d.UrgentThan(other, now.Add(demandRecent+1)); u != (Urgent{}) {
		t.Errorf("demand without recent traffic %+v", u)
	}
	if got := d.Classes(now); !slices.Equal(got, []Class{urgent, other}) {
		t.Errorf("classes %v", got)
	}
	if got := d.Classes(now.Add(demandRecent + 1)); len(got) > 0 {
		t.Errorf("classes %v without recent traffic", got)
	}
	d.Prune(now.Add(time.Hour))
	if len(d.classes)+len(d.routes) > 0 {
		t.Errorf("%d classes and %d routes are remembered", len(d.classes), len(d.routes))
	}
}

// Guards against requests of other instances that count for the wrong class: a
// route that accounts of two priorities use.
func TestDemandOfPeersFollowsTheRoute(t *testing.T) {
	var d Demand
	for i := range 400 {
		now := atMS(10 * i)
		k := Class{Account: 0}
		if i%4 > 0 {
			k.Account = 1
		}
		d.Add(k, "r", 0, now)
		d.AddPeer("r", 100*time.Millisecond, now)
	}
	if u := d.UrgentThan(Class{Account: 1}, atMS(4000)); u.All < 1.8 || u.All > 3.2 || u.Own != 0 {
		t.Errorf("demand %+v, want a quarter of 10 slots", u)
	}
}

// Guards against slots kept free for classes whose requests can wait behind less
// urgent ones, which costs those the best upstreams.
func TestRoomIsKeptForBlockedClassesOnly(t *testing.T) {
	var d Demand
	now := atMS(0)
	urgent, patient, slow := Class{Route: 0}, Class{Route: 1}, Class{Route: 2}
	for k, times := range map[Class][2]time.Duration{
		urgent: {500 * time.Millisecond, 32 * time.Millisecond}, patient: {1200 * time.Millisecond, 107 * time.Millisecond},
		slow: {4 * time.Second, 200 * time.Millisecond},
	} {
		d.Add(k, "r", time.Second, now)
		d.SetTimes(k, times[0], times[1])
	}
	if u := d.BlockedBy(slow, now); u.Classes != 1 || u.All != d.UrgentThan(patient, now).All {
		t.Errorf("behind the slow class %+v, want the urgent class alone", u)
	}
	if u := d.BlockedBy(patient, now); u != (Urgent{}) {
		t.Errorf("behind the patient class %+v, want none", u)
	}
	if u := d.BlockedBy(Class{Route: 3}, now); u != (Urgent{}) {
		t.Errorf("behind an unknown class %+v, want none", u)
	}
}
