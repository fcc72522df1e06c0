package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"knapweedreel/internal/account"
	"knapweedreel/internal/admission"
	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/routing"
)

// headerAccount names the account in requests to the upstreams of these tests.
const headerAccount = "Account-Name"

// secretKey is the key that must appear nowhere.
const secretKey = "5rjvz48wuakn2ftimaj3"

// testAccounts returns a set with the account "first", which has the given keys
// and the priority 1, and the account "second" with the key "other".
func testAccounts(t testing.TB, version uint64, keys ...account.Key) *account.Set {
	t.Helper()
	priority := 1
	s, err := account.NewSet([]account.Definition{
		{Account: account.Account{Name: "first", Priority: &priority}, Keys: keys},
		{Account: account.Account{Name: "second"}, Keys: []account.Key{"other"}},
	}, version)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// accountSnapshot returns a snapshot with the routes /read/, which is idempotent,
// /write/, and /open/, which is public, all of the host and service "svc".
func accountSnapshot(accounts *account.Set, ups ...routing.Upstream) *routing.Snapshot {
	snap := tableSnapshot(nil, map[string][]routing.Upstream{"svc": ups})
	snap.Accounts = accounts
	retries, wait := 1, int(waitTimeout.Milliseconds())
	var routes []*routing.Route
	for _, name := range []string{"read", "write", "open"} {
		objective := wait
		if name == "read" {
			objective = 2_000 // bounds the time after which a response is late
		}
		routes = append(routes, &routing.Route{
			Name: name, Host: "svc", Public: name == "open", Split: routing.NewSplit([]routing.WeightedService{{Service: "svc", Weight: 1}}),
			Rule: document.Route{
				Method: "*", Path: "/" + name + "/*", Idempotent: name == "read", Priority: 2,
				DeadlineMS: wait, ObjectiveMS: objective, MaxBodyBytes: 64 << 20, Retries: &retries,
			},
		})
	}
	snap.Table = routing.NewTable(routes)
	return snap
}

func withAccounts(cfg *Config) {
	cfg.Upstreams.Protocol = upstream.DefaultProtocol()
	cfg.Upstreams.Protocol.Account = headerAccount
	cfg.Placement = &Placement{Model: placement.DefaultModel(), RetryShare: 1, RetryReserve: 10, RemoteCost: 0.1}
}

// Guards against requests without a valid key that reach an upstream, get another
// status or are invited to come back, and against keys that are refused although
// they are valid.
func TestRequestsNeedAKey(t *testing.T) {
	const valid = "Authorization: Bearer " + secretKey + "\r\n"
	for _, tc := range []struct {
		name, headers string
		holder        string // account named to the upstream, or "401"
		open          string // the same for the public route
	}{
		{"a valid key", valid, "first", "first"},
		{"another account", "Authorization: Bearer other\r\n", "second", "second"},
		{"other spellings of header and scheme", "aUTHORIZATION: bEARER  " + secretKey + " \r\n", "first", "first"},
		{"no key", "", "401", ""},
		{"an empty header", "Authorization:\r\n", "401", ""},
		{"an empty key", "Authorization: Bearer \r\n", "401", ""},
		{"an unknown key", "Authorization: Bearer unknown\r\n", "401", ""},
		{"a key in other letters", "Authorization: Bearer " + strings.ToUpper(secretKey) + "\r\n", "401", ""},
		{"another scheme", "Authorization: Basic " + secretKey + "\r\n", "401", ""},
		{"no scheme", "Authorization: " + secretKey + "\r\n", "401", ""},
		{"two headers", valid + valid, "401", ""},
		{"two headers, one empty", valid + "Authorization:\r\n", "401", ""},
		{"two keys in one header", "Authorization: Bearer " + secretKey + ", Bearer other\r\n", "401", ""},
		{"a tab before the key", "Authorization: Bearer\t" + secretKey + "\r\n", "401", ""},
		{"a key in another header", "Proxy-Authorization: Bearer " + secretKey + "\r\n", "401", ""},
		{"the name of an account", headerAccount + ": first\r\nKnapweedreel-Caller: first\r\n", "401", ""},
	} {
		for path, want := range map[string]string{"/write/x": tc.holder, "/open/x": tc.open} {
			t.Run(tc.name+path, func(t *testing.T) {
				reached := "401"
				up := standin(t, "u1", func(w http.ResponseWriter, r *http.Request) { reached = strings.Join(r.Header[headerAccount], ",") })
				s, url := startServer(t, &fakeControl{snap: accountSnapshot(testAccounts(t, 7, secretKey), up)}, withAccounts)
				data, err := roundTripRaw(t, url, "GET "+path+" HTTP/1.1\r\nHost: svc\r\nConnection: close\r\nKnapweedreel-Request-Id: id\r\n"+tc.headers+"\r\n")
				if err != nil {
					t.Fatal(err)
				}
				resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(data)), nil)
				if err != nil {
					t.Fatal(err)
				}
				x, _ := s.ExplainRequest("id")
				if reached != want {
					t.Errorf("holder %q, want %q", reached, want)
				}
				caller := want
				if want == "401" || want == "" {
					caller = "127.0.0.1"
				}
				if x.Caller != caller {
					t.Errorf("caller %q", x.Caller)
				}
				if want != "401" {
					if resp.StatusCode != http.StatusOK {
						t.Errorf("response %q", data)
					}
					return
				}
				if resp.StatusCode != http.StatusUnauthorized || resp.Header.Get(errkind.HeaderError) != string(errkind.Unauthenticated) ||
					resp.Header.Get(errkind.HeaderRun) != string(errkind.NotRun) || resp.Header.Get("Retry-After") != "" || resp.Header.Get("Www-Authenticate") != "Bearer" {
					t.Errorf("response %q", data)
				}
				reason := "unknown-key"
				switch {
				case !strings.HasPrefix(tc.headers, "Authorization"):
					reason = "no-key"
				case strings.Contains(tc.name, "empty") || strings.Contains(tc.name, "scheme") || tc.name == "two headers" || strings.Contains(tc.name, "tab"):
					reason = "malformed-credentials"
				}
				if x.Reason != reason || x.Revision != 1 || x.Route != "* /write/*" || x.Kind != string(errkind.Unauthenticated) || len(x.Attempts) != 0 {
					t.Errorf("explanation %+v", x)
				}
			})
		}
	}
}

