package entry

import (
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"knapweedreel/internal/account"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/quota"
)

// limitedAccounts returns a set with the account "first" of the given limit.
func limitedAccounts(t testing.TB, version uint64, limit quota.Limit) *account.Set {
	t.Helper()
	s, err := account.NewSet([]account.Definition{
		{Account: account.Account{Name: "first", Rate: limit.Rate, Burst: limit.Burst}, Keys: []account.Key{secretKey}},
		{Account: account.Account{Name: "second"}, Keys: []account.Key{"other"}},
	}, version)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// quotaFleet joins the limiters of servers without a network.
type quotaFleet struct {
	mu      sync.Mutex
	servers map[netip.AddrPort]*Server
	sent    atomic.Int64
}

func (f *quotaFleet) address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(i))
}

// start starts the instance with the given number; serving lists those that share
// the tokens.
func (f *quotaFleet) start(t *testing.T, c Control, self int, change func(*Config), serving ...int) (*Server, string) {
	members := new([]quota.Member)
	for _, i := range serving {
		*members = append(*members, quota.Member{ID: fmt.Sprint(i), Address: f.address(i), Self: i == self})
	}
	s, url := startServer(t, c, func(cfg *Config) {
		withAccounts(cfg)
		cfg.Quota = &Quota{
			Limiter: quota.Config{Window: 5 * time.Second, Overage: 0.1, Slack: 20, Seed: uint64(self) << 32},
			Members: func() *[]quota.Member { return members },
			Send: func(to netip.AddrPort, requests []quota.Request, transfers []quota.Transfer) {
				f.sent.Add(1)
				f.mu.Lock()
				peer := f.servers[to]
				f.mu.Unlock()
				if peer != nil {
					go peer.ApplyQuota(evidence.QuotaMessage{ReplyTo: f.address(self).String(), Requests: requests, Transfers: transfers})
				}
			},
		}
		if change != nil {
			change(cfg)
		}
	})
	f.mu.Lock()
	f.servers[f.address(self)] = s
	f.mu.Unlock()
	eventually(t, "members", func() bool { return s.quota.ready() })
	return s, url
}

func newQuotaFleet() *quotaFleet { return &quotaFleet{servers: make(map[netip.AddrPort]*Server)} }

func (g *quotaGate) ready() bool {
	return g.limiter.Members() > 0
}

// get sends a request with a key and returns the response, whose body is closed.
func get(t *testing.T, url, key string, change func(*http.Request)) *http.Response {
	t.Helper()
	req := request(t, http.MethodGet, url, nil)
	req.Header.Set("Authorization", "Bearer "+key)
	if change != nil {
		change(req)
	}
	resp, err := callers.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp
}

// Guards against an account over its limit whose requests reach an upstream, get
// another status, are not told when to return or whose refusal is not explained,
// and against limits of accounts that have none.
func TestRequestsOverTheLimitAreRefused(t *testing.T) {
	var served atomic.Int64
	up := standin(t, "u1", func(http.ResponseWriter, *http.Request) { served.Add(1) })
	core, logs := observer.New(zapcore.InfoLevel)
	fleet := newQuotaFleet()
	limit := quota.Limit{Rate: 0.5, Burst: 2}
	s, url := fleet.start(t, &fakeControl{snap: accountSnapshot(limitedAccounts(t, 9, limit), up)}, 0, func(cfg *Config) { cfg.Log = zap.New(core) }, 0)
	began := time.Now()
	admitted, refused := 0, 0
	last := 0.0
	for i := range 40 {
		resp := get(t, url+"/read/x", secretKey, func(r *http.Request) { r.Header.Set(upstream.HeaderRequestID, fmt.Sprint(i)) })
		if resp.StatusCode == http.StatusOK {
			admitted++
			continue
		}
		refused++
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get(errkind.HeaderError) != string(errkind.QuotaExceeded) ||
			resp.Header.Get(errkind.HeaderRun) != string(errkind.NotRun) || err != nil || after <= 0 || after < last-1 {
			t.Errorf("response %d, %v, the one before was told to return after %v s", resp.StatusCode, resp.Header, last)
		}
		last = after
		x := admin.RequestExplanation{}
		eventually(t, "explanation", func() (ok bool) { // it is recorded after the response
			x, ok = s.ExplainRequest(fmt.Sprint(i))
			return ok
		})
		if x.Limit != 0.5 || x.LimitVersion != 9 || x.Caller != "first" || len(x.Attempts) != 0 {
			t.Errorf("explanation %+v", x)
		}
	}
	most := limit.Burst + 12 + limit.Rate*time.Since(began).Seconds()
	if float64(admitted) > most || admitted == 0 || int(served.Load()) != admitted || refused == 0 {
		t.Errorf("%d admitted of at most %.1f, %d served, %d refused", admitted, most, served.Load(), refused)
	}
	eventually(t, "a line for each refusal", func() bool { return logs.FilterMessage("request_failed").Len() == refused })
	entries := logs.FilterMessage("request_failed").All()
	if f := entries[0].ContextMap(); f["caller"] != "first" || f["limit"] != 0.5 || f["limit_version"] != uint64(9) || f["kind"] != string(errkind.QuotaExceeded) {
		t.Errorf("log line %v", f)
	}
	if resp := get(t, url+"/read/x", "other", nil); resp.StatusCode != http.StatusOK {
		t.Errorf("an account without a limit got %d", resp.StatusCode)
	}
	if n := fleet.sent.Load(); n != 0 {
		t.Errorf("%d messages of an instance alone", n)
	}
}

