package configcheck

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"knapweedreel/internal/account"
	"knapweedreel/internal/catalog"
	"knapweedreel/internal/document"
	"knapweedreel/internal/routing"
)

func newRoute(name, prefix, service string) catalog.Route {
	retries := 1
	return catalog.Route{
		Name: name, Host: "h", Split: []routing.WeightedService{{Service: service, Weight: 1}},
		Rule: document.Route{Path: prefix + "*", DeadlineMS: 4000, ObjectiveMS: 2000, Retries: &retries},
	}
}

func newAccounts(t *testing.T, version uint64, definitions ...account.Definition) *account.Set {
	t.Helper()
	s, err := account.NewSet(definitions, version)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newAccount(name string, rate, burst float64, keys ...account.Key) account.Definition {
	return account.Definition{Account: account.Account{Name: name, Rate: rate, Burst: burst}, Keys: keys}
}

// newConfiguration returns a configuration without findings.
func newConfiguration(t *testing.T) *catalog.Configuration {
	return &catalog.Configuration{
		Version:  7,
		Routes:   []catalog.Route{newRoute("r1", "/a/", "a"), newRoute("r2", "/b/", "b"), newRoute("r3", "/a/b/", "b"), newRoute("r4", "/", "a")},
		Services: map[string]catalog.Service{"a": {Connections: 64}, "b": {}},
		Limits:   catalog.Limits{HeaderBytes: 16384, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Accounts: newAccounts(t, 7, newAccount("x", 244, 244, "k1", "k2"), newAccount("free", 0, 0, "k3")),
	}
}

var testBounds = Bounds{HeaderBytes: 32 << 10, HeaderTimeout: 30 * time.Second, RetryReserve: 10}

// Guards against findings in a sound configuration, which operators would learn to
// ignore.
func TestSoundConfigurationHasNoFindings(t *testing.T) {
	for _, b := range []Bounds{testBounds, {}} {
		if got := Check(newConfiguration(t), b); len(got) > 0 {
			t.Errorf("%+v", got)
		}
	}
	if got := Check(&catalog.Configuration{Version: 1}, testBounds); len(got) > 0 {
		t.Errorf("empty configuration: %+v", got)
	}
}

// Guards against mistakes that are not found, or are found at another place or
// with another severity. Each case has exactly the findings that it lists.
func TestFindings(t *testing.T) {
	type configuration = catalog.Configuration
	split := func(parts ...routing.WeightedService) []routing.WeightedService { return parts }
	for name, c := range map[string]struct {
		change func(*configuration)
		want   []Finding
	}{
		"host missing":        {func(c *configuration) { c.Routes[0].Host = "" }, []Finding{{Error, UnmatchableHost, Place{Routes, "r1", Host}, ""}}},
		"host with port":      {func(c *configuration) { c.Routes[0].Host = "h:80" }, []Finding{{Error, UnmatchableHost, Place{Routes, "r1", Host}, ""}}},
		"host with dot":       {func(c *configuration) { c.Routes[0].Host = "h." }, []Finding{{Error, UnmatchableHost, Place{Routes, "r1", Host}, ""}}},
		"host with asterisk":  {func(c *configuration) { c.Routes[0].Host = "*.h" }, []Finding{{Error, UnmatchableHost, Place{Routes, "r1", Host}, ""}}},
		"prefix starts wrong": {func(c *configuration) { c.Routes[0].Rule.Path = "a/*" }, []Finding{{Error, UnmatchablePrefix, Place{Routes, "r1", Prefix}, ""}}},
		"prefix with query":   {func(c *configuration) { c.Routes[0].Rule.Path = "/a?b/*" }, []Finding{{Error, UnmatchablePrefix, Place{Routes, "r1", Prefix}, ""}}},
		"prefix with asterisk": {func(c *configuration) { c.Routes[0].Rule.Path = "/a/*/*" },
			[]Finding{{Warning, UnmatchablePrefix, Place{Routes, "r1", Prefix}, ""}}},
		"prefix ends wrong": {func(c *configuration) { c.Routes[0].Rule.Path = "/a*" }, []Finding{{Warning, OpenPrefix, Place{Routes, "r1", Prefix}, ""}}},
		"prefix missing": {func(c *configuration) { c.Routes[0].Rule.Path, c.Routes[3].Rule.Path = "*", "/c/*" },
			[]Finding{{Warning, OpenPrefix, Place{Routes, "r1", Prefix}, ""}}},
		"equal routes": {func(c *configuration) { c.Routes[1].Rule.Path = "/a/*" }, []Finding{{Error, Shadowed, Place{Routes, "r2", Prefix}, ""}}},
		"shadowed by the root": {func(c *configuration) { c.Routes[0].Rule.Path = "*" },
			[]Finding{{Error, Shadowed, Place{Routes, "r1", Prefix}, ""}, {Warning, OpenPrefix, Place{Routes, "r1", Prefix}, ""}}},
		"same prefix of another host": {func(c *configuration) { c.Routes[1].Rule.Path, c.Routes[1].Host = "/a/*", "g" }, nil},
		"undefined service": {func(c *configuration) { c.Routes[0].Split[0].Service = "c" },
			[]Finding{{Error, UndefinedService, Place{Routes, "r1", Service}, ""}}},
		"undefined part": {func(c *configuration) {
			c.Routes[0].Split = split(routing.WeightedService{Service: "a", Weight: 9}, routing.WeightedService{Service: "c", Weight: 1})
		}, []Finding{{Error, UndefinedService, Place{Routes, "r1", Split}, ""}}},
		"undefined part without weight": {func(c *configuration) {
			c.Routes[0].Split = split(routing.WeightedService{Service: "a", Weight: 9}, routing.WeightedService{Service: "c"})
		}, []Finding{{Warning, NoWeight, Place{Routes, "r1", Split}, ""}, {Warning, UndefinedService, Place{Routes, "r1", Split}, ""}}},
		"part without weight": {func(c *configuration) {
			c.Routes[0].Split = split(routing.WeightedService{Service: "a", Weight: 9}, routing.WeightedService{Service: "b"})
		}, []Finding{{Warning, NoWeight, Place{Routes, "r1", Split}, ""}}},
		"negative weight": {func(c *configuration) {
			c.Routes[0].Split = split(routing.WeightedService{Service: "a", Weight: 9}, routing.WeightedService{Service: "b", Weight: -1})
		}, []Finding{{Error, Negative, Place{Routes, "r1", Split}, ""}}},
		"repeated part": {func(c *configuration) {
			c.Routes[0].Split = split(routing.WeightedService{Service: "a", Weight: 9}, routing.WeightedService{Service: "a", Weight: 1})
		}, []Finding{{Warning, RepeatedPart, Place{Routes, "r1", Split}, ""}}},
		"no timeout":       {func(c *configuration) { c.Routes[0].Rule.DeadlineMS = 0 }, []Finding{{Warning, NoDeadline, Place{Routes, "r1", Deadline}, ""}}},
		"objective late":   {func(c *configuration) { c.Routes[0].Rule.ObjectiveMS = 4001 }, []Finding{{Warning, LateObjective, Place{Routes, "r1", Objective}, ""}}},
		"objective equal":  {func(c *configuration) { c.Routes[0].Rule.ObjectiveMS = 4000 }, nil},
		"priority below 0": {func(c *configuration) { c.Routes[0].Rule.Priority = -1 }, []Finding{{Warning, Negative, Place{Routes, "r1", Priority}, ""}}},
		"many attempts":    {func(c *configuration) { *c.Routes[0].Rule.Retries = 11 }, []Finding{{Warning, ManyAttempts, Place{Routes, "r1", Attempts}, ""}}},
		"attempts allowed": {func(c *configuration) { *c.Routes[0].Rule.Retries = 10 }, nil},
		"unused service":   {func(c *configuration) { c.Services["c"] = catalog.Service{} }, []Finding{{Warning, UnusedService, Place{Services, "c", ""}, ""}}},
		"service without weight": {func(c *configuration) {
			c.Services["c"] = catalog.Service{}
			c.Routes[0].Split = split(routing.WeightedService{Service: "a", Weight: 9}, routing.WeightedService{Service: "c"})
		}, []Finding{{Warning, NoWeight, Place{Routes, "r1", Split}, ""}, {Warning, UnusedService, Place{Services, "c", ""}, ""}}},
		"priority of the only route": {func(c *configuration) {
			c.Services["c"] = catalog.Service{}
			c.Routes[0].Split[0].Service, c.Routes[0].Rule.Priority = "c", 2
		}, []Finding{{Note, PriorityUnused, Place{Services, "c", ""}, ""}}},
		"priority of one route of several": {func(c *configuration) { c.Routes[0].Rule.Priority = 1 }, nil},
		"connections below 0": {func(c *configuration) { c.Services["a"] = catalog.Service{Connections: -1} },
			[]Finding{{Warning, Negative, Place{Services, "a", Connections}, ""}}},
		"account without keys": {func(c *configuration) {
			c.Accounts = newAccounts(t, 7, newAccount("x", 1, 1, "k"), newAccount("y", 1, 1))
		},
			[]Finding{{Warning, NoKeys, Place{Accounts, "y", Keys}, ""}}},
		"no account has keys": {func(c *configuration) { c.Accounts = newAccounts(t, 7, newAccount("y", 1, 1)) },
			[]Finding{{Error, NoKeys, Place{Accounts, "", ""}, ""}, {Warning, NoKeys, Place{Accounts, "y", Keys}, ""}}},
		"all routes are public": {func(c *configuration) {
			for i := range c.Routes {
				c.Routes[i].Public = true
			}
		}, []Finding{{Note, KeysUnused, Place{Accounts, "", ""}, ""}}},
		"burst without rate": {func(c *configuration) { c.Accounts = newAccounts(t, 7, newAccount("x", 0, 5, "k")) },
			[]Finding{{Warning, BurstUnused, Place{Accounts, "x", Burst}, ""}}},
		"rate below 1": {func(c *configuration) { c.Accounts = newAccounts(t, 7, newAccount("x", 0.5, 5, "k")) },
			[]Finding{{Warning, BelowOneRequest, Place{Accounts, "x", Rate}, ""}}},
		"burst below 1": {func(c *configuration) { c.Accounts = newAccounts(t, 7, newAccount("x", 5, 0.5, "k")) },
			[]Finding{{Warning, BelowOneRequest, Place{Accounts, "x", Burst}, ""}}},
		"header over settings": {func(c *configuration) { c.Limits.HeaderBytes = 32<<10 + 1 },
			[]Finding{{Warning, OverSettings, Place{Limits, "", HeaderBytes}, ""}}},
		"header timeout over settings": {func(c *configuration) { c.Limits.HeaderTimeout, c.Limits.IdleTimeout = 31*time.Second, time.Minute },
			[]Finding{{Warning, OverSettings, Place{Limits, "", HeaderTimeout}, ""}}},
		"header timeout over idle timeout": {func(c *configuration) { c.Limits.HeaderTimeout = 16 * time.Second },
			[]Finding{{Warning, ShortIdle, Place{Limits, "", HeaderTimeout}, ""}}},
		"body below 0": {func(c *configuration) { c.Limits.BodyBytes = -1 }, []Finding{{Warning, Negative, Place{Limits, "", BodyBytes}, ""}}},
		"body too large": {func(c *configuration) { c.Limits.BodyBytes = 1<<40 + 1 },
			[]Finding{{Warning, OverSettings, Place{Limits, "", BodyBytes}, ""}}},
	} {
		configuration := newConfiguration(t)
		c.change(configuration)
		got := Check(configuration, testBounds)
		for i := range got {
			if got[i].Message == "" {
				t.Errorf("%s: no message", name)
			}
			got[i].Message = ""
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s:\n got %+v\nwant %+v", name, got, c.want)
		}
	}
}

// Guards against an order of findings that differs from run to run.
func TestFindingsAreOrdered(t *testing.T) {
	c := &catalog.Configuration{Version: 1, Services: map[string]catalog.Service{}}
	for i := range 50 {
		c.Services[fmt.Sprintf("s%02d", i)] = catalog.Service{}
		c.Routes = append(c.Routes, newRoute(fmt.Sprintf("r%02d", 49-i), "/a", "none"))
	}
	first := Check(c, testBounds)
	if len(first) != 50+50+49+50 {
		t.Errorf("%d findings", len(first))
	}
	for range 5 {
		slices.Reverse(c.Routes)
		if again := Check(c, testBounds); !slices.Equal(first, again) {
			t.Fatalf("findings differ:\n%+v\n%+v", first, again)
		}
	}
}

// Guards against a check whose time grows with the square of the size: at the size
// expected in two years it would not end within the test's time limit of 10 min.
func TestLargeConfiguration(t *testing.T) {
	const routes, accounts, services = 48_000, 69_000, 590
	c := &catalog.Configuration{Version: 2, Services: map[string]catalog.Service{}}
	for i := range services {
		c.Services[fmt.Sprintf("s%d", i)] = catalog.Service{}
	}
	for i := range routes { // all of one host
		c.Routes = append(c.Routes, newRoute(fmt.Sprintf("r%d", i), fmt.Sprintf("/p%d/", i), fmt.Sprintf("s%d", i%services)))
	}
	definitions := make([]account.Definition, accounts)
	for i := range definitions {
		definitions[i] = newAccount(fmt.Sprintf("n%d", i), 5, 5, account.Key(fmt.Sprintf("a%d", i)), account.Key(fmt.Sprintf("b%d", i)))
	}
	c.Accounts = newAccounts(t, 2, definitions...)
	if got := Check(c, testBounds); len(got) > 0 {
		t.Errorf("%d findings, the first one %+v", len(got), got[0])
	}
	if differences, _ := Compare(&catalog.Configuration{Version: 1}, c); len(differences) != routes+accounts+services {
		t.Errorf("%d differences", len(differences))
	}
	if differences, findings := Compare(c, c); len(differences)+len(findings) > 0 {
		t.Errorf("differences to itself: %d, %+v", len(differences), findings)
	}
}
