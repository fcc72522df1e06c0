package quota

import "time"

// reserveHorizon is the time for which a holder keeps the tokens that its own
// callers are expected to need.
const reserveHorizon = 250 * time.Millisecond

// Lend returns the tokens that this instance can spare for another one that asks
// for them, and deducts them. It gives less than was asked for only if that is at
// least one token, because parts of tokens at several instances admit nobody. limit
// and version are those of the configuration in effect here; a request of another
// version gets no answer.
func (l *Limiter) Lend(r Request, limit Limit, version uint64, now time.Duration) (Transfer, bool) {
	// The comparison is false for a value that is not a number.
	if r.Version != version || limit.Rate <= 0 || !(r.Tokens > 0) {
		return Transfer{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(r.Account, limit, version, now)
	if b.version != version {
		return Transfer{}, false
	}
	b.lastUse = now
	reserve := max(0, b.demand.value(now)*reserveHorizon.Seconds())
	t := Transfer{Account: r.Account, Version: version, Number: r.Number, TTLMS: uint32(tokenTTL.Milliseconds())}
	if spare := b.tokens - reserve; spare >= min(r.Tokens, 1) {
		t.Tokens = min(r.Tokens, spare)
		b.tokens -= t.Tokens
		b.lent = append(b.lent, grant{t.Tokens, now + tokenTTL})
		b.lentTotal += t.Tokens
	}
	return t, true
}
