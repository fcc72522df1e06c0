package entry

// Shares of a service's requests that bound its further attempts.
const (
	retryShare   = 0.10 // attempts after a request that may have been run
	refusalShare = 0.20 // attempts after a refusal or before anything was sent
	probeShare   = 0.05 // requests to upstreams in probation
)

// Reserves let services with few requests retry. They are spent once and
// earned back with the shares above.
const (
	retryReserve   = 5
	refusalReserve = 10
)

// Parts of the fleet's reserve of retries.
const (
	// servingFactor makes room for callers that move from some instances to
	// others, where the reserve is still whole.
	servingFactor = 2
	// minServing is the number of instances among which the reserve is divided
	// at least: as many as serve callers of three regions at low load, with
	// room for moves.
	minServing = 12
)

// reserve returns this instance's part of the fleet's reserve of retries, if
// callers are spread among the given number of instances. Below 1 it has to be
// completed by the share of requests before the first retry.
func (p *Placement) reserve(serving int) float64 {
	return p.RetryReserve / float64(max(minServing, servingFactor*serving))
}

// bucket is a token bucket that earns a share of a token with each request.
type bucket struct {
	tokens, share, limit float64
}

func newBucket(share, tokens, limit float64) bucket {
	return bucket{tokens: tokens, share: share, limit: limit}
}

func (b *bucket) earn() { b.tokens = min(b.limit, b.tokens+b.share) }

// spend takes a token, and returns false when there is none.
func (b *bucket) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
