package configcheck

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedreel/internal/account"
	"knapweedreel/internal/catalog"
	"knapweedreel/internal/routing"
)

// Guards against a change that is not reported, or reported for another field.
func TestCompareReportsEachChange(t *testing.T) {
	priority := 3
	for name, c := range map[string]struct {
		change func(*catalog.Configuration)
		want   Difference
	}{
		"route added":     {func(c *catalog.Configuration) { c.Routes = append(c.Routes, newRoute("r9", "/n/", "a")) }, Difference{Added, Place{Routes, "r9", ""}, nil}},
		"route removed":   {func(c *catalog.Configuration) { c.Routes = c.Routes[1:] }, Difference{Removed, Place{Routes, "r1", ""}, nil}},
		"host":            {func(c *catalog.Configuration) { c.Routes[0].Host = "g" }, Difference{Changed, Place{Routes, "r1", ""}, []FieldChange{{Host, "h", "g"}}}},
		"prefix":          {func(c *catalog.Configuration) { c.Routes[0].Rule.Path = "/z/*" }, Difference{Changed, Place{Routes, "r1", ""}, []FieldChange{{Prefix, "/a/", "/z/"}}}},
		"idempotent":      {func(c *catalog.Configuration) { c.Routes[0].Rule.Idempotent = true }, Difference{Changed, Place{Routes, "r1", ""}, []FieldChange{{Idempotent, "not idempotent", "idempotent"}}}},
		"deadline":        {func(c *catalog.Configuration) { c.Routes[0].Rule.DeadlineMS = 5000 }, Difference{Changed, Place{Routes, "r1", ""}, []FieldChange{{Deadline, "4s", "5s"}}}},
		"objective":       {func(c *catalog.Configuration) { c.Routes[0].Rule.ObjectiveMS = 1500 }, Difference{Changed, Place{Routes, "r1", ""}, []FieldChange{{Objective, "2s", "1.5s"}}}},
		"priority":        {func(c *catalog.Configuration) { c.Routes[0].Rule.Priority = 1 }, Difference{Changed, Place{Routes, "r1", ""}, []FieldChange{{Priority, "0", "1"}}}},
		"attempts":        {func(c *catalog.Configuration) { *c.Routes[0].Rule.Retries = 2 }, Difference{Changed, Place{Routes, "r1", ""}, []FieldChange{{Attempts, "2", "3"}}}},
		"public":          {func(c *catalog.Configuration) { c.Routes[0].Public = true }, Difference{Changed, Place{Routes, "r1", ""}, []FieldChange{{Public, "false", "true"}}}},
		"service added":   {func(c *catalog.Configuration) { c.Services["n"] = catalog.Service{} }, Difference{Added, Place{Services, "n", ""}, nil}},
		"service removed": {func(c *catalog.Configuration) { delete(c.Services, "b") }, Difference{Removed, Place{Services, "b", ""}, nil}},
		"connections":     {func(c *catalog.Configuration) { c.Services["a"] = catalog.Service{Connections: 65} }, Difference{Changed, Place{Services, "a", ""}, []FieldChange{{Connections, "64", "65"}}}},
		"header bytes":    {func(c *catalog.Configuration) { c.Limits.HeaderBytes = 0 }, Difference{Changed, Place{Section: Limits}, []FieldChange{{HeaderBytes, "16384", ""}}}},
		"body bytes":      {func(c *catalog.Configuration) { c.Limits.BodyBytes = 5 }, Difference{Changed, Place{Section: Limits}, []FieldChange{{BodyBytes, "67108864", "5"}}}},
		"header timeout":  {func(c *catalog.Configuration) { c.Limits.HeaderTimeout *= 2 }, Difference{Changed, Place{Section: Limits}, []FieldChange{{HeaderTimeout, "3s", "6s"}}}},
		"idle timeout":    {func(c *catalog.Configuration) { c.Limits.IdleTimeout *= 2 }, Difference{Changed, Place{Section: Limits}, []FieldChange{{IdleTimeout, "15s", "30s"}}}},
		"split": {func(c *catalog.Configuration) {
			c.Routes[0].Split = append(c.Routes[0].Split, routing.WeightedService{Service: "b", Weight: 2})
		}, Difference{Changed, Place{Routes, "r1", ""}, []FieldChange{{Split, "a:1", "a:1,b:2"}}}},
		"account added": {func(c *catalog.Configuration) {
			c.Accounts = newAccounts(t, 8, newAccount("x", 244, 244, "k1", "k2"), newAccount("free", 0, 0, "k3"), newAccount("n", 1, 1, "k4"))
		}, Difference{Added, Place{Accounts, "n", ""}, nil}},
		"account removed": {func(c *catalog.Configuration) { c.Accounts = newAccounts(t, 8, newAccount("x", 244, 244, "k1", "k2")) },
			Difference{Removed, Place{Accounts, "free", ""}, nil}},
		"account's fields": {func(c *catalog.Configuration) {
			x := newAccount("x", 245, 246, "k2", "k1")
			x.Priority = &priority
			c.Accounts = newAccounts(t, 8, x, newAccount("free", 0, 0, "k3"))
		}, Difference{Changed, Place{Accounts, "x", ""}, []FieldChange{{Priority, "", "3"}, {Rate, "244", "245"}, {Burst, "244", "246"}}}},
		"key replaced": {func(c *catalog.Configuration) {
			c.Accounts = newAccounts(t, 8, newAccount("x", 244, 244, "k1", "k9"), newAccount("free", 0, 0, "k3"))
		}, Difference{Changed, Place{Accounts, "x", ""}, []FieldChange{{Keys, "2 (1 removed)", "2 (1 added)"}}}},
		"key added": {func(c *catalog.Configuration) {
			c.Accounts = newAccounts(t, 8, newAccount("x", 244, 244, "k1", "k2", "k9"), newAccount("free", 0, 0, "k3"))
		}, Difference{Changed, Place{Accounts, "x", ""}, []FieldChange{{Keys, "2", "3 (1 added)"}}}},
	} {
		updated := newConfiguration(t)
		updated.Version = 8
		c.change(updated)
		got, findings := Compare(newConfiguration(t), updated)
		if diff := cmp.Diff([]Difference{c.want}, got); diff != "" || len(findings) > 0 {
			t.Errorf("%s: %s%+v", name, diff, findings)
		}
	}
}

