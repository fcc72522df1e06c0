package account

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a replaced key that is not seen because the number of keys stays
// the same, and against one that moves to another account.
func TestCompareKeys(t *testing.T) {
	old := newSet(t, 1, define("a", "1", "2"), define("b", "3"), define("gone", "4"), define("none"))
	updated := newSet(t, 1, define("a", "1", "5"), define("b", "3"), define("new", "4"), define("none"))
	want := map[string]KeyChange{"a": {1, 1, 1}, "b": {1, 0, 0}, "gone": {0, 0, 1}, "new": {0, 1, 0}}
	if diff := cmp.Diff(want, CompareKeys(old, updated)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(map[string]KeyChange{"a": {0, 2, 0}, "b": {0, 1, 0}, "new": {0, 1, 0}}, CompareKeys(nil, updated)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(map[string]int{"a": 2, "b": 1, "gone": 1}, old.KeyCounts()); diff != "" {
		t.Error(diff)
	}
	var names []string
	for a := range old.All() {
		names = append(names, a.Name)
	}
	if diff := cmp.Diff([]string{"a", "b", "gone", "none"}, names); diff != "" {
		t.Error(diff)
	}
}

// Guards against problems that differ from what NewSet rejects, against a second
// problem that the first one hides, and against keys in the texts.
func TestProblems(t *testing.T) {
	const secret = "5rjvz48wuakn2ftimaj3"
	for _, c := range []struct {
		definitions []Definition
		indexes     []int
	}{
		{[]Definition{define("a", secret, secret), define("b", "2")}, nil},
		{[]Definition{define("a", secret), define("b", "x", secret), define("c", secret)}, []int{1, 2}},
		{[]Definition{define("", secret), define("a", ""), define("a", Key(secret+strings.Repeat("x", MaxKeyBytes)))}, []int{0, 1, 2}},
		{[]Definition{define("a"), define("a")}, []int{1}},
	} {
		var indexes []int
		for _, p := range Problems(c.definitions) {
			indexes = append(indexes, p.Index)
			if strings.Contains(fmt.Sprintf("%v %+v", p.Err, p.Err), secret) {
				t.Errorf("a key in %v", p.Err)
			}
		}
		if diff := cmp.Diff(c.indexes, indexes); diff != "" {
			t.Errorf("%v: %s", c.definitions, diff)
		}
		if _, err := NewSet(c.definitions, 1); (err != nil) != (len(indexes) > 0) {
			t.Errorf("%v: problems of %v, NewSet returns %v", c.definitions, indexes, err)
		}
	}
}
