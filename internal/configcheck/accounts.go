package configcheck

import (
	"slices"

	"knapweedreel/internal/catalog"
)

// checkAccounts finds accounts that nobody can use, and limits of accounts that
// contradict each other.
func (l *linter) checkAccounts() {
	accounts := l.configuration.Accounts
	if accounts == nil {
		return
	}
	keys := accounts.KeyCounts()
	withKeys := 0
	for a := range accounts.All() {
		if keys[a.Name] == 0 {
			l.add(Warning, NoKeys, Place{Accounts, a.Name, Keys}, "the account has no keys, so nobody can use it")
		} else {
			withKeys++
		}
		switch {
		case a.Rate == 0 && a.Burst > 0:
			l.add(Warning, BurstUnused, Place{Accounts, a.Name, Burst}, "the account has a burst of %g but no rate, so it has no limit at all", a.Burst)
		case a.Rate > 0 && a.Rate < 1:
			l.add(Warning, BelowOneRequest, Place{Accounts, a.Name, Rate}, "the rate of %g allows less than one request per second", a.Rate)
		}
		if a.Rate > 0 && a.Burst < 1 {
			l.add(Warning, BelowOneRequest, Place{Accounts, a.Name, Burst}, "the burst of %g is less than one request; only the tolerance of the limits lets any through", a.Burst)
		}
	}
	routes := l.configuration.Routes
	private := slices.IndexFunc(routes, func(r catalog.Route) bool { return !r.Public }) >= 0
	switch {
	case private && withKeys == 0:
		l.add(Error, NoKeys, Place{Section: Accounts}, "no account has a key, so that every request to a route that is not public is refused")
	case !private && len(routes) > 0 && withKeys > 0:
		l.add(Note, KeysUnused, Place{Section: Accounts}, "all routes are public, so that requests need no keys")
	}
}
