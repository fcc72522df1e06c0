package placement

import (
	"testing"
	"time"
)

// chosen reports whether an upstream is chosen when it is the only candidate.
func chosen(tr *Tracker, id string, incarnation int64, now time.Time) bool {
	c := candidates(id)
	c[0].Incarnation = incarnation
	_, ok := tr.Choose(c, nil, Request{}, now)
	return ok
}

// Guards against requests during the time for which an upstream has asked for
// none, because its entry has disappeared and returned in the meantime.
func TestPauseOutlivesEntry(t *testing.T) {
	tr := NewTracker(DefaultModel())
	if !chosen(tr, "a", 7, atMS(0)) {
		t.Fatal("not chosen without a pause")
	}
	tr.RecordRefusal(Incarnation{"a", 7}, 14*time.Second, atMS(0))
	for ms := 1000; ms < 14_000; ms += 1000 {
		tr.Forget(func(string) bool { return false }, atMS(ms))
		if chosen(tr, "a", 7, atMS(ms)) {
			t.Fatalf("chosen after %d ms of a pause of 14 s", ms)
		}
	}
	if until := tr.RefusedUntil(Incarnation{"a", 7}); !until.Equal(atMS(14_000)) {
		t.Errorf("refused until %v, want %v", until, atMS(14_000))
	}
	if !chosen(tr, "a", 7, atMS(14_000)) {
		t.Error("not chosen after the pause")
	}
	tr.Forget(func(string) bool { return false }, atMS(14_000))
	if len(tr.pauses) != 0 {
		t.Errorf("kept after its end: %v", tr.pauses)
	}
}

// Guards against a pause that applies to another start of the upstream: one that
// began after it, also if its refusal arrives late, or the same entry with an older
// start.
func TestPauseIsValidForOneStart(t *testing.T) {
	tr := NewTracker(DefaultModel())
	tr.RecordRefusal(Incarnation{"a", 7}, 14*time.Second, atMS(0))
	if !chosen(tr, "a", 8, atMS(100)) {
		t.Error("not chosen after its restart")
	}
	tr.RecordRefusal(Incarnation{"a", 7}, 20*time.Second, atMS(200))
	if !chosen(tr, "a", 8, atMS(300)) {
		t.Error("a late refusal of the previous start is applied to the next one")
	}
	if chosen(tr, "a", 7, atMS(400)) {
		t.Error("the previous start is chosen during its pause")
	}
	tr.RecordRefusal(Incarnation{"a", 7}, 0, atMS(500))
	if chosen(tr, "a", 7, atMS(19_000)) {
		t.Error("a shorter pause ends a longer one")
	}
}
