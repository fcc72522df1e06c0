package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// limit is the limit of an account over the whole fleet.
type limit struct{ rate, burst float64 }

// Tolerances of limits, the defaults of the settings.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// most returns the number of requests that a window may have.
func (l limit) most() float64 {
	return (l.rate*quotaWindow.Seconds()+l.burst)*(1+quotaOverage) + quotaSlack
}

// largestWindow returns the largest number of different requests of an account that
// reached upstreams within a window, and the number of all.
func (f *fleet) largestWindow(account string) (largest, all int) {
	first := map[string]time.Time{}
	for _, u := range f.upstreams {
		accounts, _ := u.Accounts()
		for id, at := range u.Arrivals() {
			if old, ok := first[id]; accounts[id] == account && (!ok || at.Before(old)) {
				first[id] = at
			}
		}
	}
	var times []time.Time
	for _, at := range first {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	begin := 0
	for i, at := range times {
		for at.Sub(times[begin]) >= quotaWindow {
			begin++
		}
		largest = max(largest, i-begin+1)
	}
	return largest, len(times)
}

// counts are the numbers of responses with each status.
type counts struct {
	mu       sync.Mutex
	byStatus map[int]int
}

func (c *counts) add(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byStatus[o.status]++
}

func (c *counts) of(status int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byStatus[status]
}

// flood sends about rate requests a second with a key for some time, in turn to
// the given instances. name distinguishes the requests of different calls.
func (f *fleet) flood(name, key string, rate int, d time.Duration, instances ...*instance) *counts {
	const workers = 16
	c := &counts{byStatus: make(map[int]int)}
	ctx, cancel := context.WithTimeout(f.t.Context(), d)
	defer cancel()
	var wg sync.WaitGroup
	for n := range workers {
		wg.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 2}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			for k := 0; ctx.Err() == nil; k++ {
				o := outcome{id: fmt.Sprintf("%s-%d-%d", name, n, k), key: key}
				c.add(send(client, o, http.MethodGet, "http://"+instances[(n+k)%len(instances)].entry+"/read/x", nil))
				wait(ctx, workers*time.Second/time.Duration(rate))
			}
		})
	}
	wg.Wait()
	return c
}

// Guards against an account that gets more than its limit by spreading its
// requests over instances of which one is killed and restarted, against limits that
// refuse requests of others, and against tokens that instances don't transfer to
// the one that needs them.
func TestAccountStaysWithinItsLimit(t *testing.T) {
	f := newFleetWith(t, 13, twoAccounts())
	limited := limit{rate: 20, burst: 20}
	f.limits = map[string]limit{"sese880": limited}
	f.putConfiguration(1)
	for _, i := range f.instances {
		f.eventually("ready after the start: "+i.name, i.isReady)
	}
	first, second := twoAccounts()["sese880"][0], twoAccounts()["sese881"][0]
	client := &accountClient{f: f, client: &http.Client{}, keys: make(map[string]string)}
	defer client.client.CloseIdleConnections()
	client.awaitStatus("a valid key", second, http.StatusOK)

	var spread, free *counts
	var wg sync.WaitGroup
	wg.Go(func() { spread = f.flood("spread", first, 160, 12*time.Second, f.instances...) })
	wg.Go(func() { free = f.flood("free", second, 20, 12*time.Second, f.instances...) })
	wait(t.Context(), 4*time.Second)
	restarted := f.instances[1]
	f.logEvent("%s is killed", restarted.name)
	restarted.signal(syscall.SIGKILL)
	<-restarted.done()
	restarted.start(f)
	wg.Wait()
	largest, all := f.largestWindow("sese880")
	t.Logf("spread: %v, %d of %.0f in a window; other account: %v", spread.byStatus, largest, limited.most(), free.byStatus)
	if float64(largest) > limited.most() {
		t.Errorf("%d requests within %v, at most %.0f allowed", largest, quotaWindow, limited.most())
	}
	if spread.of(http.StatusTooManyRequests) == 0 || all == 0 {
		t.Errorf("responses %v to an account beyond its limit, %d requests reached upstreams", spread.byStatus, all)
	}
	if n := free.of(http.StatusTooManyRequests); n > 0 {
		t.Errorf("%d requests of an account without a limit were refused with 429", n)
	}

	f.eventually("ready after the restart", restarted.isReady)
	target := f.instances[0]
	began := time.Now()
	single := f.flood("single", first, 60, 6*time.Second, target)
	// What the instance has itself: a quarter of the burst, with the part of the
	// tolerance that is added to it, and of the rate.
	own := (limited.burst+0.6*quotaSlack)/instanceCount + limited.rate/instanceCount*time.Since(began).Seconds()
	t.Logf("single: %v, own share %.0f", single.byStatus, own)
	if n := single.of(http.StatusOK); float64(n) <= own {
		t.Errorf("%d requests admitted at one instance, whose own share is %.0f", n, own)
	}
	if largest, _ := f.largestWindow("sese880"); float64(largest) > limited.most() {
		t.Errorf("%d requests within %v, at most %.0f allowed", largest, quotaWindow, limited.most())
	}
}
