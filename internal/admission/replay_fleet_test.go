package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of request of a replayed load.
type kind struct {
	name       string
	rate       float64 // per second
	work       time.Duration
	objective  time.Duration
	deadline   time.Duration
	priority   int // of the route
	idempotent bool
	accounts   int                            // that send it, of Zipf-distributed sizes; 0 for one
	factor     func(at time.Duration) float64 // of the rate, nil for 1
	surge      func(account int) float64      // of an account's rate, nil for 1
	class      func(account int) int          // priority of the account, nil for 0

	// Results.
	shares  []float64 // of the accounts
	total   outcomes
	surging outcomes // of the accounts whose rate surges
}

// outcomes counts the requests of clients by their result.
type outcomes struct {
	sent, inTime, late, failed, refused int
	refusals                            int // responses that refuse
	waited                              time.Duration
}

// fleet is a replayed load of instances that share the upstreams of a region.
type fleet struct {
	name                       string
	instances, upstreams, slot int
	kinds                      []*kind
	seconds                    int
	returns                    int // after refusals, of one client request
	// hangs are the upstreams that don't respond between from and to.
	hangs            int
	hangFrom, hangTo time.Duration
	// sheds are the upstreams that refuse all requests in that time.
	sheds int
	// measureFrom and measureTo bound the arrivals that are counted.
	measureFrom, measureTo time.Duration
}

// bound returns the number of requests a second that the slots can serve of the
// load's mix while it is measured, less those that hang or shed all the time.
func (f *fleet) bound() (perSecond, demand float64) {
	healthy := f.upstreams
	if f.hangFrom <= f.measureFrom && f.hangTo >= f.measureTo {
		healthy -= f.hangs + f.sheds
	}
	slots := float64(healthy * f.slot)
	rate, work := 0.0, 0.0
	for _, k := range f.kinds {
		r := k.meanRate(f)
		rate += r
		work += r * k.work.Seconds()
	}
	return slots / work * rate, rate
}

func (k *kind) meanRate(f *fleet) float64 {
	sum, n := 0.0, 0
	for at := f.measureFrom; at < f.measureTo; at += 100 * time.Millisecond {
		sum += k.rateAt(at)
		n++
	}
	return sum / float64(n)
}

func (k *kind) rateAt(at time.Duration) float64 {
	r := 0.0
	for a, share := range k.shares {
		s := share * k.rate
		if k.surge != nil {
			s *= k.surge(a)
		}
		r += s
	}
	if k.factor != nil {
		r *= k.factor(at)
	}
	return r
}

// zipf returns the shares of n accounts whose sizes follow Zipf's law with the
// exponent 1.2.
func zipf(n int) []float64 {
	shares, sum := make([]float64, max(1, n)), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -1.2)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// event is something that happens at a time of the replay.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// replay is a fleet while it is replayed.
type replay struct {
	fleet
	current   bool       // admission as it is; false for the way before this package
	rand      *rand.Rand // of the work
	arrive    *rand.Rand // of the arrivals, which are the same for both ways
	now       time.Duration
	events    events
	seq       int
	instances []*instance
	upstreams []*upstream
	next      int
}

// epoch is the time at which a replay starts.
var epoch = time.Unix(1_000_000, 0)

func (r *replay) time() time.Time { return epoch.Add(r.now) }

func (r *replay) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{r.now + max(0, d), r.seq, do})
}

