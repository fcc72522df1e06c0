package decisions

import (
	"cmp"
	"slices"
	"time"

	"knapweedreel/internal/health"
)

// Row sums up replays under one rule.
type Row struct {
	First, All           []time.Duration // detection times at the first instance, and at all instances
	Total                []time.Duration // those in All with the target Total
	Partial              []time.Duration // those in All with the target Partial
	Missed               int             // faults for which an instance did not eject the upstream
	FalseEjections       int             // ejections of healthy upstreams
	FalseEjectionSeconds float64         // duration of these, in upstream-seconds
}

// Add adds the result of one replay.
func (r *Row) Add(t *Trace, result Result) {
	for _, fault := range t.Faults {
		if fault.From.IsZero() {
			continue
		}
		first, all, missed := detectionTimes(t, fault, result)
		r.First = append(r.First, first)
		r.All = append(r.All, all)
		if missed {
			r.Missed++
		}
		switch fault.Target {
		case Total:
			r.Total = append(r.Total, all)
		case Partial:
			r.Partial = append(r.Partial, all)
		}
	}
	n, seconds := falseEjections(t, result)
	r.FalseEjections += n
	r.FalseEjectionSeconds += seconds
}

// Merge adds the results of another row.
func (r *Row) Merge(o Row) {
	r.First = append(r.First, o.First...)
	r.All = append(r.All, o.All...)
	r.Total = append(r.Total, o.Total...)
	r.Partial = append(r.Partial, o.Partial...)
	r.Missed += o.Missed
	r.FalseEjections += o.FalseEjections
	r.FalseEjectionSeconds += o.FalseEjectionSeconds
}

// detectionTimes returns the times from the end of the first request that the
// fault affected until the first instance ejects the upstream, and until all
// instances with requests for it have ejected it. For an instance that does not
// eject it, the end of the fault counts, and missed is true.
func detectionTimes(t *Trace, fault *FaultPeriod, result Result) (first, all time.Duration, missed bool) {
	ejectedAt := map[int]time.Time{}
	for _, d := range result.Decisions {
		if d.Upstream != fault.Upstream || d.To != health.Ejected || d.From == health.Ejected || d.Time.Before(fault.From) || d.Time.After(fault.To) {
			continue
		}
		if _, known := ejectedAt[d.Instance]; !known {
			ejectedAt[d.Instance] = d.Time
		}
	}
	earliest, latest := fault.To, fault.From
	for i := range t.Instances {
		at, ok := ejectedAt[i]
		if !ok && !hasRequests(t.Streams[i], fault) {
			continue
		}
		if !ok {
			at, missed = fault.To, true
		}
		earliest = minTime(earliest, at)
		latest = maxTime(latest, at)
	}
	return earliest.Sub(fault.From), latest.Sub(fault.From), missed
}

// hasRequests reports whether an instance with this stream has requests for the
// upstream that end during the fault.
func hasRequests(stream []Record, fault *FaultPeriod) bool {
	return slices.ContainsFunc(stream, func(r Record) bool {
		o := r.Event.Outcome
		return o != nil && o.Upstream == fault.Upstream && !r.Time.Before(fault.From) && r.Time.Before(fault.To)
	})
}

// falseEjections returns how often a healthy upstream was ejected, and for how
// long, in upstream-seconds. Ejections at several instances that overlap count
// as one; an ejection lasts until the end of probation.
func falseEjections(t *Trace, result Result) (n int, seconds float64) {
	healthy := slices.DeleteFunc(slices.Clone(result.Decisions), func(d Decision) bool {
		return d.From == d.To || slices.ContainsFunc(t.Faults, func(fault *FaultPeriod) bool { return fault.Upstream == d.Upstream })
	})
	slices.SortStableFunc(healthy, func(a, b Decision) int {
		return cmp.Or(cmp.Compare(a.Upstream.Service, b.Upstream.Service), cmp.Compare(a.Upstream.Upstream, b.Upstream.Upstream), a.Time.Compare(b.Time))
	})
	var ejectedBy map[int]bool
	var since time.Time
	for i, d := range healthy {
		if i == 0 || d.Upstream != healthy[i-1].Upstream {
			ejectedBy = map[int]bool{}
		}
		before := len(ejectedBy)
		if d.To == health.Ejected || d.To == health.Probation {
			ejectedBy[d.Instance] = true
		} else {
			delete(ejectedBy, d.Instance)
		}
		switch {
		case before == 0 && len(ejectedBy) > 0:
			n++
			since = d.Time
		case before > 0 && len(ejectedBy) == 0:
			seconds += d.Time.Sub(since).Seconds()
		}
		last := i == len(healthy)-1 || healthy[i+1].Upstream != d.Upstream
		if last && len(ejectedBy) > 0 {
			seconds += t.End.Sub(since).Seconds()
		}
	}
	return n, seconds
}

// Quantile returns the q-quantile: the smallest value v for which at least the
// share q of the values is at most v. It returns 0 if there are no values.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	index := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
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
