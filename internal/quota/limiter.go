package quota

import (
	"sync"
	"time"
)

// Limiter decides whether requests of accounts are admitted. It is safe for
// concurrent use.
type Limiter struct {
	cfg Config

	mu      sync.Mutex
	buckets map[string]*bucket // by account
	short   []*bucket          // with asking.listed set
	number  uint64             // of the latest request for tokens
	chosen  []Member           // reused

	ring     *ring
	view     uint64        // number of ring
	viewAt   time.Duration // since when it is in effect
	previous *ring
	prevAt   time.Duration

	run       uint64        // increases when the process was paused
	runAt     time.Duration // start of the run
	gainsAt   time.Duration // since when buckets gain tokens in this run
	lastCheck time.Duration // of a pause
}

// NewLimiter returns a limiter that starts at now without members.
func NewLimiter(cfg Config, now time.Duration) *Limiter {
	empty := newRing(nil)
	return &Limiter{
		cfg: cfg, buckets: make(map[string]*bucket), number: cfg.Seed,
		ring: empty, previous: empty, viewAt: now, prevAt: now, runAt: now, gainsAt: now, lastCheck: now,
	}
}

// SetMembers sets the instances that serve callers. An instance that is not one
// of them admits requests with transferred tokens only.
func (l *Limiter) SetMembers(members []Member, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.previous, l.prevAt = l.ring, l.viewAt
	l.ring, l.viewAt = newRing(members), now
	l.view++
}

