package routing

import (
	"testing"

	"knapweedreel/internal/document"
)

func route(name, host, path string, parts ...WeightedService) *Route {
	return &Route{Name: name, Host: host, Rule: document.Route{Path: path}, Split: NewSplit(parts)}
}

// Guards against a shorter prefix that takes precedence over a longer one, and
// against a match of another host's route.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	s := WeightedService{Service: "s", Weight: 1}
	table := NewTable([]*Route{route("short", "a", "/x/*", s), route("long", "a", "/x/y/*", s), route("other", "b", "/x/y/z/*", s)})
	for path, want := range map[string]string{"/x/1": "short", "/x/y/z/1": "long", "/x/y": "short", "/": "", "/xx/": ""} {
		got := ""
		if r := table.Match("a", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s matches %q, want %q", path, got, want)
		}
	}
	if table.Match("c", "/x/1") != nil {
		t.Error("a route of another host matches")
	}
}

// Guards against shares that hold only over many requests, and against requests
// to a service of weight 0.
func TestSplitKeepsSharesOverFewRequests(t *testing.T) {
	s := NewSplit([]WeightedService{{"a", 90}, {"b", 10}, {"c", 0}})
	counts := map[string]int{}
	for i := range 100 {
		counts[s.Next()]++
		if want := float64(i+1) * 0.9; float64(counts["a"]) < want-1 || float64(counts["a"]) > want+1 {
			t.Fatalf("after %d requests %v", i+1, counts)
		}
	}
	if counts["a"] != 90 || counts["b"] != 10 || counts["c"] != 0 {
		t.Errorf("%v", counts)
	}
}
