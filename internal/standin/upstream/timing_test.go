package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// Guards against slowness that does not happen.
func TestWorkTakesLongerWhenSlowOrCold(t *testing.T) {
	const work = 10 * time.Millisecond
	for _, c := range []struct {
		name    string
		cfg     Config
		control Control
		least   time.Duration
	}{
		{"normal", Config{Work: work}, Control{}, work},
		{"slow", Config{Work: work}, Control{SlowFactor: 5}, 5 * work},
		{"cold", Config{Work: work, ColdStart: time.Hour}, Control{}, coldStartFactor * work},
	} {
		s, h := start(t, c.cfg)
		s.SetControl(c.control)
		began := time.Now()
		mustGet(t, h, "/", "id")
		if took := time.Since(began); took < c.least {
			t.Errorf("%s: took %v, want at least %v", c.name, took, c.least)
		}
	}
}

// Guards against faults that stay on, or off, while they should alternate.
func TestFlappingAlternates(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 1})
	s.SetControl(Control{FailFraction: 1, FlapMS: 20})
	for _, want := range []int{500, 200, 500, 200} {
		waitFor(t, "the other phase", func() bool {
			answer, _ := mustGet(t, h, "/", "id")
			return answer.StatusCode == want
		})
	}
}

// Guards against requests that are run after their deadline: the fleet has
// answered them already.
func TestDeadlineEndsTheWaitForASlot(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 1})
	s.SetControl(Control{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	held := make(chan error, 1)
	go func() { _, _, err := get(ctx, h, "/", "held"); held <- err }()
	waitFor(t, "the slot is taken", func() bool { return s.Stats().Running == 1 })
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, h.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(HeaderRequestID, "late")
	r.Header.Set(HeaderDeadline, "20")
	answer, err := h.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	if answer.Header.Get(HeaderRefused) != RefusedShed || s.Runs().ByID["late"] != 0 {
		t.Errorf("status %d, runs %+v", answer.StatusCode, s.Runs())
	}
	cancel()
	<-held
}

// Guards against a share of faulty requests that is far from the wanted one.
func TestFailFractionIsTheShareOfRequests(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 1, Seed: 1})
	s.SetControl(Control{FailFraction: 0.2})
	failed := 0
	for range 500 {
		if answer, _ := mustGet(t, h, "/", "id"); answer.StatusCode == 500 {
			failed++
		}
	}
	if failed < 70 || failed > 130 {
		t.Errorf("%d of 500 requests failed, want about 100", failed)
	}
}
