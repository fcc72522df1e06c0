package settings

import (
	"encoding/json"
	"os"
	"regexp"
	"slices"
	"strings"
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

// Guards against a template that is not valid, or doesn't lead to the defaults,
// where the platform doesn't set the tolerances.
func TestDeployTemplateWithAndWithoutQuotas(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]any{
		"node": "i1", "region": "south", "zone": "s1", "listen.front": "127.0.0.1:1", "ip": "127.0.0.1", "internalPorts.0": 2, "provider.address": "127.0.0.1:3",
		"listen.ready": "127.0.0.1:4", "listen.directory": "127.0.0.1:5", "zones": map[string]string{"s1": "south"}, "limits.cpuShare": 0.3, "limits.memoryMb": 284,
		"limits.linkMbps": 10, "limits.maxFds": 4100, "bounds.retryBudgetRatio": 0.2, "bounds.retryBudgetSlack": 56, "bounds.grace": "6s",
	}
	for _, with := range []bool{false, true} {
		window, overage, slack := 5*time.Second, 0.1, 20.0
		if with {
			window, overage, slack = 10*time.Second, 0.25, 7
			values["bounds.quotaWindow"], values["bounds.quotaOverage"], values["bounds.quotaSlack"] = "10s", overage, slack
		}
		text := regexp.MustCompile(`\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`).ReplaceAllStringFunc(string(template), func(section string) string {
			name, content, _ := strings.Cut(strings.TrimPrefix(section, "{{#"), "}}")
			if _, ok := values[name]; !ok {
				return ""
			}
			return strings.TrimSuffix(content, "{{/"+name+"}}")
		})
		text = regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(text, func(field string) string {
			name, isJSON := strings.CutSuffix(strings.Trim(field, "{}"), "|json")
			v, ok := values[name]
			if !ok {
				t.Fatalf("unknown field %s", name)
			}
			out, err := json.Marshal(v)
			if err != nil {
				t.Fatal(err)
			}
			if isJSON {
				return string(out)
			}
			return strings.Trim(string(out), `"`)
		})
		path := t.TempDir() + "/settings.jsonc"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Load(path)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if p := s.Platform; p.QuotaWindowTime() != window || *p.QuotaOverage != overage || *p.QuotaSlack != slack {
			t.Errorf("%s, %v, %v", p.QuotaWindow, *p.QuotaOverage, *p.QuotaSlack)
		}
	}
}
