package entry

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"knapweedreel/internal/account"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/quota"
)

// Quota configures the limits of client accounts over the whole fleet. All fields
// are required.
type Quota struct {
	Limiter quota.Config
	// Members returns the instances that share the tokens. The slice is replaced
	// when they change.
	Members func() *[]quota.Member
	// Send sends requests for tokens and transfers to an instance. It must not block.
	Send func(to netip.AddrPort, requests []quota.Request, transfers []quota.Transfer)
}

const (
	// maxQuotaWaiters bounds the requests of an account that wait for a transfer.
	// More than this cannot get a token within quota.MaxWait in most accounts.
	maxQuotaWaiters = 64
	// quotaInterval is the time between checks for tokens that are lacking or lapse,
	// and quotaLackingInterval the one while an account lacks tokens.
	quotaInterval        = 200 * time.Millisecond
	quotaLackingInterval = 10 * time.Millisecond
	// quotaBatchTime is the time for which requests of several accounts are
	// collected into a datagram.
	quotaBatchTime = time.Millisecond
	// quotaTidyInterval is the time between removals of idle accounts.
	quotaTidyInterval = 10 * time.Second
)

// quotaGate takes the tokens of requests and exchanges tokens with other instances.
type quotaGate struct {
	s       *Server
	cfg     *Quota
	limiter *quota.Limiter
	metrics *quotaMetrics
	wake    chan struct{} // buffered, size 1
	members *[]quota.Member

	mu      sync.Mutex
	waiting map[string][]chan struct{} // by account; each is buffered, size 1
}

// newQuotaGate returns nil if the configuration has no quotas.
func newQuotaGate(s *Server, cfg *Quota) *quotaGate {
	if cfg == nil {
		return nil
	}
	return &quotaGate{
		s: s, cfg: cfg, limiter: quota.NewLimiter(cfg.Limiter, bootTime()), metrics: newQuotaMetrics(s.cfg.Scope),
		wake: make(chan struct{}, 1), waiting: make(map[string][]chan struct{}),
	}
}

// bootTime returns the time since the start of the machine, which includes the time
// for which it was suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // no Linux version of the last decade lacks the clock
	}
	return time.Duration(t.Nano())
}

// run exchanges tokens until ctx is canceled.
func (g *quotaGate) run(ctx context.Context) {
	next := time.NewTimer(0)
	defer next.Stop()
	tidied := bootTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-next.C:
		}
		now := bootTime()
		if m := g.cfg.Members(); m != g.members {
			g.members = m
			g.limiter.SetMembers(*m, now)
			g.s.log.Info("quota_members", zap.Int("members", len(*m)))
		}
		g.metrics.list(g.s.control.Snapshot().Accounts)
		g.sendRequests(g.limiter.Requests(now))
		if now-tidied >= quotaTidyInterval {
			tidied = now
			g.limiter.Tidy(now)
			g.metrics.accounts.Update(float64(g.limiter.Accounts()))
		}
		interval := quotaInterval
		if g.limiter.Lacking() {
			interval = quotaLackingInterval
		}
		next.Reset(interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(quotaBatchTime):
		}
	}
}

// sendRequests sends the requests for each instance together.
func (g *quotaGate) sendRequests(out []quota.Outgoing) {
	slices.SortStableFunc(out, func(a, b quota.Outgoing) int { return a.To.Compare(b.To) })
	for len(out) > 0 {
		n := 1
		for n < len(out) && out[n].To == out[0].To {
			n++
		}
		requests := make([]quota.Request, 0, n)
		for _, o := range out[:n] {
			requests = append(requests, o.Request)
		}
		g.cfg.Send(out[0].To, requests, nil)
		out = out[n:]
	}
}

// ApplyQuota handles a message of another instance about tokens. It does not block.
func (s *Server) ApplyQuota(m evidence.QuotaMessage) {
	accounts := s.control.Snapshot().Accounts
	if s.quota == nil || accounts == nil {
		return
	}
	g, now := s.quota, bootTime()
	received, lent := 0.0, 0.0
	for i := range m.Transfers {
		t := &m.Transfers[i]
		if g.limiter.Receive(*t, now) {
			// A transfer that the limiter accepts has a sound number.
			received += t.Tokens
			g.notify(t.Account)
		}
	}
	var transfers []quota.Transfer
	for i := range m.Requests {
		a, ok := accounts.Get(m.Requests[i].Account)
		if !ok {
			continue
		}
		if t, ok := g.limiter.Lend(m.Requests[i], limitOf(a), accounts.Version(), now); ok {
			lent += t.Tokens
			transfers = append(transfers, t)
		}
	}
	g.metrics.tokensReceived.Inc(int64(math.Round(received)))
	g.metrics.tokensLent.Inc(int64(math.Round(lent)))
	if len(transfers) == 0 {
		return
	}
	to, err := netip.ParseAddrPort(m.ReplyTo)
	if err != nil {
		s.log.Warn("quota_address_invalid", zap.Uint64("incarnation", m.Incarnation), zap.Error(err))
		return
	}
	g.cfg.Send(to, nil, transfers)
}

func limitOf(a *account.Account) quota.Limit { return quota.Limit{Rate: a.Rate, Burst: a.Burst} }

// notify lets the waiting requests of an account and the exchange of tokens try
// again.
func (g *quotaGate) notify(name string) {
	g.mu.Lock()
	for _, c := range g.waiting[name] {
		signal(c)
	}
	g.mu.Unlock()
	signal(g.wake)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // signaled before
	}
}