// Guards against a key or a false name of an account that reaches an upstream
// under another spelling of the header, by way of Connection or in a trailer, and
// against other headers that are lost.
func TestUpstreamsGetTheAccountInsteadOfTheKey(t *testing.T) {
	const key = "Authorization: Bearer " + secretKey + "\r\n"
	spellings := ""
	for _, name := range []string{"account-name", "ACCOUNT-NAME", "Account_Name", "account.name", "ACCOUNT_NAME", "Account-name"} {
		spellings += name + ": second\r\n"
	}
	for _, tc := range []struct {
		name, path, headers, body string
		accounts                  bool
		want                      http.Header
	}{
		{"spellings", "/write/x", key + spellings, "", true, http.Header{headerAccount: {"first"}}},
		{"spellings of a caller without an account", "/open/x", spellings, "", true, nil},
		{"an unknown key on a public route", "/open/x", "Authorization: Bearer unknown\r\n", "", true, nil},
		{"two keys on a public route", "/open/x", key + key, "", true, nil},
		{"Connection", "/write/x", key + headerAccount + ": second\r\nConnection: " + headerAccount + ", authorization\r\n", "", true, http.Header{headerAccount: {"first"}}},
		{"similar names", "/write/x", key + "Account-Names: a\r\nAccountname: b\r\nX-Authorization: c\r\n", "", true,
			http.Header{headerAccount: {"first"}, "Account-Names": {"a"}, "Accountname": {"b"}, "X-Authorization": {"c"}}},
		{"trailers", "/write/x", key + "Trailer: account-name, Authorization, X-Sum, Account_name\r\nTransfer-Encoding: chunked\r\n",
			"1\r\na\r\n0\r\naccount-name: second\r\nAuthorization: Bearer " + secretKey + "\r\nX-Sum: 1\r\naccount_name: second\r\n\r\n", true,
			http.Header{headerAccount: {"first"}, "Trailer:X-Sum": {"1"}}},
		{"unannounced trailers", "/write/x", key + "Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\naccount-name: second\r\n\r\n", true, http.Header{headerAccount: {"first"}}},
		{"no accounts", "/write/x", key + headerAccount + ": second\r\n", "", false, http.Header{"Authorization": {"Bearer " + secretKey}, headerAccount: {"second"}}},
		{"trailers without accounts", "/write/x", "Trailer: account-name\r\nTransfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\naccount-name: second\r\n\r\n", false,
			http.Header{"Trailer:" + headerAccount: {"second"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := make(http.Header)
			up := standin(t, "u1", func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				for name, values := range r.Header {
					if name != upstream.HeaderRequestID && name != headerDeadline && name != "Content-Length" {
						got[name] = values
					}
				}
				for name, values := range r.Trailer {
					got["Trailer:"+name] = values
				}
			})
			var set *account.Set
			if tc.accounts {
				set = testAccounts(t, 7, secretKey)
			}
			_, url := startServer(t, &fakeControl{snap: accountSnapshot(set, up)}, withAccounts)
			data, err := roundTripRaw(t, url, "POST "+tc.path+" HTTP/1.1\r\nHost: svc\r\nConnection: close\r\n"+tc.headers+"\r\n"+tc.body)
			if err != nil || !strings.HasPrefix(data, "HTTP/1.1 200") {
				t.Fatalf("response %q, error %v", data, err)
			}
			if tc.want == nil {
				tc.want = http.Header{}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against access, or a final refusal, while the instance does not know
// whether there are accounts.
func TestNoAnswerAboutKeysWithoutConfiguration(t *testing.T) {
	snap := &routing.Snapshot{Table: routing.NewTable(nil), Services: map[string]*routing.Service{}}
	_, url := startServer(t, &fakeControl{snap: snap}, withAccounts)
	for _, value := range []string{"", "Bearer " + secretKey} {
		req := request(t, http.MethodGet, url+"/write/x", nil)
		req.Header.Set(headerAuthorization, value)
		resp, _ := roundTrip(t, req)
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(errkind.HeaderRun) != string(errkind.NotRun) || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%q: status %d, header %v", value, resp.StatusCode, resp.Header)
		}
	}
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Guards against a key that is passed on: in the log, explanations, metrics, error
// bodies or requests to upstreams.
func TestKeyIsPassedOnNowhere(t *testing.T) {
	var log lockedBuffer
	scope := tally.NewTestScope("", nil)
	toUpstreams := make(chan string, 64)
	record := func(h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			toUpstreams <- fmt.Sprint(r.Method, r.RequestURI, r.Header, r.Trailer, string(body))
			h(w, r)
		}
	}
	ups := []routing.Upstream{standin(t, "u1", record(reset)), standin(t, "u2", record(succeed))}
	c := &fakeControl{snap: accountSnapshot(testAccounts(t, 7, secretKey), ups...)}
	s, url := startServer(t, c, func(cfg *Config) {
		withAccounts(cfg)
		cfg.Scope = scope
		cfg.Log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&log), zapcore.DebugLevel))
	})
	var seen strings.Builder
	const id = "Knapweedreel-Request-Id: "
	n := 0
	for k, key := range []string{"Bearer " + secretKey, "bearer   " + secretKey, "Basic " + secretKey, secretKey, "Bearer " + secretKey + "x", "Bearer " + secretKey + ", Bearer other"} {
		for i, start := range []string{
			"GET /write/x HTTP/1.1\r\nHost: svc\r\n", "GET /read/x HTTP/1.1\r\nHost: svc\r\n", "GET /open/x HTTP/1.1\r\nHost: svc\r\n",
			"GET /none HTTP/1.1\r\nHost: svc\r\n", "GET /write/../x HTTP/1.1\r\nHost: svc\r\n", "GET /write/x HTTP/1.1\r\nHost: svc\r\nKnapweedreel-Deadline-Ms: 0\r\n",
			"GET /write/x HTTP/1.1\r\nHost: svc\r\nKnapweedreel-Deadline-Ms: soon\r\n", "GET /write/x HTTP/1.1\r\nHost: svc\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n",
			"GET /write/x HTTP/1.1\r\nHost: svc\r\nBad Name: x\r\n", "PUT /write/x HTTP/1.1\r\nHost: svc\r\nContent-Length: 70000000\r\n",
			"GET /write/x HTTP/1.1\r\nHost: svc\r\nAuthorization: Bearer " + secretKey + "\r\n",
			"GET /write/x HTTP/1.1\r\nHost: svc\r\nAuthorization : Bearer " + secretKey + "\r\n",
			"GET /write/x HTTP/1.1\r\nHost: svc\r\nAuthorization: Bearer\r\n " + secretKey + "\r\n",
		} {
			if k > 0 && i > 2 {
				break // net/http takes 0.5 s to reject some of them
			}
			n++
			data, _ := roundTripRaw(t, url, start+"Connection: close\r\n"+id+fmt.Sprint("id-", n)+"\r\nAuthorization: "+key+"\r\n\r\n")
			seen.WriteString("response: " + data + "\n")
		}
	}
	eventually(t, "the log of all requests", func() bool {
		return strings.Contains(log.String(), fmt.Sprintf(`"id-%d"`, n))
	})
	for i := range n {
		x, _ := s.ExplainRequest(fmt.Sprint("id-", i+1))
		fmt.Fprintf(&seen, "explanation: %+v\n", x)
	}
	fmt.Fprintf(&seen, "in flight: %+v\nlog: %s\n", s.InFlight(), log.String())
	for name, counter := range scope.Snapshot().Counters() {
		fmt.Fprintf(&seen, "metric: %s %v\n", name, counter.Tags())
	}
	for name := range scope.Snapshot().Gauges() {
		seen.WriteString("metric: " + name + "\n")
	}
	requests := 0
	for len(toUpstreams) > 0 {
		requests++
		seen.WriteString("upstream: " + <-toUpstreams + "\n")
	}
	if requests == 0 || !strings.Contains(seen.String(), "unauthenticated") || !strings.Contains(log.String(), "upstream-reset") {
		t.Fatalf("the test covers too little: %d requests to upstreams", requests)
	}
	for line := range strings.SplitSeq(seen.String(), "\n") {
		if strings.Contains(strings.ToLower(line), secretKey) {
			t.Errorf("the key is in: %.300s", line)
		}
	}
}

// Guards against requests that are ordered by another priority than that of their
// account.
func TestClassOfARequest(t *testing.T) {
	for key, want := range map[string]admission.Class{secretKey: {Account: 1, Route: 2}, "other": {Account: 2, Route: 2}} {
		c := &fakeControl{snap: accountSnapshot(testAccounts(t, 7, secretKey))}
		s := New(Config{}, c)
		req := request(t, http.MethodGet, "http://svc/write/x", nil)
		req.Header.Set(headerAuthorization, "Bearer "+key)
		e := &exchange{s: s, r: req}
		if err := s.matchRequest(e); err != nil {
			t.Fatal(err)
		}
		e.cancel()
		if got := e.class(); got != want || e.account == nil || e.caller != e.account.Name {
			t.Errorf("key %s: class %+v, want %+v, caller %s", key, got, want, e.caller)
		}
	}
}
