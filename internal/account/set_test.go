package account

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

func newSet(t testing.TB, version uint64, definitions ...Definition) *Set {
	t.Helper()
	s, err := NewSet(definitions, version)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func define(name string, keys ...Key) Definition {
	return Definition{Account: Account{Name: name}, Keys: keys}
}

// Guards against credentials that give access although they are not exactly one
// known key, and against known keys that are refused for their spelling of the
// scheme.
func TestIdentify(t *testing.T) {
	s := newSet(t, 3, define("a", "k1", "k2"), define("b", "K1"), define("c"), define("d", Key(strings.Repeat("x", MaxKeyBytes))))
	for _, tc := range []struct {
		values []string
		want   string
		err    error
	}{
		{[]string{"Bearer k1"}, "a", nil},
		{[]string{"Bearer k2"}, "a", nil},
		{[]string{"Bearer K1"}, "b", nil},
		{[]string{"bEARER   k1"}, "a", nil},
		{[]string{"Bearer " + strings.Repeat("x", MaxKeyBytes)}, "d", nil},
		{nil, "", ErrNoKey},
		{[]string{}, "", ErrNoKey},
		{[]string{"Bearer k1", "Bearer k1"}, "", ErrMalformed},
		{[]string{"Bearer k1", ""}, "", ErrMalformed},
		{[]string{""}, "", ErrMalformed},
		{[]string{"Bearer"}, "", ErrMalformed},
		{[]string{"Bearer "}, "", ErrMalformed},
		{[]string{"Bearerk1"}, "", ErrMalformed},
		{[]string{"Bearer\tk1"}, "", ErrMalformed},
		{[]string{"Basic k1"}, "", ErrMalformed},
		{[]string{"k1"}, "", ErrMalformed},
		{[]string{" Bearer k1"}, "", ErrMalformed},
		{[]string{"Bearer k3"}, "", ErrUnknownKey},
		{[]string{"Bearer k"}, "", ErrUnknownKey},
		{[]string{"Bearer k1 "}, "", ErrUnknownKey},
		{[]string{"Bearer k1, Bearer k1"}, "", ErrUnknownKey},
		{[]string{"Bearer \tk1"}, "", ErrUnknownKey},
		{[]string{"Bearer " + strings.Repeat("x", MaxKeyBytes+1)}, "", ErrUnknownKey},
		{[]string{"Bearer " + strings.Repeat("x", 1<<20)}, "", ErrUnknownKey},
	} {
		id, err := s.Identify(tc.values)
		if !errors.Is(err, tc.err) || (err == nil) != (tc.err == nil) {
			t.Errorf("%.60q: error %v, want %v", tc.values, err, tc.err)
		}
		a, ok := s.Resolve(id)
		if ok != (tc.want != "") || ok && a.Name != tc.want {
			t.Errorf("%.60q: account %+v, want %q", tc.values, a, tc.want)
		}
		if ok && id.Version() != 3 {
			t.Errorf("%.60q: version %d", tc.values, id.Version())
		}
	}
}

// Guards against a key that still gives access after it was withdrawn or its
// account removed, and against one that stays refused after it was restored.
func TestResolveFollowsTheCurrentSet(t *testing.T) {
	first := newSet(t, 1, define("a", "k1", "k2"), define("b", "k3"))
	withdrawn := newSet(t, 2, define("a", "k2"))
	restored := newSet(t, 3, define("a", "k1"), define("z", "k3"))
	identify := func(key string) Identity {
		id, err := first.Identify([]string{"Bearer " + key})
		if err != nil {
			t.Fatal(err)
		}
		return id
	}
	for _, tc := range []struct {
		key  string
		set  *Set
		want string
	}{
		{"k1", first, "a"}, {"k1", withdrawn, ""}, {"k1", restored, "a"},
		{"k2", withdrawn, "a"}, {"k2", restored, ""},
		{"k3", withdrawn, ""}, {"k3", restored, "z"},
	} {
		a, ok := tc.set.Resolve(identify(tc.key))
		if ok != (tc.want != "") || ok && a.Name != tc.want {
			t.Errorf("key %s in version %d: %+v, want %q", tc.key, tc.set.Version(), a, tc.want)
		}
	}
	if a, ok := first.Resolve(Identity{}); ok {
		t.Errorf("the zero identity resolves to %+v", a)
	}
}

// Guards against accounts that are ambiguous, cannot be used, or would overflow
// the sums of quotas, and against errors that contain a key.
func TestInvalidAccountsAreRejected(t *testing.T) {
	const secret = "s3cr3t-key"
	negative, zero := -1, 0
	long := secret + strings.Repeat("x", MaxKeyBytes)
	with := func(change func(*Definition)) []Definition {
		d := define("a", secret)
		change(&d)
		return []Definition{d}
	}
	for name, definitions := range map[string][]Definition{
		"key of two accounts":  {define("a", secret), define("b", "k", secret)},
		"empty key":            {define("a", secret, "")},
		"long key":             {define("a", Key(long))},
		"empty name":           {define("", secret)},
		"name twice":           {define("a", secret), define("a", "k")},
		"long name":            {define(strings.Repeat("n", MaxNameBytes+1), secret)},
		"line break in a name": {define("a\r\nX: y", secret)},
		"space after a name":   {define("a ", secret)},
		"negative priority":    with(func(d *Definition) { d.Priority = &negative }),
		"negative rate":        with(func(d *Definition) { d.Rate = -1 }),
		"infinite rate":        with(func(d *Definition) { d.Rate = math.Inf(1) }),
		"rate is no number":    with(func(d *Definition) { d.Rate = math.NaN() }),
		"huge rate":            with(func(d *Definition) { d.Rate = 2 * MaxRate }),
		"negative burst":       with(func(d *Definition) { d.Burst = -1 }),
		"huge burst":           with(func(d *Definition) { d.Burst = 2 * MaxRate }),
	} {
		s, err := NewSet(definitions, 1)
		if err == nil || s != nil {
			t.Errorf("%s: accepted", name)
		} else if text := fmt.Sprintf("%v %+v", err, err); strings.Contains(text, secret) {
			t.Errorf("%s: the error contains the key: %s", name, text)
		}
	}
	if _, err := NewSet(nil, 0); err == nil {
		t.Error("version 0 was accepted")
	}
	valid := with(func(d *Definition) { d.Priority, d.Rate, d.Burst, d.Keys = &zero, 244, MaxRate, []Key{secret, secret} })
	s := newSet(t, 1, append(valid, define("no keys"), define("Größe", "k"))...)
	if a, ok := s.Get("a"); !ok || *a.Priority != 0 || a.Rate != 244 || s.Len() != 3 {
		t.Errorf("account %+v of %d", a, s.Len())
	}
	if _, ok := s.Get("b"); ok {
		t.Error("found an account that does not exist")
	}
}

// Guards against a set that changes with the definitions it was built from.
func TestSetIsImmutable(t *testing.T) {
	priority := 1
	d := []Definition{{Account: Account{Name: "a", Priority: &priority}, Keys: []Key{"k"}}}
	s := newSet(t, 1, d...)
	priority, d[0].Name = 2, "b"
	if a, ok := s.Get("a"); !ok || *a.Priority != 1 {
		t.Errorf("account %+v", a)
	}
}

// Guards against a key in formatted output.
func TestKeysAreRedacted(t *testing.T) {
	const secret = "s3cr3t-key"
	for _, format := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x"} {
		if text := fmt.Sprintf(format, Key(secret)); strings.Contains(text, secret) || strings.Contains(text, fmt.Sprintf("%x", secret)) {
			t.Errorf("%s: %s", format, text)
		}
		if text := fmt.Sprintf(format, define("a", secret)); strings.Contains(text, secret) {
			t.Errorf("%s: %s", format, text)
		}
	}
}

