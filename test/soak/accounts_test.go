package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"knapweedreel/platform/standin"
)

// testAccounts are the accounts of a fleet, with their keys.
type testAccounts map[string][]string

// entries returns the accounts in the format of the configuration.
func (a testAccounts) entries() map[string]any {
	out := map[string]any{}
	for name, keys := range a {
		out[name] = map[string]any{"apiKeys": keys, "priority": 1, "ratePerS": 0, "burst": 0}
	}
	return out
}

// twoAccounts returns two accounts with a key each.
func twoAccounts() testAccounts {
	return testAccounts{"sese880": {"5rjvz48wuakn2ftimaj3"}, "sese881": {"nr26tta828m82thhkmgj"}}
}

// holder returns the account that holds a key, or "".
func (a testAccounts) holder(key string) string {
	for name, keys := range a {
		for _, k := range keys {
			if k == key {
				return name
			}
		}
	}
	return ""
}

// key returns the key of the n-th caller, "" without accounts.
func (a testAccounts) key(n int) string {
	if len(a) == 0 {
		return ""
	}
	names := slices.Sorted(maps.Keys(a))
	return a[names[n%len(names)]][0]
}

// checkAccounts compares the accounts that upstreams were told with the keys that
// callers sent, and searches the logs for keys.
func (f *fleet) checkAccounts(keys map[string]string) {
	f.t.Helper()
	for _, u := range f.upstreams {
		accounts, credentials := u.Accounts()
		if credentials > 0 {
			f.t.Errorf("%s got %d requests with credentials", u.ID, credentials)
		}
		for id, account := range accounts {
			if key, ok := keys[id]; ok && account != f.accounts.holder(key) {
				f.t.Errorf("%s: request %s names the account %q, want %q", u.ID, id, account, f.accounts.holder(key))
			}
		}
	}
	logs, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	if err != nil || len(logs) == 0 {
		f.t.Fatalf("no logs: %v", err)
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, keys := range twoAccounts() {
			if strings.Contains(string(text), keys[0]) {
				f.t.Errorf("%s contains a key", path)
			}
		}
	}
}

// accountClient sends requests to the instances of a fleet on connections that it
// keeps.
type accountClient struct {
	f      *fleet
	client *http.Client
	keys   map[string]string // of the requests sent, by ID
}

// status sends a request with a key, "" for none, and returns the status of the
// response, 0 without one.
func (c *accountClient) status(i *instance, key string) int {
	o := outcome{id: fmt.Sprint("account-", len(c.keys)), key: key}
	c.keys[o.id] = key
	o = send(c.client, o, http.MethodGet, "http://"+i.entry+"/read/x", nil)
	return o.status
}

// awaitStatus waits until every instance responds with the given status.
func (c *accountClient) awaitStatus(what, key string, want int) {
	c.f.t.Helper()
	for _, i := range c.f.instances {
		c.f.eventually(what+": "+i.name, func() bool { return c.status(i, key) == want })
	}
}

// revocationTime is the time within which all instances that are in touch with the
// store refuse a withdrawn key.
const revocationTime = 3 * time.Second

// Guards against processes that serve callers without a valid key, refuse a
// withdrawn key too late, also after a pause, forget while the store is lost that it was withdrawn, or
// answer about keys before they have a configuration.
func TestAccountsOfAFleet(t *testing.T) {
	f := newFleetWith(t, 11, twoAccounts())
	for _, i := range f.instances {
		f.eventually("ready after the start: "+i.name, i.isReady)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := &accountClient{f: f, client: &http.Client{Transport: transport}, keys: make(map[string]string)}
	first, second := twoAccounts()["sese880"][0], twoAccounts()["sese881"][0]
	c.awaitStatus("a valid key", first, http.StatusOK)
	c.awaitStatus("a valid key of another account", second, http.StatusOK)
	c.awaitStatus("no key", "", http.StatusUnauthorized)
	c.awaitStatus("an unknown key", "unknown", http.StatusUnauthorized)
	f.checkAccounts(c.keys)

	f.accounts = testAccounts{"sese880": nil, "sese881": {second}}
	f.putConfiguration(1)
	withdrawn := time.Now()
	c.awaitStatus("a withdrawn key", first, http.StatusUnauthorized)
	if d := time.Since(withdrawn); d > revocationTime+slack {
		t.Errorf("the key was refused everywhere after %v", d)
	} else {
		t.Logf("the key was refused everywhere after %v", d)
	}
	c.awaitStatus("the key of another account", second, http.StatusOK)

	f.logEvent("%s is paused while a key is withdrawn", f.instances[1].name)
	f.accounts = testAccounts{"sese880": {first}, "sese881": {second}}
	f.putConfiguration(1)
	c.awaitStatus("a restored key", first, http.StatusOK)
	f.instances[1].signal(syscall.SIGSTOP)
	f.accounts = testAccounts{"sese880": nil, "sese881": {second}}
	f.putConfiguration(1)
	wait(t.Context(), revocationTime)
	f.instances[1].signal(syscall.SIGCONT)
	resumed := time.Now()
	c.awaitStatus("a key withdrawn during a pause", first, http.StatusUnauthorized)
	if d := time.Since(resumed); d > revocationTime+slack {
		t.Errorf("the key was refused everywhere %v after the pause", d)
	} else {
		t.Logf("the key was refused everywhere %v after the pause", d)
	}

	f.logEvent("the store is lost")
	f.store.SetFault(standin.ServiceUnavailable)
	wait(t.Context(), time.Second)
	for _, i := range f.instances {
		if got := c.status(i, first); got != http.StatusUnauthorized {
			t.Errorf("%s responds %d to a withdrawn key without the store", i.name, got)
		}
		c.f.eventually("a valid key without the store: "+i.name, func() bool { return c.status(i, second) == http.StatusOK })
	}
	restarted := f.instances[0]
	restarted.signal(syscall.SIGKILL)
	<-restarted.done()
	restarted.start(f)
	responses := 0
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	for began := time.Now(); ctx.Err() == nil && (responses < 10 || time.Since(began) < time.Second); {
		for _, key := range []string{"", first, second} {
			switch got := c.status(restarted, key); got {
			case 0: // not listening yet
			case http.StatusServiceUnavailable:
				responses++
			default:
				t.Fatalf("%s responds %d without a configuration", restarted.name, got)
			}
		}
		wait(ctx, 20*time.Millisecond)
	}
	if responses == 0 {
		t.Error("no response of an instance without a configuration")
	}

	f.logEvent("the store is back")
	f.store.SetFault(standin.NoFault)
	f.eventually("ready after the restart", restarted.isReady)
	c.awaitStatus("a withdrawn key after the restart", first, http.StatusUnauthorized)
	c.awaitStatus("a valid key after the restart", second, http.StatusOK)

	f.accounts = twoAccounts()
	f.putConfiguration(1)
	c.awaitStatus("a restored key", first, http.StatusOK)
	f.checkAccounts(c.keys)
}
