package entry

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"

	"knapweedreel/internal/account"
)

// Guards against metrics whose number grows with the accounts, or with the versions
// of the configuration, and against requests that are counted nowhere.
func TestAccountMetricsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newQuotaMetrics(scope)
	requests := 0
	for version := range 20 {
		var definitions []account.Definition
		for i := range 100 {
			definitions = append(definitions, account.Definition{Account: account.Account{Name: fmt.Sprintf("a-%d-%d", version, i), Rate: float64(i + 1)}})
		}
		set, err := account.NewSet(definitions, uint64(version)+1)
		if err != nil {
			t.Fatal(err)
		}
		m.list(set)
		for i := range 100 {
			m.request(fmt.Sprintf("a-%d-%d", version, i), i%2 == 0)
			requests++
		}
	}
	m.list(nil)
	m.request("a-0-99", false)
	requests++
	series, counted := 0, int64(0)
	for _, c := range scope.Snapshot().Counters() {
		if name := c.Name(); name == "quota_admitted" || name == "quota_refused" {
			series++
			counted += c.Value()
		}
	}
	if series > 2*(maxNamedAccounts+1) || counted != int64(requests) {
		t.Errorf("%d series with %d of %d requests", series, counted, requests)
	}
	if c := scope.Snapshot().Counters()["quota_refused+account=a-0-99"]; c == nil || c.Value() != 1 {
		t.Errorf("counter of the largest account: %+v", c)
	}
}
