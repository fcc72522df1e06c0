package decisions

import (
	"cmp"
	"slices"
	"time"

	"knapweedreel/internal/health"
)

// Row sums up the replays of one fault under one rule.
type Row struct {
	First, All   []time.Duration // detection times until the first and until all instances stop
	Total        []time.Duration // those of All with the Total target
	Partial      []time.Duration // those of All with the Partial target
	Missed       int             // faults for which some instance never stopped
	False        int             // false ejections
	FalseSeconds float64         // upstream-seconds of them
}

// Add counts one replay.
func (r *Row) Add(t *Trace, result Result) {
	for _, w := range t.Faults {
		if w.From.IsZero() {
			continue
		}
		first, all, missed := detection(t, w, result)
		r.First = append(r.First, first)
		r.All = append(r.All, all)
		if missed {
			r.Missed++
		}
		switch w.Target {
		case Total:
			r.Total = append(r.Total, all)
		case Partial:
			r.Partial = append(r.Partial, all)
		}
	}
	n, seconds := falseEjections(t, result)
	r.False += n
	r.FalseSeconds += seconds
}

// Merge adds the figures of another row.
func (r *Row) Merge(o Row) {
	r.First = append(r.First, o.First...)
	r.All = append(r.All, o.All...)
	r.Total = append(r.Total, o.Total...)
	r.Partial = append(r.Partial, o.Partial...)
	r.Missed += o.Missed
	r.False += o.False
	r.FalseSeconds += o.FalseSeconds
}

// detection returns the times from the failure of the first request that met the
// fault until the first instance ejects the upstream, and until all that have
// work for it do. An instance that never does counts with the end of the fault.
func detection(t *Trace, w *Window, result Result) (first, all time.Duration, missed bool) {
	stopped := map[int]time.Time{}
	for _, d := range result.Decisions {
		if d.Upstream != w.Upstream || d.To != health.Ejected || d.From == health.Ejected || d.Time.Before(w.From) || d.Time.After(w.To) {
			continue
		}
		if _, known := stopped[d.Instance]; !known {
			stopped[d.Instance] = d.Time
		}
	}
	begin, end := w.To, w.From
	for i := range t.Instances {
		at, ok := stopped[i]
		if !ok && !hasWork(t.Streams[i], w) {
			continue
		}
		if !ok {
			at, missed = w.To, true
		}
		begin = minTime(begin, at)
		end = maxTime(end, at)
	}
	return begin.Sub(w.From), end.Sub(w.From), missed
}

// hasWork reports whether the instance would send requests during the fault.
func hasWork(stream []Record, w *Window) bool {
	return slices.ContainsFunc(stream, func(r Record) bool {
		o := r.Event.Outcome
		return o != nil && o.Upstream == w.Upstream && !r.Time.Before(w.From) && r.Time.Before(w.To)
	})
}

// falseEjections returns how often a healthy upstream began to be out of service
// at any instance, and for how long, in upstream-seconds.
func falseEjections(t *Trace, result Result) (n int, seconds float64) {
	healthy := slices.DeleteFunc(slices.Clone(result.Decisions), func(d Decision) bool {
		return d.From == d.To || slices.ContainsFunc(t.Faults, func(w *Window) bool { return w.Upstream == d.Upstream })
	})
	slices.SortStableFunc(healthy, func(a, b Decision) int {
		return cmp.Or(cmp.Compare(a.Upstream.Service, b.Upstream.Service), cmp.Compare(a.Upstream.Upstream, b.Upstream.Upstream), a.Time.Compare(b.Time))
	})
	var out map[int]bool
	var since time.Time
	for i, d := range healthy {
		if i == 0 || d.Upstream != healthy[i-1].Upstream {
			out = map[int]bool{}
		}
		before := len(out)
		if d.To == health.Ejected || d.To == health.Probation {
			out[d.Instance] = true
		} else {
			delete(out, d.Instance)
		}
		switch {
		case before == 0 && len(out) > 0:
			n++
			since = d.Time
		case before > 0 && len(out) == 0:
			seconds += d.Time.Sub(since).Seconds()
		}
		last := i == len(healthy)-1 || healthy[i+1].Upstream != d.Upstream
		if last && len(out) > 0 {
			seconds += t.End.Sub(since).Seconds()
		}
	}
	return n, seconds
}

// Quantile returns the smallest value that at least the given share of the values
// does not exceed; 0 without values.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	at := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(at, 0), len(sorted)-1)]
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
