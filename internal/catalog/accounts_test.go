package catalog

import (
	"testing"
	"time"

	"knapweedreel/internal/account"
	"knapweedreel/internal/routing"
)

// withAccount returns a configuration with an account that has the given keys and
// a route that is public.
func withAccount(t *testing.T, version uint64, keys ...account.Key) Change {
	c := configuration(version)
	var err error
	if c.Configuration.Accounts, err = account.NewSet([]account.Definition{{Account: account.Account{Name: "a"}, Keys: keys}}, version); err != nil {
		t.Fatal(err)
	}
	c.Configuration.Routes[0].Public = true
	return c
}

func snapshotAt(c *Catalog, now time.Time) *routing.Snapshot {
	var table *routing.Table
	if c.Configuration() != nil {
		table = c.Configuration().Table()
	}
	return c.Snapshot(testInput, table, now)
}

// Guards against snapshots with accounts of another version than their routes,
// and against requests that are served without a key while nothing is known.
func TestSnapshotsHaveTheAccountsOfTheirVersion(t *testing.T) {
	c := New()
	if s := snapshotAt(c, epoch); s.Accounts != nil || s.Ready || s.Table.Match("a.example", "/a/x") != nil {
		t.Errorf("before the first configuration: %+v", s)
	}
	for version, key := range map[uint64]account.Key{1: "k1", 2: "k2"} {
		c = New()
		ch := withAccount(t, version, key)
		c.Reset([]Change{ch}, 0, epoch)
		first, second := snapshotAt(c, epoch), snapshotAt(c, at(time.Second))
		if first.Accounts != ch.Configuration.Accounts || second.Accounts != first.Accounts || first.Accounts.Version() != version {
			t.Errorf("version %d: other accounts", version)
		}
		if r := first.Table.Match("a.example", "/a/x"); r == nil || !r.Public {
			t.Errorf("route %+v", r)
		}
	}
	without := configuration(3)
	c.Apply(&without, epoch)
	if s := snapshotAt(c, epoch); s.Accounts != nil || s.Table.Match("a.example", "/a/x").Public {
		t.Error("accounts of a version that has none")
	}
}

// Guards against a withdrawn key that works again because an older or unreadable
// configuration is read, the configuration is removed, or the store is lost.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	const values = "Bearer k1"
	c := New()
	steps := []struct {
		name  string
		apply func()
		works bool
	}{
		{"version 4 has the key", func() { ch := withAccount(t, 4, "k1"); c.Reset([]Change{ch}, 0, epoch) }, true},
		{"version 5 withdraws it", func() { ch := withAccount(t, 5, "k2"); c.Apply(&ch, epoch) }, false},
		{"version 4 arrives again", func() { ch := withAccount(t, 4, "k1"); c.Apply(&ch, epoch) }, false},
		{"version 4 is in a stale copy", func() { ch := withAccount(t, 4, "k1"); c.Reset([]Change{ch}, 0, epoch) }, false},
		{"version 5 with other content", func() { ch := withAccount(t, 5, "k1"); c.Apply(&ch, epoch) }, false},
		{"an unreadable entry", func() { c.Apply(&Change{Kind: KindConfiguration, ID: "configuration", Unreadable: ErrExpired}, epoch) }, false},
		{"the entry is removed", func() { ch := removed(KindConfiguration, "configuration"); c.Apply(&ch, epoch) }, false},
		{"the store is lost", func() { c.StoreLost() }, false},
		{"version 6 restores it", func() { ch := withAccount(t, 6, "k1"); c.Apply(&ch, epoch) }, true},
		{"an unreadable entry follows", func() { c.Apply(&Change{Kind: KindConfiguration, ID: "configuration", Unreadable: ErrExpired}, epoch) }, true},
	}
	for _, step := range steps {
		step.apply()
		if _, err := snapshotAt(c, epoch).Accounts.Identify([]string{values}); (err == nil) != step.works {
			t.Errorf("%s: %v", step.name, err)
		}
	}
}