// Guards against tokens that are lost with requests that were never sent: of an
// upstream that cannot be reached, of a full queue and of a caller that left.
func TestUnsentRequestsUseNoToken(t *testing.T) {
	fleet := newQuotaFleet()
	limit := quota.Limit{Rate: 0.001, Burst: 1}
	unreachable := upstreamAt("u1", "127.0.0.1:1")
	c := &fakeControl{snap: accountSnapshot(limitedAccounts(t, 1, limit), unreachable)}
	_, url := fleet.start(t, c, 0, nil, 0)
	for i := range 12 {
		resp := get(t, url+"/write/x", secretKey, func(r *http.Request) { r.Header.Set(headerDeadline, "150") })
		if resp.StatusCode == http.StatusTooManyRequests {
			t.Fatalf("request %d was refused for its limit", i)
		}
	}
	var served atomic.Int64
	up := standin(t, "u2", func(http.ResponseWriter, *http.Request) { served.Add(1) })
	c.setSnapshot(accountSnapshot(limitedAccounts(t, 1, limit), up))
	for range 40 {
		get(t, url+"/write/x", secretKey, nil)
	}
	// The start gives half of the burst and of the slack's part, at most half of the
	// bound's margin.
	if n := served.Load(); n < 4 || n > 6 {
		t.Errorf("%d requests served after 12 that were not sent", n)
	}
}

// Guards against a request that is refused although another instance has tokens to
// spare, and against tokens that are used at both.
func TestRequestsWaitForTransferredTokens(t *testing.T) {
	var served atomic.Int64
	up := standin(t, "u1", func(http.ResponseWriter, *http.Request) { served.Add(1) })
	fleet := newQuotaFleet()
	limit := quota.Limit{Rate: 0.1, Burst: 1}
	c := &fakeControl{snap: accountSnapshot(limitedAccounts(t, 1, limit), up)}
	_, url := fleet.start(t, c, 1, nil, 0) // serves nobody, holds no tokens
	refusedAlone := get(t, url+"/read/x", secretKey, nil)
	fleet.start(t, c, 0, nil, 0)
	if refusedAlone.StatusCode != http.StatusTooManyRequests {
		t.Fatalf("status %d without a holder", refusedAlone.StatusCode)
	}
	began := time.Now()
	for range 30 {
		get(t, url+"/read/x", secretKey, nil)
	}
	n := served.Load()
	if most := 13 + 0.1*time.Since(began).Seconds(); n == 0 || float64(n) > most {
		t.Errorf("%d requests served with the tokens of another instance", n)
	}
}

// Guards against a request that waits for a token beyond its deadline, or holds one
// after its caller has left.
func TestWaitForTokenEndsAtTheDeadline(t *testing.T) {
	up := standin(t, "u1", func(http.ResponseWriter, *http.Request) {})
	fleet := newQuotaFleet()
	c := &fakeControl{snap: accountSnapshot(limitedAccounts(t, 1, quota.Limit{Rate: 1, Burst: 1}), up)}
	s, url := fleet.start(t, c, 1, nil, 0) // the holder does not answer
	resp := get(t, url+"/read/x", secretKey, func(r *http.Request) { r.Header.Set(headerDeadline, "20") })
	if resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(errkind.HeaderRun) != string(errkind.NotRun) {
		t.Errorf("status %d, %v", resp.StatusCode, resp.Header)
	}
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	if len(s.quota.waiting) != 0 {
		t.Errorf("requests of %d accounts still wait", len(s.quota.waiting))
	}
}

// Guards against messages that crash an instance or lend tokens of accounts that it
// does not know.
func TestUnsoundQuotaMessages(t *testing.T) {
	up := standin(t, "u1", func(http.ResponseWriter, *http.Request) {})
	fleet := newQuotaFleet()
	c := &fakeControl{snap: accountSnapshot(limitedAccounts(t, 1, quota.Limit{Rate: 1, Burst: 1}), up)}
	s, _ := fleet.start(t, c, 0, nil, 0)
	s.ApplyQuota(evidence.QuotaMessage{ReplyTo: "nowhere", Requests: []quota.Request{{Account: "first", Version: 1, Tokens: 1}}})
	s.ApplyQuota(evidence.QuotaMessage{ReplyTo: "10.0.0.1:9", Requests: []quota.Request{{Account: strings.Repeat("x", 300), Version: 1, Tokens: 1}}})
	s.ApplyQuota(evidence.QuotaMessage{ReplyTo: "10.0.0.1:9", Requests: []quota.Request{{Account: "second", Version: 1, Tokens: 1}}})
	if n := fleet.sent.Load(); n != 0 {
		t.Errorf("%d answers", n)
	}
	c.setSnapshot(accountSnapshot(nil, up))
	s.ApplyQuota(evidence.QuotaMessage{ReplyTo: "10.0.0.1:9", Requests: []quota.Request{{Account: "first", Version: 1, Tokens: 1}}})
	(&Server{control: c}).ApplyQuota(evidence.QuotaMessage{})
	if n := fleet.sent.Load(); n != 0 {
		t.Errorf("%d answers without accounts", n)
	}
}