// Guards against several changes of which one is lost, and against an order that
// differs from run to run.
func TestCompareManyAccounts(t *testing.T) {
	var before, after []account.Definition
	for i := range 100 {
		before = append(before, newAccount(fmt.Sprintf("n%02d", i), 5, 5, account.Key(fmt.Sprintf("a%d", i))))
		after = append(after, newAccount(fmt.Sprintf("n%02d", i), float64(5+i%2), 5, account.Key(fmt.Sprintf("b%d", i))))
	}
	old, updated := newConfiguration(t), newConfiguration(t)
	old.Accounts, updated.Accounts, updated.Version = newAccounts(t, 7, before...), newAccounts(t, 8, after...), 8
	got, _ := Compare(old, updated)
	if len(got) != 100 {
		t.Fatalf("%d differences", len(got))
	}
	for i, d := range got {
		if d.Place.Name != fmt.Sprintf("n%02d", i) || len(d.Fields) != 1+i%2 {
			t.Errorf("difference %d: %+v", i, d)
		}
	}
}

// Guards against an update that every instance ignores, because its version is not
// higher, without a word to the operator.
func TestCompareVersions(t *testing.T) {
	for _, c := range []struct {
		inForce, updated uint64
		differs, found   bool
	}{
		{7, 8, true, false}, {7, 7, false, false}, {7, 7, true, true}, {7, 6, true, true}, {7, 6, false, true}, {0, 1, true, false},
	} {
		old, updated := newConfiguration(t), newConfiguration(t)
		old.Version, updated.Version = c.inForce, c.updated
		if c.differs {
			updated.Routes[0].Rule.DeadlineMS++
		}
		if c.inForce == 0 {
			old = nil
		}
		_, findings := Compare(old, updated)
		if c.found != (len(findings) == 1 && findings[0].Rule == VersionNotHigher && findings[0].Severity == Error) {
			t.Errorf("%+v: %+v", c, findings)
		}
	}
}

// Guards against keys in the text of findings and differences.
func TestNoKeyIsReturned(t *testing.T) {
	const secret = "5rjvz48wuakn2ftimaj3"
	old, updated := newConfiguration(t), newConfiguration(t)
	old.Accounts = newAccounts(t, 7, newAccount("x", 0.1, 0, secret), newAccount("z", 0, 1, "q"+secret))
	updated.Accounts = newAccounts(t, 7, newAccount("x", 0, 1, "z"+secret), newAccount("y", 0.1, 0, secret))
	differences, findings := Compare(old, updated)
	if text := fmt.Sprintf("%+v %#v %+v", differences, findings, Check(updated, testBounds)); strings.Contains(text, secret) || len(differences) != 3 {
		t.Error(text)
	}
}
