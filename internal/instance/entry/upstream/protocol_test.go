package upstream

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a delay that is rounded down to one that is too short, and
// against a fraction where HTTP allows none.
func TestFormatRetryAfter(t *testing.T) {
	for _, c := range []struct {
		d                 time.Duration
		whole, fractional string
	}{
		{time.Second, "1", "1"}, {1100 * time.Millisecond, "2", "1.1"}, {50 * time.Millisecond, "1", "0.05"}, {time.Microsecond, "1", "0.001"},
	} {
		if got := (&Protocol{}).FormatRetryAfter(c.d); got != c.whole {
			t.Errorf("%v: %s, want %s", c.d, got, c.whole)
		}
		if got := (&Protocol{FractionalRetryAfter: true}).FormatRetryAfter(c.d); got != c.fractional {
			t.Errorf("%v: %s, want %s", c.d, got, c.fractional)
		}
	}
}

// Guards against a backoff that is taken from a malformed header, overflows or
// never ends, and against one of a response that does not turn the request away.
func TestBackoffOf(t *testing.T) {
	for _, c := range []struct {
		status int
		value  string
		want   time.Duration
	}{
		{503, "2", 2 * time.Second}, {503, "0.25", 250 * time.Millisecond}, {429, "1", time.Second},
		{200, "2", 0}, {500, "2", 0}, {503, "", 0}, {503, "-1", 0}, {503, "NaN", 0}, {503, "soon", 0}, {503, "0", 0},
		{503, "Wed, 21 Oct 2026 07:28:00 GMT", 0}, {503, "1e300", maxBackoff}, {503, "Inf", maxBackoff},
	} {
		resp := &http.Response{StatusCode: c.status, Header: http.Header{"Retry-After": {c.value}}}
		if got := backoffOf(resp); got != c.want {
			t.Errorf("status %d, value %q: %v, want %v", c.status, c.value, got, c.want)
		}
	}
}
