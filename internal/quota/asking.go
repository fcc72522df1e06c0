package quota

import (
	"math"
	"time"
)

// asking is the state of the requests for tokens of one account. A round starts
// at most every interval. It asks some holders, and others if these don't have
// enough, maxAsks in total.
type asking struct {
	listed   bool // in Limiter.short
	waiting  int  // requests that lack a token
	lastNeed time.Duration

	interval   time.Duration
	roundStart time.Duration
	started    bool // a round was started
	stage      int  // number of times that holders were asked in the round
	asks       int  // requests sent in the round
	mayAsk     int  // requests that the round may send
	stageAt    time.Duration
	got        float64 // tokens received in the round
	open       int     // requests of the last stage without an answer

	offset  int   // of the holder that is asked next
	pending []ask // latest requests, at most maxPending
	next    int   // in pending
}

// ask is a request for tokens that may be answered.
type ask struct {
	number  uint64
	at      time.Duration
	tokens  float64 // asked of the holder
	expects bool    // no transfer has arrived yet
}

func (a *asking) endWait() { a.waiting = max(0, a.waiting-1) }

// maxPending is the number of requests of an account that may be answered. It
// covers a round and the late answers to the one before.
const maxPending = maxAsks + 4

// askHorizon is the time for which tokens are requested in advance: until the
// tokens of the next round arrive.
const askHorizon = 250 * time.Millisecond

// list marks an account as lacking tokens.
func (l *Limiter) list(b *bucket) {
	if !b.asking.listed {
		b.asking.listed = true
		l.short = append(l.short, b)
	}
}

// minAheadTokens is the smallest expected shortage for which tokens are requested
// before a request lacks one. An account with few requests would let most of them
// lapse.
const minAheadTokens = 1

// askAhead lists an account whose demand will soon exceed the tokens here.
func (l *Limiter) askAhead(b *bucket, now time.Duration) {
	if shortage := b.expectedShortage(now); shortage >= minAheadTokens {
		l.list(b)
	}
}

// expectedShortage returns the number of tokens that will be lacking within
// askHorizon.
func (b *bucket) expectedShortage(now time.Duration) float64 {
	return (b.demand.value(now)-b.limit.Rate*b.share)*askHorizon.Seconds() - b.available()
}

// lacking returns the number of tokens that should be requested now.
func (b *bucket) lacking(now time.Duration) float64 {
	waiting, available := float64(b.asking.waiting), b.available()
	lacking := waiting - available
	if ahead := b.expectedShortage(now); ahead >= minAheadTokens {
		// A part of a token admits nobody before it lapses.
		lacking = max(lacking, math.Floor(ahead+waiting+available)-available)
	}
	// More than the account's tokens for the next round is never useful.
	return min(lacking, 1+b.limit.Rate*askHorizon.Seconds())
}

// wait returns the time within which a token may become available for a request
// that lacks one.
func (l *Limiter) wait(b *bucket, now time.Duration) time.Duration {
	if pace := b.limit.Rate * b.share; pace > 0 {
		if own := seconds((float64(max(1, b.asking.waiting)) - b.available()) / pace); own <= MaxWait {
			return max(own, time.Millisecond)
		}
	}
	if l.hasOtherHolders(b) && b.asking.mayBring(now) {
		return MaxWait
	}
	return 0
}

func (l *Limiter) hasOtherHolders(b *bucket) bool {
	k := l.cfg.holders(b.limit, l.ring.n)
	return l.ring.n > 0 && (k > 1 || b.share == 0)
}

// mayBring reports whether holders are asked soon or were asked a moment ago.
func (a *asking) mayBring(now time.Duration) bool {
	if !a.started || now >= a.roundStart+a.interval-stageDelay {
		return true
	}
	return a.asks < a.mayAsk || now < a.stageAt+stageDelay
}

// Requests returns the requests for tokens to send now. It is called whenever a
// request lacks a token, and at least every 50 ms.
func (l *Limiter) Requests(now time.Duration) []Outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkPause(now)
	l.lastCheck = max(l.lastCheck, now)
	var out []Outgoing
	kept := l.short[:0]
	for _, b := range l.short {
		l.sync(b, now)
		out = l.askFor(out, b, now)
		if b.asking.listed {
			kept = append(kept, b)
		}
	}
	clear(l.short[len(kept):])
	l.short = kept
	return out
}

