package quota

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// soleLimiter returns the limiter of a fleet of n instances in one region that has
// run for a minute.
func soleLimiter(n int, self bool) (*Limiter, time.Duration) {
	l := NewLimiter(testConfig, 0)
	var members []Member
	for i := range n {
		members = append(members, Member{ID: fmt.Sprint(i), Address: addressOf(i), Self: self && i == 0})
	}
	l.SetMembers(members, 0)
	now := time.Duration(0)
	for ; now < time.Minute; now += 100 * time.Millisecond {
		l.Requests(now)
	}
	return l, now
}

// Guards against a decision that allocates, for requests that are admitted,
// refused and returned.
func TestDecisionsDontAllocate(t *testing.T) {
	l, now := soleLimiter(3, true)
	limit := Limit{1000, 1000}
	l.Take(account, limit, 1, now)
	if n := testing.AllocsPerRun(2000, func() {
		now += 100 * time.Microsecond
		d := l.Take(account, limit, 1, now)
		switch {
		case !d.Admitted:
			l.Refuse(account, now)
		case now%200_000 == 0:
			l.Return(account, d.Token, now)
		default:
			l.Sent(account, d.Token, now)
		}
	}); n > 0 {
		t.Errorf("%v allocations for a decision", n)
	}
}

// Guards against refused callers that are told to return all at once, or before a
// token is expected.
func TestRefusedCallersReturnOneAfterAnother(t *testing.T) {
	l, now := soleLimiter(1, true)
	limit := Limit{Rate: 2, Burst: 2}
	last := time.Duration(0)
	refused := 0
	for range 30 {
		if d := l.Take(account, limit, 1, now); d.Admitted {
			l.Sent(account, d.Token, now)
			continue
		}
		after := l.Refuse(account, now)
		if refused++; refused == 1 && after < 400*time.Millisecond {
			t.Errorf("first caller returns after %v, a token is expected after 500ms", after)
		}
		if want := last + 490*time.Millisecond; refused > 1 && after < min(want, maxRetryAfter) {
			t.Errorf("caller %d returns after %v, the one before after %v", refused, after, last)
		}
		if after > maxRetryAfter {
			t.Errorf("caller %d returns after %v", refused, after)
		}
		last = after
	}
	if refused != 30-14 {
		t.Errorf("%d of 30 refused, want 16: burst 2 and 12 of the slack are admitted", refused)
	}
}

// Guards against an account without a limit that gets a bucket, and against a
// version that is older than the one in effect.
func TestLimitsOfVersions(t *testing.T) {
	l, now := soleLimiter(1, true)
	if d := l.Take("unlimited", Limit{}, 1, now); !d.Admitted || l.Accounts() != 0 {
		t.Errorf("account without a limit: %+v, %d buckets", d, l.Accounts())
	}
	l.Take(account, Limit{1, 0}, 2, now)
	for range 100 {
		l.Take(account, Limit{1000, 1000}, 1, now) // a request that was matched before the change
	}
	if d := l.Take(account, Limit{1, 0}, 2, now); d.Admitted {
		t.Error("an older version raised the limit")
	}
}

// Guards against tokens that a message without a sound number, of another version
// or of an unlimited account creates or removes.
func TestUnsoundMessagesAreIgnored(t *testing.T) {
	l, now := soleLimiter(2, true)
	limit := Limit{2, 2}
	l.Take(account, limit, 1, now)
	before := l.buckets[account].tokens
	for _, r := range []Request{
		{Account: account, Version: 2, Tokens: 1}, {Account: account, Version: 1, Tokens: math.NaN()},
		{Account: account, Version: 1, Tokens: -5}, {Account: account, Version: 1},
	} {
		if transfer, ok := l.Lend(r, limit, 1, now); ok {
			t.Errorf("%+v answered with %+v", r, transfer)
		}
	}
	if _, ok := l.Lend(Request{Account: "other", Version: 1, Tokens: 1}, Limit{}, 1, now); ok {
		t.Error("tokens of an account without a limit")
	}
	if transfer, ok := l.Lend(Request{Account: account, Version: 1, Tokens: math.Inf(1)}, limit, 1, now); ok && transfer.Tokens > before {
		t.Errorf("lent %v of %v tokens", transfer.Tokens, before)
	}

	l, now = soleLimiter(2, false)
	if d := l.Take(account, limit, 1, now); d.Admitted || d.Wait == 0 {
		t.Fatalf("instance without a share: %+v", d)
	}
	out := l.Requests(now)
	if len(out) == 0 {
		t.Fatal("no request for tokens")
	}
	number := out[0].Request.Number
	for _, tr := range []Transfer{
		{Account: account, Version: 1, Number: number + 100, Tokens: 1, TTLMS: 300}, // not requested
		{Account: account, Version: 2, Number: number, Tokens: 1, TTLMS: 300},
		{Account: account, Version: 1, Number: number, Tokens: math.NaN(), TTLMS: 300},
	} {
		l.Receive(tr, now)
		if d := l.TakeAgain(account, limit, 1, now); d.Admitted {
			t.Errorf("%+v was accepted", tr)
		}
	}
}

