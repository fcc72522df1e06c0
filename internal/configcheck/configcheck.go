// Package configcheck finds mistakes in a configuration, and what differs between
// two versions of it. It does no I/O. Texts contain no keys of client accounts.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"knapweedreel/internal/catalog"
)

// Severity is how much a finding matters.
type Severity string

// The severities, most severe first.
const (
	// Error means that the instances reject the configuration, or that requests
	// or accounts cannot be served as written.
	Error Severity = "error"
	// Warning means that a part of the configuration has no effect, or another one
	// than it seems to have.
	Warning Severity = "warning"
	// Note means that a part has no effect but does no harm.
	Note Severity = "note"
)

// Section is a part of a configuration.
type Section string

// The sections.
const (
	Whole    Section = "configuration"
	Routes   Section = "routes"
	Services Section = "services"
	Accounts Section = "accounts"
	Limits   Section = "limits"
)

// sections is the order of sections in reports.
var sections = []Section{Whole, Routes, Services, Accounts, Limits}

// Field is a field of a section or of an entry of it.
type Field string

// The fields.
const (
	Version       Field = "version"
	Host          Field = "host"
	Prefix        Field = "prefix"
	Idempotent    Field = "idempotent"
	Deadline      Field = "deadline"
	Objective     Field = "objective"
	Priority      Field = "priority"
	Attempts      Field = "attempts"
	Public        Field = "public"
	Service       Field = "service" // the only one of a route
	Split         Field = "split"
	Connections   Field = "connections"
	Keys          Field = "keys"
	Rate          Field = "rate"
	Burst         Field = "burst"
	HeaderBytes   Field = "header_bytes"
	BodyBytes     Field = "body_bytes"
	HeaderTimeout Field = "header_timeout"
	IdleTimeout   Field = "idle_timeout"
)

// Place is what a finding is about.
type Place struct {
	Section Section
	Name    string // of the entry, empty for the section
	Field   Field  // empty for the whole entry
}

// Finding is a mistake in a configuration.
type Finding struct {
	Severity Severity
	Rule     Rule
	Place    Place
	Message  string
}

// Rule identifies a kind of finding.
type Rule string

// The rules.
const (
	Unreadable        Rule = "unreadable"         // the instances reject the configuration
	Duplicate         Rule = "duplicate"          // an entry occurs twice
	VersionNotHigher  Rule = "version-not-higher" // the instances ignore the configuration
	UnmatchableHost   Rule = "unmatchable-host"
	UnmatchablePrefix Rule = "unmatchable-prefix"
	OpenPrefix        Rule = "open-prefix" // also matches longer names
	Shadowed          Rule = "shadowed"    // another route gets all requests
	UndefinedService  Rule = "undefined-service"
	UnusedService     Rule = "unused-service"
	NoWeight          Rule = "no-weight"
	RepeatedPart      Rule = "repeated-part" // a service that occurs twice in a split
	NoDeadline        Rule = "no-deadline"
	LateObjective     Rule = "late-objective"
	ManyAttempts      Rule = "many-attempts"
	PriorityUnused    Rule = "priority-unused"
	Negative          Rule = "negative"
	NoKeys            Rule = "no-keys"
	KeysUnused        Rule = "keys-unused"
	BurstUnused       Rule = "burst-unused"
	BelowOneRequest   Rule = "below-one-request"
	OverSettings      Rule = "over-settings"
	ShortIdle         Rule = "short-idle"
	DefaultApplies    Rule = "default-applies"
)

// Bounds are what the settings of the instances allow. A bound of 0 is not
// checked.
type Bounds struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	// RetryReserve is the number of retries that the fleet may make at once.
	RetryReserve int
}

// maxBodyBytes is the largest body limit that a document of a service may have. A
// larger one is a mistake, too.
const maxBodyBytes = 1 << 40

// Check returns the findings of a configuration, ordered by place. It reads each
// entry a constant number of times.
func Check(c *catalog.Configuration, b Bounds) []Finding {
	l := &linter{configuration: c, bounds: b}
	l.checkRoutes()
	l.checkServices()
	l.checkAccounts()
	l.checkLimits()
	Sort(l.findings)
	return l.findings
}

// Sort orders findings by section, name, severity, field and rule.
func Sort(findings []Finding) {
	severities := []Severity{Error, Warning, Note}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(slices.Index(sections, a.Place.Section), slices.Index(sections, b.Place.Section)),
			cmp.Compare(a.Place.Name, b.Place.Name),
			cmp.Compare(slices.Index(severities, a.Severity), slices.Index(severities, b.Severity)),
			cmp.Compare(a.Place.Field, b.Place.Field), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Message, b.Message))
	})
}

// linter collects the findings of a configuration.
type linter struct {
	configuration *catalog.Configuration
	bounds        Bounds
	findings      []Finding
}

func (l *linter) add(severity Severity, rule Rule, place Place, format string, args ...any) {
	l.findings = append(l.findings, Finding{Severity: severity, Rule: rule, Place: place, Message: fmt.Sprintf(format, args...)})
}

// milliseconds formats a number of milliseconds as a duration.
func milliseconds(ms int) string { return (time.Duration(ms) * time.Millisecond).String() }