// take takes a token, waiting for a transfer for a short time. It returns false
// and the time after which the caller should return if there is none, or 0 if ctx
// is done.
func (g *quotaGate) take(ctx context.Context, name string, limit quota.Limit, version uint64) (quota.Token, time.Duration, bool) {
	d := g.limiter.Take(name, limit, version, bootTime())
	d = g.wait(ctx, name, limit, version, d)
	if d.Admitted {
		return d.Token, 0, true
	}
	return quota.Token{}, g.refuse(ctx, name), false
}

// refuse returns the time after which the caller should return, 0 if ctx is done.
func (g *quotaGate) refuse(ctx context.Context, name string) time.Duration {
	after := g.limiter.Refuse(name, bootTime())
	if ctx.Err() != nil {
		return 0
	}
	return after
}

// wait tries again when tokens arrive, until quota.MaxWait has passed. It returns
// the decision d itself if waiting is pointless.
func (g *quotaGate) wait(ctx context.Context, name string, limit quota.Limit, version uint64, d quota.Decision) quota.Decision {
	if d.Admitted || d.Wait == 0 {
		return d
	}
	signal(g.wake)
	arrived, ok := g.enqueue(name)
	if !ok {
		return d
	}
	defer g.dequeue(name, arrived)
	g.metrics.waits.Inc(1)
	until := time.Now().Add(quota.MaxWait)
	timer := time.NewTimer(d.Wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return d
		case <-arrived:
		case <-timer.C:
		}
		d = g.limiter.TakeAgain(name, limit, version, bootTime())
		left := time.Until(until)
		if d.Admitted || d.Wait == 0 || left <= 0 {
			return d
		}
		timer.Reset(min(d.Wait, left))
	}
}

func (g *quotaGate) enqueue(name string) (chan struct{}, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting[name]) >= maxQuotaWaiters {
		return nil, false
	}
	c := make(chan struct{}, 1)
	g.waiting[name] = append(g.waiting[name], c)
	return c, true
}

func (g *quotaGate) dequeue(name string, c chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.waiting[name]
	if i := slices.Index(w, c); i >= 0 {
		w = slices.Delete(w, i, i+1)
	}
	if len(w) == 0 {
		delete(g.waiting, name)
		return
	}
	g.waiting[name] = w
}

// requestToken is the token of a request.
type requestToken struct {
	state   tokenState
	account string
	limit   quota.Limit
	version uint64
	token   quota.Token
}

type tokenState int

const (
	noToken   tokenState = iota // not taken, not needed or returned
	heldToken                   // taken by a request that waits for a slot
	usedToken                   // of a request that may be sent
)

// takeToken takes the token of a request of an account with a limit. It is called
// once for each time that the request is matched.
func (e *exchange) takeToken() error {
	g := e.s.quota
	if g == nil || e.account == nil || e.account.Rate <= 0 {
		return nil
	}
	t := requestToken{state: heldToken, account: e.account.Name, limit: limitOf(e.account), version: e.credentials.version}
	began := time.Now()
	token, after, ok := g.take(e.ctx, t.account, t.limit, t.version)
	e.explanation.Queued += time.Since(began)
	g.metrics.request(t.account, ok)
	if !ok {
		return e.quotaError(&t, after)
	}
	t.token = token
	e.token = t
	return nil
}

// useToken uses the token up, before the first attempt. If it has lapsed while the
// request waited for a slot, another one is needed: the request waits for it with
// the slot, because the next token would lapse in a long queue, too.
func (e *exchange) useToken() error {
	if e.token.state != heldToken {
		return nil
	}
	g, t := e.s.quota, e.token
	if !g.limiter.Sent(t.account, t.token, bootTime()) {
		e.token = requestToken{}
		d := g.wait(e.ctx, t.account, t.limit, t.version, g.limiter.TakeAgain(t.account, t.limit, t.version, bootTime()))
		if !d.Admitted || !g.limiter.Sent(t.account, d.Token, bootTime()) {
			return e.quotaError(&t, g.refuse(e.ctx, t.account))
		}
		t.token = d.Token
	}
	t.state = usedToken
	e.token = t
	return nil
}

// settleToken gives back the token of a request that was not sent.
func (e *exchange) settleToken() {
	t := e.token
	e.token = requestToken{}
	switch t.state {
	case heldToken:
		e.s.quota.limiter.Return(t.account, t.token, bootTime())
	case usedToken:
		e.mu.Lock()
		defer e.mu.Unlock()
		for i := range e.explanation.Attempts {
			if e.explanation.Attempts[i].BytesSent {
				return
			}
		}
		e.s.quota.limiter.Unsent(t.account, t.token, bootTime())
	}
}

// quotaError returns the error of a request without a token.
func (e *exchange) quotaError(t *requestToken, after time.Duration) error {
	if err := e.ctx.Err(); err != nil {
		return errkind.Wrap(errkind.DeadlineBeforeSend, err, "wait for a token of account %s", t.account)
	}
	e.explanation.Limit, e.explanation.LimitVersion = t.limit.Rate, t.version
	return errkind.WithRetryAfter(errkind.New(errkind.QuotaExceeded,
		"account %s is over its limit of %g requests per second, burst %g, in version %d of the configuration",
		t.account, t.limit.Rate, t.limit.Burst, t.version), after)
}

// acquireWithToken takes the token of a request and a slot for its first attempt.
func (e *exchange) acquireWithToken() (choice, error) {
	if err := e.takeToken(); err != nil {
		return choice{}, err
	}
	c, err := e.acquire()
	if err != nil {
		e.settleToken()
		return choice{}, err
	}
	if err := e.useToken(); err != nil {
		e.st.releaseChoice(c, health.Neutral)
		return choice{}, err
	}
	return c, nil
}