// listedFor is how long an account stays listed after its last shortage.
const listedFor = askInterval

// askFor appends the requests of one account.
func (l *Limiter) askFor(out []Outgoing, b *bucket, now time.Duration) []Outgoing {
	a := &b.asking
	lacking := b.lacking(now)
	if lacking <= roundingTolerance {
		if now-a.lastNeed >= listedFor {
			a.listed = false
		}
		return out
	}
	a.lastNeed = now
	switch {
	case !a.started || now >= a.roundStart+a.interval:
		a.startRound(now)
	case a.asks >= a.mayAsk || a.open > 0 && now < a.stageAt+stageDelay:
		return out
	}
	return l.askHolders(out, b, lacking, now)
}

// startRound starts a round. The interval grows while rounds bring nothing.
func (a *asking) startRound(now time.Duration) {
	if a.started && a.got == 0 && now-a.roundStart < 2*maxAskInterval {
		a.interval, a.mayAsk = min(a.interval*3/2, maxAskInterval), minAsks
	} else {
		a.interval, a.mayAsk = askInterval, maxAsks
	}
	a.started, a.roundStart, a.stage, a.asks, a.got = true, now, 0, 0, 0
}

// overAsk is the ratio of tokens requested to those lacking after the first stage,
// since some holders have none to spare.
const overAsk = 1.5

// askHolders asks holders of this region in the first stage of a round and of
// other regions in the next ones, or the others if there are none.
func (l *Limiter) askHolders(out []Outgoing, b *bucket, lacking float64, now time.Duration) []Outgoing {
	a := &b.asking
	k := l.cfg.holders(b.limit, l.ring.n)
	// A holder can rarely spare more than half of its capacity.
	count := int(math.Ceil(2 * lacking * float64(k) / l.cfg.capacity(b.limit)))
	count = max(1, min(count, maxFanout))
	// A second holder of this region is asked for a single token.
	remote := a.stage > 1 || a.stage == 1 && count > 1
	if remote && count > 1 {
		count = min(2*count, maxFanout)
	}
	count = min(count, a.mayAsk-a.asks)
	l.chosen, a.offset = l.ring.choose(l.chosen[:0], b.account, k, count, a.offset, remote)
	if len(l.chosen) == 0 {
		l.chosen, a.offset = l.ring.choose(l.chosen, b.account, k, count, a.offset, !remote)
	}
	a.stage++
	a.stageAt, a.open = now, len(l.chosen)
	a.asks += max(1, len(l.chosen))
	if len(l.chosen) == 0 {
		return out
	}
	each := lacking / float64(len(l.chosen))
	if a.stage > 1 && len(l.chosen) > 1 {
		each = min(lacking, overAsk*each)
	}
	for i := range l.chosen {
		l.number++
		a.expect(ask{number: l.number, at: now, tokens: each, expects: true})
		out = append(out, Outgoing{To: l.chosen[i].Address, Request: Request{Account: b.account, Version: b.version, Number: l.number, Tokens: each}})
	}
	return out
}

// expect remembers a request, in place of the oldest one.
func (a *asking) expect(p ask) {
	if len(a.pending) < maxPending {
		a.pending = append(a.pending, p)
		return
	}
	a.pending[a.next] = p
	a.next = (a.next + 1) % maxPending
}

// Receive adds transferred tokens and reports whether a request that waits should
// try again or Requests should be called. A transfer that was not requested, was
// received before, has lapsed or is of another version is ignored.
func (l *Limiter) Receive(t Transfer, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[t.Account]
	if b == nil || b.version != t.Version {
		return false
	}
	l.sync(b, now)
	p := b.asking.answered(t.Number)
	if p == nil || p.at < l.runAt {
		return false
	}
	lapses := p.at + min(tokenTTL, time.Duration(t.TTLMS)*time.Millisecond)
	b.asking.open = max(0, b.asking.open-1)
	// The comparisons are false for a value that is not a number.
	if lapses > now && t.Tokens > 0 && t.Tokens <= p.tokens+roundingTolerance {
		b.addBorrowed(grant{t.Tokens, lapses})
		b.asking.got += t.Tokens
	}
	return true
}

// answered marks a request as answered and returns it, nil if it is unknown or was
// answered before.
func (a *asking) answered(number uint64) *ask {
	for i := range a.pending {
		if p := &a.pending[i]; p.expects && p.number == number {
			p.expects = false
			return p
		}
	}
	return nil
}