// Guards against a transfer that is applied twice or used after it has lapsed.
func TestTransferIsUsedOnceAndInTime(t *testing.T) {
	limit := Limit{2, 2}
	l, now := soleLimiter(2, false)
	l.Take(account, limit, 1, now)
	out := l.Requests(now)
	transfer := Transfer{Account: account, Version: 1, Number: out[0].Request.Number, Tokens: 1, TTLMS: uint32(tokenTTL.Milliseconds())}
	l.Receive(transfer, now)
	l.Receive(transfer, now)
	d := l.TakeAgain(account, limit, 1, now)
	if !d.Admitted || l.TakeAgain(account, limit, 1, now).Admitted {
		t.Error("a transfer of one token doesn't admit one request")
	}
	if l.Sent(account, d.Token, now+tokenTTL) {
		t.Error("a token was used after it had lapsed")
	}
	l.Return(account, d.Token, now+10*time.Millisecond)
	if !l.TakeAgain(account, limit, 1, now+10*time.Millisecond).Admitted {
		t.Error("the returned token is lost")
	}
}

// Guards against a process that uses tokens from before a pause.
func TestPauseDropsTokens(t *testing.T) {
	l, now := soleLimiter(1, true)
	limit := Limit{10, 10}
	held := l.Take(account, limit, 1, now)
	now += time.Hour
	admitted := 0
	for l.Take(account, limit, 1, now).Admitted {
		admitted++
	}
	if want := int(testConfig.start(limit)); admitted != want {
		t.Errorf("%d requests admitted after a pause, want %d", admitted, want)
	}
	if l.Sent(account, held.Token, now) {
		t.Error("a token from before the pause was used")
	}
	// Others may still have its share.
	for _, step := range []struct {
		after    time.Duration
		admitted bool
	}{{900 * time.Millisecond, false}, {1110 * time.Millisecond, true}} {
		l.Requests(now + step.after)
		if d := l.Take(account, limit, 1, now+step.after); d.Admitted != step.admitted {
			t.Errorf("admitted %t %v after the pause", d.Admitted, step.after)
		}
	}
}

// Guards against memory that grows with the number of accounts ever seen, and
// against an account that gains tokens by being forgotten.
func TestIdleAccountsAreForgotten(t *testing.T) {
	l, now := soleLimiter(1, true)
	limit := Limit{10, 10}
	for i := range 1000 {
		l.Take(fmt.Sprint(i), limit, 1, now)
	}
	for range 1000 {
		l.Take("busy", limit, 1, now)
	}
	step := func(d time.Duration) {
		for end := now + d; now < end; now += 100 * time.Millisecond {
			l.Requests(now)
			if d := l.Take("busy", limit, 1, now); d.Admitted {
				l.Sent("busy", d.Token, now)
			} else {
				l.Refuse("busy", now)
			}
			l.Tidy(now)
		}
	}
	step(10 * time.Second)
	if n := l.Accounts(); n != 1001 {
		t.Errorf("%d accounts after 10 s, want 1001", n)
	}
	// The tokens were taken for requests that were neither sent nor returned.
	for i := range 1000 {
		l.Return(fmt.Sprint(i), Token{own: 1}, now)
	}
	step(forgetAfter + time.Second)
	if n := l.Accounts(); n != 1 {
		t.Errorf("%d accounts after they were idle, want 1", n)
	}
}

