package admin

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against log fields of attempts that the command line cannot parse.
func TestParseFormattedAttempts(t *testing.T) {
	want := []Attempt{
		{Upstream: "i-1", Fails: 0.23, Load: 4, Fresh: true, Result: "upstream-silent", Took: 1635 * time.Millisecond},
		{Upstream: "i-2", Fails: 0.04, Result: "504", Took: time.Second, RetryCause: "late", Last: "attempt-limit"},
		{Upstream: "i-3", Result: "500", Last: "may-have-run"},
	}
	got, err := ParseAttempts(FormatAttempts(want))
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if got, err := ParseAttempts(""); err != nil || len(got) != 0 {
		t.Errorf("%v, %v", got, err)
	}
	for _, s := range []string{"i-1", "i-1,fails=x,load=1,kept,200,1ms", "i-1,fails=0,load=x,kept,200,1ms", "i-1,fails=0,load=1,kept,200,x"} {
		if _, err := ParseAttempts(s); err == nil {
			t.Errorf("ParseAttempts(%q) returned no error", s)
		}
	}
}
