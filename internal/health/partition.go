package health

import "time"

const (
	// partitionShare is the share of a region's upstreams that must look failing
	// from outside for a partition; freshPartitionShare is enough within
	// partitionDelay of the first failure, when a cut link has not yet shown at
	// all of them.
	partitionShare      = 0.5
	freshPartitionShare = 0.2
	partitionDelay      = 2 * time.Second
	// partitionUpstreams is the least number of such upstreams.
	partitionUpstreams = 2
	// insideShare is the share of a score below which the upstream's own region
	// counts as not having contributed to it.
	insideShare = 0.1
)

// isPartition reports whether the evidence against the upstream looks like a cut
// link between regions: nobody in the upstream's own region sees it fail, and
// most upstreams of that region, of all services, fail as seen from outside.
func (e *Engine) isPartition(u *upstream) bool {
	region := u.spec.Region
	inside, outside := e.sides(u)
	if region == "" || inside >= insideShare*(inside+outside) {
		return false
	}
	all, failing := 0, 0
	e.eachService(func(s *service) {
		for _, o := range s.upstreams {
			if o.spec.Region != region || o.state != InService {
				continue
			}
			all++
			if in, out := e.sides(o); out >= freshScore && in < insideShare*(in+out) {
				failing++
			}
		}
	})
	share := partitionShare
	if e.now.Sub(u.worst().started) < partitionDelay {
		share = freshPartitionShare
	}
	return failing >= partitionUpstreams && float64(failing) >= share*float64(all)
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
