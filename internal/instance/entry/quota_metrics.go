package entry

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"knapweedreel/internal/account"
)

// quotaMetrics are the metrics of the limits of accounts. Accounts with high
// limits have counters of their own, the others are summed.
type quotaMetrics struct {
	scope                      tally.Scope
	waits                      tally.Counter
	accounts                   tally.Gauge
	tokensReceived, tokensLent tally.Counter

	mu     sync.RWMutex
	set    *account.Set // from which listed was chosen
	listed map[string]accountCounters
	named  map[string]accountCounters // all accounts that were ever listed
	others accountCounters
}

// accountCounters count the requests of accounts with a limit.
type accountCounters struct{ admitted, refused tally.Counter }

const (
	// listedAccounts is the number of accounts with counters of their own.
	listedAccounts = 16
	// maxNamedAccounts bounds the accounts that are ever listed, because counters
	// remain until the process ends.
	maxNamedAccounts = 4 * listedAccounts
	// otherAccounts is the label of the sum of the accounts that are not listed.
	otherAccounts = "others"
)

func newQuotaMetrics(scope tally.Scope) *quotaMetrics {
	m := &quotaMetrics{
		scope: scope, waits: scope.Counter("quota_waits"), accounts: scope.Gauge("quota_accounts"),
		tokensReceived: scope.Counter("quota_tokens_received"), tokensLent: scope.Counter("quota_tokens_lent"),
		named: make(map[string]accountCounters),
	}
	m.others = m.counters(otherAccounts)
	return m
}

func (m *quotaMetrics) counters(name string) accountCounters {
	sc := m.scope.Tagged(map[string]string{"account": name})
	return accountCounters{admitted: sc.Counter("quota_admitted"), refused: sc.Counter("quota_refused")}
}

// list chooses the accounts with counters of their own from a changed set, which
// may be nil.
func (m *quotaMetrics) list(set *account.Set) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if set == m.set {
		return
	}
	m.set, m.listed = set, make(map[string]accountCounters)
	if set == nil {
		return
	}
	for _, name := range set.Largest(listedAccounts) {
		c, ok := m.named[name]
		if !ok {
			if len(m.named) >= maxNamedAccounts {
				continue
			}
			c = m.counters(name)
			m.named[name] = c
		}
		m.listed[name] = c
	}
}

// request counts a request of an account with a limit.
func (m *quotaMetrics) request(name string, admitted bool) {
	m.mu.RLock()
	c, ok := m.listed[name]
	m.mu.RUnlock()
	if !ok {
		c = m.others
	}
	if admitted {
		c.admitted.Inc(1)
	} else {
		c.refused.Inc(1)
	}
}