// manyAccounts returns the accounts of the size expected in two years.
func manyAccounts() []Definition {
	const accounts = 69_000
	out := make([]Definition, accounts)
	for i := range out {
		priority := i % 3
		out[i] = Definition{
			Account: Account{Name: fmt.Sprintf("sese%06d", i), Priority: &priority, Rate: 244, Burst: 244},
			Keys:    []Key{Key(fmt.Sprintf("%014d-first", i)), Key(fmt.Sprintf("%013d-second", i))},
		}
	}
	return out
}

// Guards against garbage for each request: identification runs for all of them.
func TestLookupDoesNotAllocate(t *testing.T) {
	s := newSet(t, 1, define("a", "5rjvz48wuakn2ftimaj3"))
	for _, values := range [][]string{{"Bearer 5rjvz48wuakn2ftimaj3"}, {"Bearer unknown"}, {"Basic x"}, nil} {
		if n := testing.AllocsPerRun(100, func() {
			id, _ := s.Identify(values)
			_, _ = s.Resolve(id)
		}); n != 0 {
			t.Errorf("%q: %v allocations", values, n)
		}
	}
}

// Guards against a set that takes a noticeable part of an instance's 64 MB for
// control, of which two versions exist while one replaces the other.
func TestMemoryOfManyAccounts(t *testing.T) {
	const limit = 16 << 20
	definitions := manyAccounts()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := newSet(t, 1, definitions...)
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d accounts with %d keys take %.1f MB", s.Len(), len(s.byKey), float64(used)/1e6)
	if used > limit {
		t.Errorf("%d bytes, want at most %d", used, limit)
	}
	runtime.KeepAlive(definitions)
}

func BenchmarkIdentify(b *testing.B) {
	s := newSet(b, 1, manyAccounts()...)
	values := []string{"Bearer 00000000012345-first"}
	b.ReportAllocs()
	for b.Loop() {
		id, err := s.Identify(values)
		if err != nil {
			b.Fatal(err)
		}
		if _, ok := s.Resolve(id); !ok {
			b.Fatal("not resolved")
		}
	}
}

func BenchmarkNewSet(b *testing.B) {
	definitions := manyAccounts()
	for b.Loop() {
		if _, err := NewSet(definitions, 1); err != nil {
			b.Fatal(err)
		}
	}
}
