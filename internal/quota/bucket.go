package quota

import (
	"math"
	"slices"
	"time"
)

// grant is a number of tokens that were transferred and lapse.
type grant struct {
	tokens float64
	lapses time.Duration
}

// bucket holds the tokens of one account at this instance.
//
// The tokens in it, those taken by requests that have not been sent and those
// lent to others whose transfers have not lapsed never exceed its capacity, apart
// from the allowance for lending. The sum over the fleet in a window is thus at
// most the capacity of all buckets plus what they gain in the window.
type bucket struct {
	account string
	limit   Limit
	version uint64
	view    uint64 // number of the view that share is from
	run     uint64 // number of the run that tokens are from

	share   float64 // of the account's tokens, 0 if this instance is no holder
	tokens  float64
	held    float64 // taken by requests that have not been sent yet
	updated time.Duration

	lent      []grant // in the order in which they lapse
	lentTotal float64

	borrowed []grant // in the order in which they lapse, at most maxBorrowed

	demand   movingRate // requests that ask for a token
	admitted movingRate // requests that got one
	lastUse  time.Duration
	nextSlot time.Duration // when the caller that is sent away next should return
	asking   asking
}

// capacity returns the number of tokens that the bucket may hold now.
func (b *bucket) capacity(c *Config) float64 {
	lentBeyond := max(0, b.lentTotal-c.lendAllowance(b.limit)*b.share)
	return max(0, c.capacity(b.limit)*b.share-b.held-lentBeyond)
}

// refill adds the tokens gained until now.
func (b *bucket) refill(c *Config, now time.Duration) {
	n := 0
	for n < len(b.lent) && b.lent[n].lapses <= now {
		// The capacity that was lent returns only when the transfer lapses.
		b.gain(c, b.lent[n].lapses)
		b.lentTotal -= b.lent[n].tokens
		n++
	}
	if n > 0 {
		b.lent = append(b.lent[:0], b.lent[n:]...)
		if len(b.lent) == 0 {
			b.lentTotal = 0 // drops rounding errors
		}
	}
	b.gain(c, now)
	n = 0
	for n < len(b.borrowed) && b.borrowed[n].lapses <= now {
		n++
	}
	b.dropBorrowed(n)
}

// dropBorrowed removes the first n grants.
func (b *bucket) dropBorrowed(n int) {
	if n > 0 {
		b.borrowed = append(b.borrowed[:0], b.borrowed[n:]...)
	}
}

func (b *bucket) gain(c *Config, now time.Duration) {
	if now <= b.updated {
		return
	}
	if limit := b.capacity(c); b.tokens < limit {
		b.tokens = min(limit, b.tokens+b.limit.Rate*b.share*(now-b.updated).Seconds())
	}
	b.updated = now
}

// available returns the number of tokens. The bucket was refilled.
func (b *bucket) available() float64 {
	sum := b.tokens
	for i := range b.borrowed {
		sum += b.borrowed[i].tokens
	}
	return sum
}

// roundingTolerance lets a bucket whose tokens add up to one with rounding errors
// admit a request.
const roundingTolerance = 1e-9

// take removes amount from the bucket, transferred tokens first.
func (b *bucket) take(amount float64) (Token, bool) {
	if b.available() < amount-roundingTolerance {
		return Token{}, false
	}
	t := Token{lapses: math.MaxInt64, run: b.run}
	used := 0
	for used < len(b.borrowed) && t.lent < amount {
		g := &b.borrowed[used]
		x := min(g.tokens, amount-t.lent)
		t.lent += x
		t.lapses = min(t.lapses, g.lapses)
		if g.tokens -= x; g.tokens > roundingTolerance {
			break
		}
		used++
	}
	b.dropBorrowed(used)
	t.own = max(0, min(amount-t.lent, b.tokens))
	b.tokens -= t.own
	b.held += t.own
	return t, true
}

// giveBack returns the parts of a token that have not lapsed.
func (b *bucket) giveBack(c *Config, t Token, now time.Duration) {
	if t.run != b.run {
		return
	}
	b.held = max(0, b.held-t.own)
	b.tokens = min(b.tokens+t.own, max(b.tokens, b.capacity(c)))
	if t.lent > 0 && t.lapses > now {
		b.addBorrowed(grant{t.lent, t.lapses})
	}
}

// maxBorrowed bounds the transfers of an account that are told apart.
const maxBorrowed = 8

// addBorrowed adds transferred tokens. If there is no room, they lapse together
// with those that lapse last before them, or the first ones with them.
func (b *bucket) addBorrowed(g grant) {
	i := len(b.borrowed)
	for i > 0 && b.borrowed[i-1].lapses > g.lapses {
		i--
	}
	switch {
	case i > 0 && (b.borrowed[i-1].lapses == g.lapses || len(b.borrowed) == maxBorrowed):
		b.borrowed[i-1].tokens += g.tokens
	case len(b.borrowed) == maxBorrowed:
		b.borrowed[0].tokens += g.tokens
		b.borrowed[0].lapses = g.lapses
	default:
		b.borrowed = slices.Insert(b.borrowed, i, g)
	}
}

// setShare changes the share at the given time. A new holder starts with a part
// of its share of the burst: the previous one may have used its tokens a moment
// ago.
func (b *bucket) setShare(c *Config, share float64) {
	gained := b.share == 0 && share > 0
	b.share = share
	if gained {
		b.tokens = c.start(b.limit) * share
	}
	b.tokens = min(b.tokens, b.capacity(c))
}

// idle reports whether the bucket holds nothing that differs from a new one.
func (b *bucket) idle(c *Config) bool {
	return len(b.lent) == 0 && b.held == 0 && len(b.borrowed) == 0 && b.tokens >= b.capacity(c)-roundingTolerance
}

// movingRate estimates the rate of events, weighted by an exponential window.
type movingRate struct {
	perSecond float64
	at        time.Duration
}

// rateWindow is the time constant of moving rates. It is short enough to follow a
// demand that moves within 2 s, and averages over some requests of an account of
// a few requests per second.
const rateWindow = time.Second

func (m *movingRate) add(now time.Duration) {
	m.perSecond = m.value(now) + 1/rateWindow.Seconds()
	m.at = max(m.at, now)
}

func (m *movingRate) value(now time.Duration) float64 {
	if now <= m.at {
		return m.perSecond
	}
	return m.perSecond * math.Exp(-(now-m.at).Seconds()/rateWindow.Seconds())
}
