package health

import "time"

const (
	// partitionShare is the share of a region's upstreams that must fail only for
	// remote reporters to assume a partition. earlyPartitionShare is enough
	// within earlyPartitionTime of the first failure, before a partition is visible
	// at all of them.
	partitionShare      = 0.5
	earlyPartitionShare = 0.15
	earlyPartitionTime  = 2 * time.Second
	// partitionHold is how long a partition is assumed after the last sign of it.
	// It exceeds the connect timeout.
	partitionHold = 2 * time.Second
	// partitionWindow is the maximum age of failures that count for these shares.
	// It covers the time between requests during low traffic.
	partitionWindow = 10 * time.Second
	// partitionUpstreams is the minimum number of upstreams that must fail only
	// for remote reporters.
	partitionUpstreams = 2
	// minLocalShare is the share of a score below which the contribution of
	// reporters in the upstream's region is ignored.
	minLocalShare = 0.1
)

// remoteFailures tracks the latest failures that reporters outside the upstream's
// region observed, excluding slow responses.
type remoteFailures struct {
	since         time.Time // first failure since the last success; zero: none
	failedAt      time.Time // latest failure
	localFailedAt time.Time // latest failure seen by a reporter in the region
}

// recordByRegion updates the upstream's remoteFailures from a report.
func (e *Engine) recordByRegion(u *upstream, r report) {
	f := &u.remoteFailures
	switch local := e.regionOf(r.reporter) == u.spec.Region; {
	case local && r.failed > 0:
		f.localFailedAt = e.now
	case local:
	case r.failed > 0 && f.since.IsZero():
		f.since, f.failedAt = e.now, e.now
	case r.failed > 0:
		f.failedAt = e.now
	case r.successes > 0:
		f.since = time.Time{}
	}
}

// failsOnlyRemotely reports whether only remote reporters see the upstream fail.
func (u *upstream) failsOnlyRemotely(now time.Time) bool {
	f := u.remoteFailures
	return !f.since.IsZero() && now.Sub(f.failedAt) < partitionWindow && f.localFailedAt.Before(f.since)
}

// isPartition reports whether the evidence against the upstream looks like a
// network partition between regions: no reporter in the upstream's region sees it
// fail, and many upstreams of that region, of all services, fail for remote
// reporters.
func (e *Engine) isPartition(u *upstream) bool {
	region := u.spec.Region
	local, remote := e.scoreByRegion(u)
	if region == "" || local >= minLocalShare*(local+remote) {
		return false
	}
	if e.now.Before(e.partitionedUntil[region]) {
		return true
	}
	early := e.now.Sub(u.worst().started) < earlyPartitionTime
	return early && e.regionCounts()[region].reaches(earlyPartitionShare)
}

// regionCount counts a region's upstreams in service, and those among them that
// only remote reporters see fail.
type regionCount struct {
	all, failing int
}

func (c regionCount) reaches(share float64) bool {
	return c.failing >= partitionUpstreams && float64(c.failing) >= share*float64(c.all)
}

func (e *Engine) regionCounts() map[string]regionCount {
	counts := map[string]regionCount{}
	e.eachService(func(s *service) {
		for _, u := range s.upstreams {
			if u.state != InService {
				continue
			}
			c := counts[u.spec.Region]
			c.all++
			if u.failsOnlyRemotely(e.now) {
				c.failing++
			}
			counts[u.spec.Region] = c
		}
	})
	return counts
}

// updatePartitions marks regions as partitioned if at least partitionShare of
// their upstreams fail only for remote reporters. The mark is kept for
// partitionHold, since attempts that began during a partition still fail after
// its end.
func (e *Engine) updatePartitions() {
	for region, c := range e.regionCounts() {
		if c.reaches(partitionShare) {
			e.partitionedUntil[region] = e.now.Add(partitionHold)
		}
	}
	for region, until := range e.partitionedUntil {
		if !e.now.Before(until) {
			delete(e.partitionedUntil, region)
		}
	}
}

// scoreByRegion returns the contributions to the upstream's scores by reporters
// in its region and by remote ones.
func (e *Engine) scoreByRegion(u *upstream) (local, remote float64) {
	for _, sc := range []*score{&u.failed, &u.slow} {
		for _, name := range sc.reporterNames() {
			share := sc.reporters[name] * sc.scale
			if e.regionOf(name) == u.spec.Region {
				local += share
			} else {
				remote += share
			}
		}
	}
	return local, remote
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
