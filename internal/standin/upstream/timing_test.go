package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// Guards against slow faults and cold starts without effect.
func TestWorkTakesLongerWhenSlowOrCold(t *testing.T) {
	const work = 10 * time.Millisecond
	for _, c := range []struct {
		name    string
		cfg     Config
		control Control
		minimum time.Duration
	}{
		{"normal", Config{Work: work}, Control{}, work},
		{"slow", Config{Work: work}, Control{SlowFactor: 5}, 5 * work},
		{"cold", Config{Work: work, ColdStart: time.Hour}, Control{}, coldStartFactor * work},
	} {
		s, h := start(t, c.cfg)
		s.SetControl(c.control)
		began := time.Now()
		mustPost(t, h, "/", "id")
		if took := time.Since(began); took < c.minimum {
			t.Errorf("%s: took %v, want at least %v", c.name, took, c.minimum)
		}
	}
}

// Guards against flapping that stays in one phase.
func TestFlappingAlternates(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 1})
	s.SetControl(Control{FailFraction: 1, FlapMS: 20})
	for _, want := range []int{500, 200, 500, 200} {
		eventually(t, "the other phase", func() bool {
			resp, _ := mustPost(t, h, "/", "id")
			return resp.StatusCode == want
		})
	}
}

// Guards against running requests after their deadline, when the fleet has
// already responded to the caller.
func TestDeadlineEndsWaitForSlot(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 1})
	s.SetControl(Control{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { _, _, err := post(ctx, h, "/", "held"); done <- err }()
	eventually(t, "the slot is taken", func() bool { return s.Stats().Running == 1 })
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, h.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(HeaderRequestID, "late")
	r.Header.Set(HeaderDeadline, "20")
	resp, err := h.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.Header.Get(HeaderRefused) != RefusedShed || s.Runs().ByID["late"] != 0 {
		t.Errorf("status %d, runs %+v", resp.StatusCode, s.Runs())
	}
	cancel()
	<-done
}

// Guards against a share of failed requests that differs from FailFraction.
func TestFailFractionIsTheShareOfRequests(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 1, Seed: 1})
	s.SetControl(Control{FailFraction: 0.2})
	failed := 0
	for range 500 {
		if resp, _ := mustPost(t, h, "/", "id"); resp.StatusCode == 500 {
			failed++
		}
	}
	if failed < 70 || failed > 130 {
		t.Errorf("%d of 500 requests failed, want about 100", failed)
	}
}
