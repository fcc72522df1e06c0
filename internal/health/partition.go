package health

import "time"

const (
	// partitionShare is the share of a region's upstreams that must look failing
	// from outside for a partition; freshPartitionShare is enough within
	// partitionDelay of the first failure, when a cut link has not yet shown at
	// all of them.
	partitionShare      = 0.5
	freshPartitionShare = 0.15
	partitionDelay      = 2 * time.Second
	// partitionHold is longer than an attempt to connect may last.
	partitionHold = 2 * time.Second
	// partitionMemory is the age up to which a failure counts for the share. It
	// covers the time between requests in quiet hours.
	partitionMemory = 10 * time.Second
	// partitionUpstreams is the least number of such upstreams.
	partitionUpstreams = 2
	// insideShare is the share of a score below which the upstream's own region
	// counts as not having contributed to it.
	insideShare = 0.1
)

// outside is what reporters outside of the upstream's region saw last, slow
// answers left aside.
type outside struct {
	since    time.Time // start of the failures without a success between them; zero: none
	failedAt time.Time // the latest of them
	insideAt time.Time // latest failure seen inside the region
}

// noteSide takes note of a report for the recognition of a cut link.
func (e *Engine) noteSide(u *upstream, r report) {
	o := &u.outside
	switch inside := e.regionOf(r.reporter) == u.spec.Region; {
	case inside && r.failed > 0:
		o.insideAt = e.now
	case inside:
	case r.failed > 0 && o.since.IsZero():
		o.since, o.failedAt = e.now, e.now
	case r.failed > 0:
		o.failedAt = e.now
	case r.successes > 0:
		o.since = time.Time{}
	}
}

// onlyOutside reports whether the upstream fails as seen from outside only.
func (u *upstream) onlyOutside(now time.Time) bool {
	o := u.outside
	return !o.since.IsZero() && now.Sub(o.failedAt) < partitionMemory && o.insideAt.Before(o.since)
}

// isPartition reports whether the evidence against the upstream looks like a cut
// link between regions: nobody in the upstream's own region sees it fail, and
// many upstreams of that region, of all services, fail as seen from outside.
func (e *Engine) isPartition(u *upstream) bool {
	region := u.spec.Region
	inside, outside := e.sides(u)
	if region == "" || inside >= insideShare*(inside+outside) {
		return false
	}
	if e.now.Before(e.cut[region]) {
		return true
	}
	fresh := e.now.Sub(u.worst().started) < partitionDelay
	return fresh && e.outsideCounts()[region].reaches(freshPartitionShare)
}

// outsideCount counts the upstreams of a region in service, and those that fail
// as seen from outside only.
type outsideCount struct {
	all, failing int
}

func (c outsideCount) reaches(share float64) bool {
	return c.failing >= partitionUpstreams && float64(c.failing) >= share*float64(c.all)
}

func (e *Engine) outsideCounts() map[string]outsideCount {
	counts := map[string]outsideCount{}
	e.eachService(func(s *service) {
		for _, u := range s.upstreams {
			if u.state != InService {
				continue
			}
			c := counts[u.spec.Region]
			c.all++
			if u.onlyOutside(e.now) {
				c.failing++
			}
			counts[u.spec.Region] = c
		}
	})
	return counts
}

// updateCuts takes regions as cut off from which most upstreams fail as seen from
// outside only, and for partitionHold more: attempts that began during a cut
// still fail after its end.
func (e *Engine) updateCuts() {
	for region, c := range e.outsideCounts() {
		if c.reaches(partitionShare) {
			e.cut[region] = e.now.Add(partitionHold)
		}
	}
	for region, until := range e.cut {
		if !e.now.Before(until) {
			delete(e.cut, region)
		}
	}
}

// sides returns what reporters inside and outside of the upstream's region
// contributed to its scores.
func (e *Engine) sides(u *upstream) (inside, outside float64) {
	for _, sc := range []*score{&u.failed, &u.slow} {
		for _, name := range sc.reporterNames() {
			share := sc.reporters[name] * sc.scale
			if e.regionOf(name) == u.spec.Region {
				inside += share
			} else {
				outside += share
			}
		}
	}
	return inside, outside
}

func (e *Engine) regionOf(reporter string) string {
	if reporter == e.config.Instance {
		return e.config.Region
	}
	if p := e.peers[reporter]; p != nil {
		return p.region
	}
	return ""
}
