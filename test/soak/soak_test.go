package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

var (
	seeds   = flag.Uint64("soak.seeds", 2, "number of seeds")
	first   = flag.Uint64("soak.first", 1, "first seed; 0 takes one from the clock")
	seconds = flag.Int("soak.seconds", 8, "time for which faults are played, in seconds")
)

// regressions are seeds that have failed, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{128, "the check of leaving upstreams began 0.2 s after an instance's path to the store was cut; the promise holds from 3 s after it on"},
}

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := program(); err == nil {
		_ = os.Remove(path)
	}
	os.Exit(code)
}

// Guards against any broken promise to callers or upstreams under faults that
// overlap: requests that run twice, that run although they were refused, whose
// answer is not their own or not whole, or that reach an upstream that leaves;
// and against a fleet that does not recover.
func TestSoak(t *testing.T) {
	from := *first
	if from == 0 {
		from = uint64(time.Now().UnixNano())
	}
	for _, r := range regressions {
		t.Run(fmt.Sprintf("regression-%d", r.seed), func(t *testing.T) { soak(t, r.seed) })
	}
	for n := range *seeds {
		t.Run(fmt.Sprint("seed-", from+n), func(t *testing.T) { soak(t, from+n) })
	}
}

func soak(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	for _, i := range w.instances {
		w.eventually("ready at the start: "+i.name, func() bool { return i.isReady() })
	}
	c := &callers{w: w}
	playing, stopFaults := context.WithTimeout(t.Context(), time.Duration(*seconds)*time.Second)
	defer stopFaults()
	calling, stopCallers := context.WithCancel(t.Context())
	called := make(chan struct{})
	go func() {
		defer close(called)
		c.run(calling, seed)
	}()
	w.faults(playing)
	w.note("faults end")
	wait(t.Context(), stableTime)
	w.recover(c)
	w.checkLeaving()
	w.checkConfiguration()
	stopCallers()
	<-called
	w.checkOutcomes(c.outcomes)
}

func (i *instance) isReady() bool {
	resp, err := http.Get("http://" + i.ready + "/knapweedreel/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits until cond holds, and reports what was not seen.
func (w *world) eventually(what string, cond func() bool) {
	w.t.Helper()
	limit := time.After(eventLimit)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-limit:
			w.t.Fatalf("not seen in time: %s", what)
		case <-tick.C:
		}
	}
}

// recoveryShare is the share of requests that are served once all faults are
// over. Answers of which a part is still under way do not count.
const recoveryShare = 0.95

// recover waits until all instances are ready and nearly all requests are served
// again.
func (w *world) recover(c *callers) {
	for _, i := range w.instances {
		i.signal(syscall.SIGCONT)
		w.eventually("ready after the faults: "+i.name, i.isReady)
	}
	w.eventually("nearly all requests are served again", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		since, good, all := time.Now().Add(-2*time.Second), 0, 0
		for n := len(c.outcomes) - 1; n >= 0 && c.outcomes[n].began.After(since); n-- {
			all++
			if c.outcomes[n].served() {
				good++
			}
		}
		return all >= 20 && float64(good) >= recoveryShare*float64(all)
	})
}

// checkPrefix begins the identities of requests that only check the routes.
const checkPrefix = "check-"

// Times of the users' promises, with what a busy test machine may add.
const (
	stableTime = 3 * time.Second // after a fault, before the promises below hold again
	drainTime  = 2 * time.Second
	configTime = 2 * time.Second
	slack      = 500 * time.Millisecond
)

// checkLeaving lets an upstream leave in calm times. It must get nothing later
// than the drain time.
func (w *world) checkLeaving() {
	u := w.active()[0]
	w.replace(u)
	confirmed := time.Now()
	wait(w.t.Context(), drainTime+slack+time.Second)
	if late := u.LastRun().Sub(confirmed); late > drainTime+slack {
		w.t.Errorf("%s ran a request %v after it was confirmed as leaving", u.ID, late)
	}
}

// checkConfiguration changes the routes in calm times. Every instance must
// handle requests by the new ones within the time for configurations.
func (w *world) checkConfiguration() {
	w.mu.Lock()
	w.routes["/added/"] = "lookups"
	w.mu.Unlock()
	w.configure(1)
	confirmed := time.Now()
	for _, i := range w.instances {
		status := 0
		for k := 0; status != http.StatusOK && time.Since(confirmed) < eventLimit; k++ {
			o := send(http.DefaultClient, outcome{id: fmt.Sprintf("%s%s-%d", checkPrefix, i.name, k)}, http.MethodGet, "http://"+i.entry+"/added/x", nil)
			if status = o.status; status == http.StatusNotFound && time.Since(confirmed) > configTime+slack {
				w.t.Errorf("%s does not know a route %v after it was confirmed", i.name, time.Since(confirmed))
				break
			}
			wait(w.t.Context(), 20*time.Millisecond)
		}
	}
}

// checkOutcomes compares what callers saw with what upstreams ran.
func (w *world) checkOutcomes(outcomes []outcome) {
	runs := map[string]int{}
	for _, u := range w.upstreams {
		for id, n := range u.Runs() {
			runs[id] += n
		}
	}
	served, refused := 0, 0
	asked := map[string]bool{}
	for n := range outcomes {
		o := &outcomes[n]
		asked[o.id] = true
		switch {
		case !o.safe && runs[o.id] > 1:
			w.t.Errorf("request %s ran %d times", o.id, runs[o.id])
		case o.promised() && runs[o.id] > 0:
			w.t.Errorf("request %s was answered %d (%s) and ran", o.id, o.status, o.body)
		case o.served() && (!o.genuine() || runs[o.id] == 0):
			w.t.Errorf("request %s ran %d times and got %q, signed %t", o.id, runs[o.id], o.body, o.signed)
		}
		if o.served() {
			served++
		}
		if o.promised() {
			refused++
		}
	}
	for id := range runs {
		if !asked[id] && !strings.HasPrefix(id, checkPrefix) {
			w.t.Errorf("request %q ran, which no caller has sent", id)
		}
	}
	w.t.Logf("%d requests, %d served, %d refused, %d faults", len(outcomes), served, refused, len(w.events))
}
