package settings

import (
	"slices"
	"testing"
	"time"

	"knapweedreel/internal/jsonc"
)

// Guards against a tolerance of 0 that is replaced by the default, and against
// missing defaults.
func TestQuotaDefaults(t *testing.T) {
	zero := 0.0
	s := Settings{Platform: &Platform{QuotaOverage: &zero}}
	s.Normalize()
	s.Normalize()
	p := s.Platform
	if p.QuotaWindowTime() != 5*time.Second || *p.QuotaOverage != 0 || *p.QuotaSlack != 20 {
		t.Errorf("%v, %v, %v", p.QuotaWindow, *p.QuotaOverage, *p.QuotaSlack)
	}
}

// Guards against tolerances that would disable the limits of accounts or make the
// limiter fail.
func TestUnsoundQuotaSettingsAreReported(t *testing.T) {
	negative, huge := -0.1, 1e300
	for field, p := range map[string]Platform{
		"platform.quota_window":  {QuotaWindow: "5"},
		"platform.quota_overage": {QuotaOverage: &negative},
		"platform.quota_slack":   {QuotaSlack: &huge},
	} {
		p.normalize()
		problems := new(jsonc.Problems)
		p.validate(problems)
		if !slices.ContainsFunc(*problems, func(problem jsonc.Problem) bool { return problem.Field == field }) {
			t.Errorf("%s: %v", field, *problems)
		}
	}
}
