package account

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against metrics of small accounts instead of the largest ones, and of a
// choice that differs between instances.
func TestLargestAccounts(t *testing.T) {
	set, err := NewSet([]Definition{
		{Account: Account{Name: "small", Rate: 1}}, {Account: Account{Name: "free"}}, {Account: Account{Name: "b", Rate: 7}},
		{Account: Account{Name: "a", Rate: 7}}, {Account: Account{Name: "large", Rate: 90}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	for n, want := range [][]string{{}, {"large"}, {"large", "a"}} {
		if diff := cmp.Diff(want, set.Largest(n)); diff != "" {
			t.Errorf("%d: %s", n, diff)
		}
	}
	if got := set.Largest(10); len(got) != 4 {
		t.Errorf("%q", got)
	}
}