// Guards against holders that all change when one member joins, which would halve
// the burst of all accounts.
func TestHoldersChangeLittle(t *testing.T) {
	members := func(n, self int) []Member {
		var list []Member
		for i := range n {
			list = append(list, Member{ID: fmt.Sprintf("instance-%d", i), Self: i == self})
		}
		return list
	}
	const n, k, accounts = 40, 5, 500
	changed := 0
	for i := range accounts {
		name := fmt.Sprintf("account-%d", i)
		holders := 0
		for self := range n + 1 {
			after := newRing(members(n+1, self)).holds(name, k)
			if after {
				holders++
			}
			if self < n && newRing(members(n, self)).holds(name, k) != after {
				changed++
			}
		}
		if holders != k {
			t.Fatalf("%d holders, want %d", holders, k)
		}
	}
	if changed > accounts {
		t.Errorf("%d holders replaced at %d accounts", changed, accounts)
	}
}

// Guards against a lender that fills its bucket again while the tokens that it
// lent may still be used.
func TestLentTokensReduceTheBucket(t *testing.T) {
	l := NewLimiter(Config{Window: 5 * time.Second, Slack: 0}, 0)
	l.SetMembers([]Member{{ID: "a", Self: true}}, 0)
	limit := Limit{Rate: 100, Burst: 10}
	now := 100 * time.Millisecond
	l.Requests(now)
	if transfer, ok := l.Lend(Request{Account: account, Version: 1, Tokens: 10}, limit, 1, now); !ok || transfer.Tokens != 10 {
		t.Fatalf("lent %+v", transfer)
	}
	now += tokenTTL - time.Millisecond
	if d := l.Take(account, limit, 1, now); d.Admitted {
		t.Error("a request was admitted before the lent tokens lapsed")
	}
	now += 51 * time.Millisecond
	if d := l.TakeAgain(account, limit, 1, now); !d.Admitted {
		t.Error("the bucket stays empty after the lent tokens have lapsed")
	}
}

// Guards against regions without a holder, which would admit nothing of an account
// while they are cut off, and against instances that disagree about the holders.
func TestHoldersAreSpreadOverRegions(t *testing.T) {
	sizes := map[string]int{"north": 4, "south": 2, "west": 3}
	members := func(self string) []Member {
		var list []Member
		for region, n := range sizes {
			for i := range n {
				id := fmt.Sprint(region, "-", i)
				list = append(list, Member{ID: id, Region: region, Remote: region != self[:len(self)-2], Self: id == self})
			}
		}
		return list
	}
	for i := range 200 {
		name := fmt.Sprint("account-", i)
		for k := 1; k <= 9; k++ {
			total := 0
			for region, n := range sizes {
				holders := 0
				for j := range n {
					if newRing(members(fmt.Sprint(region, "-", j))).holds(name, k) {
						holders++
					}
				}
				total += holders
				if share := float64(k) * float64(n) / 9; math.Abs(float64(holders)-share) >= 1 {
					t.Errorf("%d of %d holders in %s, which has %d of 9 instances", holders, k, region, n)
				}
			}
			if total != k {
				t.Fatalf("%d holders, want %d", total, k)
			}
			var chosen []Member
			r := newRing(members("north-0"))
			chosen, _ = r.choose(chosen, name, k, 9, 0, false)
			chosen, _ = r.choose(chosen, name, k, 9, 0, true)
			want := k
			if r.holds(name, k) {
				want--
			}
			if len(chosen) != want {
				t.Fatalf("%d other holders can be asked, want %d", len(chosen), want)
			}
		}
	}
}

// Guards against requests that still wait but are forgotten when another one, whose
// token has lapsed, is refused.
func TestRefusalEndsOneWaitOnly(t *testing.T) {
	limit := Limit{2, 2}
	l, now := soleLimiter(2, false)
	l.Take(account, limit, 1, now)
	number := l.Requests(now)[0].Request.Number
	l.Receive(Transfer{Account: account, Version: 1, Number: number, Tokens: 1, TTLMS: 300}, now)
	d := l.TakeAgain(account, limit, 1, now)
	now += tokenTTL
	l.Take(account, limit, 1, now) // waits
	if l.Sent(account, d.Token, now) {
		t.Fatal("a token was used after it had lapsed")
	}
	l.Refuse(account, now)
	if n := l.buckets[account].asking.waiting; n != 1 {
		t.Errorf("%d requests wait, want 1", n)
	}
}
