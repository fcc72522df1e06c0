package entry

// Budgets as shares of a service's requests.
const (
	retryShare   = 0.10 // retries of requests that may have been run
	refusalShare = 0.20 // retries after a refusal, or if nothing was sent
	probeShare   = 0.05 // requests to upstreams in probation
)

// Initial budgets, which let services with few requests retry. Once spent, they
// are earned back at the shares above.
const (
	retryReserve   = 5
	refusalReserve = 10
)

// Division of the fleet's retry reserve among instances.
const (
	// servingFactor allows for callers that move to other instances, whose
	// reserve is still unspent.
	servingFactor = 2
	// minServing is the minimum number of instances among which the reserve is
	// divided: the number that serves callers of three regions at low load, with
	// an allowance for callers that move.
	minServing = 12
)

// reserve returns this instance's part of the fleet's retry reserve when callers
// are spread among the given number of instances. If it is below 1, the first
// retry has to wait until requests have earned the rest of a token.
func (p *Placement) reserve(serving int) float64 {
	return p.RetryReserve / float64(max(minServing, servingFactor*serving))
}

// tokenBucket earns a fraction of a token with each request.
type tokenBucket struct {
	tokens, share, limit float64
}

func newTokenBucket(share, tokens, limit float64) tokenBucket {
	return tokenBucket{tokens: tokens, share: share, limit: limit}
}

func (b *tokenBucket) earn() { b.tokens = min(b.limit, b.tokens+b.share) }

// spend takes a token and reports whether there was one.
func (b *tokenBucket) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