// Take takes the token for a request. version is that of the configuration that
// sets the limit.
func (l *Limiter) Take(account string, limit Limit, version uint64, now time.Duration) Decision {
	if limit.Rate <= 0 {
		return Decision{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(account, limit, version, now)
	b.demand.add(now)
	b.lastUse = now
	return l.decide(b, true, now)
}

// TakeAgain is Take for a request that has waited.
func (l *Limiter) TakeAgain(account string, limit Limit, version uint64, now time.Duration) Decision {
	if limit.Rate <= 0 {
		return Decision{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decide(l.bucket(account, limit, version, now), false, now)
}

// decide admits a request of the account or states when it should be tried again.
func (l *Limiter) decide(b *bucket, first bool, now time.Duration) Decision {
	t, ok := b.take(1)
	if ok {
		if !first {
			b.asking.endWait()
		}
		b.admitted.add(now)
		l.askAhead(b, now)
		return Decision{Admitted: true, Token: t}
	}
	if first {
		b.asking.waiting++
	}
	l.list(b)
	return Decision{Wait: l.wait(b, now)}
}

// Refuse ends the wait of a request that Take or TakeAgain did not admit. It
// returns the time after which its caller should return. Each caller that is sent
// away gets a later time than the one before, at the pace at which tokens are
// expected here.
func (l *Limiter) Refuse(account string, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[account]
	if b == nil {
		return minRetryAfter
	}
	l.sync(b, now)
	b.asking.endWait()
	pace := min(b.limit.Rate, max(b.limit.Rate/float64(max(1, l.ring.n)), b.limit.Rate*b.share, b.admitted.value(now)))
	if pace <= 0 {
		return maxRetryAfter
	}
	next := now + seconds(max(0, 1-b.available())/pace)
	b.nextSlot = min(max(b.nextSlot, next), now+maxRetryAfter)
	after := b.nextSlot - now
	b.nextSlot += seconds(1 / pace)
	return max(after, minRetryAfter)
}

// Bounds of the time after which refused callers return.
const (
	// minRetryAfter is the shortest time: a round of requests for tokens.
	minRetryAfter = askInterval
	// maxRetryAfter bounds the queue of callers that were sent away. Callers honor
	// a time only up to a third of what is left of their deadline, at most 12 s.
	maxRetryAfter = 10 * time.Second
)

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

// Sent uses up the token of a request that is about to be sent. It returns false
// if the token has lapsed meanwhile and no other one is available: the request
// must not be sent then. It has to wait and call TakeAgain, or Refuse.
func (l *Limiter) Sent(account string, t Token, now time.Duration) bool {
	if t == (Token{}) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[account]
	if b == nil {
		return true
	}
	l.sync(b, now)
	lapsed := 0.0
	switch {
	case t.run != b.run:
		// Others may have used this instance's share during a pause.
		t.own, lapsed = 0, 1
	case t.lapses <= now:
		lapsed = t.lent
	}
	if lapsed > 0 {
		replacement, ok := b.take(lapsed)
		if !ok {
			b.giveBack(&l.cfg, t, now)
			b.asking.waiting++ // until TakeAgain or Refuse
			return false
		}
		t.own += replacement.own
	}
	b.held = max(0, b.held-t.own)
	return true
}

// Return gives back the token of a request that was not sent.
func (l *Limiter) Return(account string, t Token, now time.Duration) {
	if t == (Token{}) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[account]; b != nil {
		l.sync(b, now)
		b.giveBack(&l.cfg, t, now)
	}
}

// Unsent gives back the token of a request that used it up by Sent, but of which
// nothing was sent.
func (l *Limiter) Unsent(account string, t Token, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[account]
	if b == nil {
		return
	}
	l.sync(b, now)
	if t.run == b.run {
		b.held += t.own
		b.giveBack(&l.cfg, t, now)
	}
}

// Lacking reports whether an account lacks tokens, so that Requests should be
// called soon.
func (l *Limiter) Lacking() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.short) > 0
}

// bucket returns the refilled bucket of an account, creating it if necessary.
func (l *Limiter) bucket(account string, limit Limit, version uint64, now time.Duration) *bucket {
	b := l.buckets[account]
	if b == nil {
		b = l.newBucket(account, limit, version)
		l.buckets[account] = b
	}
	l.sync(b, now)
	if version > b.version {
		b.version = version
		if limit != b.limit {
			b.limit = limit
			b.setShare(&l.cfg, l.shareOf(l.ring, account, limit))
		}
	}
	return b
}

// newBucket returns the bucket of an account that was not used since the view
// before the previous one or was forgotten because it was full.
func (l *Limiter) newBucket(account string, limit Limit, version uint64) *bucket {
	b := &bucket{account: account, limit: limit, version: version, view: l.view, run: l.run, updated: max(l.prevAt, l.gainsAt)}
	b.asking.interval = askInterval
	if b.share = l.shareOf(l.previous, account, limit); b.share == 0 {
		b.share = l.shareOf(l.ring, account, limit)
		b.updated = max(l.viewAt, l.gainsAt)
	}
	b.tokens = l.cfg.start(limit) * b.share
	b.refill(&l.cfg, max(l.viewAt, l.runAt))
	b.setShare(&l.cfg, l.shareOf(l.ring, account, limit))
	return b
}

func (l *Limiter) shareOf(r *ring, account string, limit Limit) float64 {
	k := l.cfg.holders(limit, r.n)
	if !r.holds(account, k) {
		return 0
	}
	return 1 / float64(k)
}

// sync brings a bucket up to date with the time, the members and the run.
func (l *Limiter) sync(b *bucket, now time.Duration) {
	l.checkPause(now)
	if b.run != l.run {
		b.run = l.run
		b.refill(&l.cfg, l.runAt)
		b.borrowed, b.held = nil, 0
		b.tokens = min(b.tokens, l.cfg.start(b.limit)*b.share)
		b.updated = max(b.updated, l.gainsAt)
	}
	if b.view != l.view {
		b.view = l.view
		b.refill(&l.cfg, l.viewAt)
		b.setShare(&l.cfg, l.shareOf(l.ring, b.account, b.limit))
	}
	b.refill(&l.cfg, now)
}

// resumeHold is the time after a pause for which buckets gain no tokens. Others may
// have taken over the share of this instance, and it learns of that by then.
const resumeHold = time.Second

// checkPause starts a new run if Requests was not called for pauseGap: the process
// or the machine was paused, and others may have used its share meanwhile.
func (l *Limiter) checkPause(now time.Duration) {
	if now-l.lastCheck <= pauseGap {
		return
	}
	l.run++
	l.runAt, l.lastCheck, l.gainsAt = now, now, now+resumeHold
}

// Tidy forgets accounts that have not been used for a while and whose bucket is
// full: a new bucket would be the same.
func (l *Limiter) Tidy(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for account, b := range l.buckets {
		if now-b.lastUse < forgetAfter || b.asking.listed || b.asking.waiting > 0 {
			continue
		}
		l.sync(b, now)
		if b.idle(&l.cfg) {
			delete(l.buckets, account)
		}
	}
}

// forgetAfter is the time without use after which a full bucket is forgotten. The
// pace for callers that were sent away is over by then.
const forgetAfter = 2 * maxRetryAfter

// Accounts returns the number of accounts with a bucket.
func (l *Limiter) Accounts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.buckets)
}

// Members returns the number of instances that serve callers.
func (l *Limiter) Members() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ring.n
}