// run replays the load.
func (f fleet) run(seed uint64, current bool) *replay {
	r := &replay{fleet: f, current: current, rand: rand.New(rand.NewPCG(seed, 1)), arrive: rand.New(rand.NewPCG(seed, 2))}
	for i := range f.upstreams {
		r.upstreams = append(r.upstreams, &upstream{r: r, id: fmt.Sprint("upstream", i), index: i})
	}
	for range f.instances {
		r.instances = append(r.instances, newInstance(r))
	}
	for _, k := range f.kinds {
		k.total, k.surging = outcomes{}, outcomes{}
		k.shares = zipf(k.accounts)
		r.arrivals(k)
	}
	for _, in := range r.instances {
		in.recheck()
	}
	end := time.Duration(f.seconds) * time.Second
	for len(r.events) > 0 && r.events[0].at < end {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r
}

// arrivals schedules the requests of a kind.
func (r *replay) arrivals(k *kind) {
	const step = 50 * time.Millisecond
	var tick func()
	tick = func() {
		for a, share := range k.shares {
			mean := share * k.rate * step.Seconds()
			if k.surge != nil {
				mean *= k.surge(a)
			}
			if k.factor != nil {
				mean *= k.factor(r.now)
			}
			for at := r.arrive.ExpFloat64(); at < mean; at += r.arrive.ExpFloat64() {
				r.after(time.Duration(at/mean*float64(step)), func() { r.client(k, a) })
			}
		}
		r.after(step, tick)
	}
	tick()
}

// clientRequest is a request of a client, which may be sent several times.
type clientRequest struct {
	k       *kind
	account int
	born    time.Duration
	returns int
	counts  []*outcomes
}

func (r *replay) client(k *kind, account int) {
	c := &clientRequest{k: k, account: account, born: r.now}
	if r.now >= r.measureFrom && r.now < r.measureTo {
		c.counts = []*outcomes{&k.total}
		if k.surge != nil && k.surge(account) > 1 {
			c.counts = append(c.counts, &k.surging)
		}
	}
	c.count(func(o *outcomes) { o.sent++ })
	r.submit(c)
}

func (c *clientRequest) count(f func(*outcomes)) {
	for _, o := range c.counts {
		f(o)
	}
}

func (r *replay) submit(c *clientRequest) {
	r.next++
	r.instances[r.next%len(r.instances)].arrive(c)
}

// refuse lets the client return after the delay that it was told, which it honors
// up to a third of the time that it has left.
func (r *replay) refuse(c *clientRequest, delay time.Duration) {
	c.count(func(o *outcomes) { o.refusals++ })
	left := c.born + c.k.deadline - r.now
	if c.returns >= r.returns || left < c.k.work {
		c.count(func(o *outcomes) { o.refused++ })
		return
	}
	c.returns++
	r.after(min(delay, left/3), func() { r.submit(c) })
}

// upstream is an upstream with a queue of up to three requests.
type upstream struct {
	r                *replay
	id               string
	index            int
	running, waiting []*attempt
}

const upstreamQueue = 3

func (u *upstream) disturbed() (hangs, sheds bool) {
	f := &u.r.fleet
	if u.r.now < f.hangFrom || u.r.now >= f.hangTo {
		return false, false
	}
	return u.index < f.hangs, u.index >= f.hangs && u.index < f.hangs+f.sheds
}

func (u *upstream) arrive(a *attempt) {
	_, sheds := u.disturbed()
	switch {
	case sheds || len(u.running) >= u.r.slot && len(u.waiting) >= upstreamQueue:
		u.r.after(time.Millisecond, func() { a.shed() })
	case len(u.running) < u.r.slot:
		u.start(a)
	default:
		u.waiting = append(u.waiting, a)
	}
}

func (u *upstream) start(a *attempt) {
	u.running = append(u.running, a)
	if hangs, _ := u.disturbed(); hangs {
		return
	}
	work := time.Duration((0.5 + u.r.rand.Float64()) * float64(a.p.c.k.work))
	u.r.after(work, func() {
		if u.remove(a) {
			a.respond()
		}
	})
}

// remove removes a request and starts the next one. It reports whether the request
// was still here.
func (u *upstream) remove(a *attempt) bool {
	if i := slices.Index(u.waiting, a); i >= 0 {
		u.waiting = slices.Delete(u.waiting, i, i+1)
		return true
	}
	i := slices.Index(u.running, a)
	if i < 0 {
		return false
	}
	u.running = slices.Delete(u.running, i, i+1)
	if len(u.waiting) > 0 {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.start(next)
	}
	return true
}
