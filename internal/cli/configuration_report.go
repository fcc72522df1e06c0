package cli

import (
	"fmt"
	"io"
	"strings"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/configcheck"
	"knapweedreel/platform"
)

// configurationReport is the printed result of a check.
type configurationReport struct {
	File     string                 `json:"file"`
	Version  uint64                 `json:"version,omitempty"` // 0 if the configuration cannot be read
	Errors   int                    `json:"errors"`
	Warnings int                    `json:"warnings"`
	Notes    int                    `json:"notes"`
	Findings []configurationFinding `json:"findings"`
	Against  *configurationChanges  `json:"against,omitempty"`
}

type configurationFinding struct {
	Severity configcheck.Severity `json:"severity"`
	Rule     configcheck.Rule     `json:"rule"`
	Line     int                  `json:"line,omitempty"` // first line is 1; 0 if unknown
	Place    string               `json:"place,omitempty"`
	Message  string               `json:"message"`
}

// configurationChanges is what a configuration changes.
type configurationChanges struct {
	Source      string                    `json:"source"`
	Version     uint64                    `json:"version"` // 0 if there is none
	Differences []configurationDifference `json:"differences"`
}

type configurationDifference struct {
	Kind   configcheck.Kind     `json:"kind"`
	Place  string               `json:"place"`
	Fields []configurationField `json:"fields,omitempty"`
}

type configurationField struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

func newConfigurationReport(file string, checked *platform.CheckedConfiguration) *configurationReport {
	r := &configurationReport{File: file, Findings: []configurationFinding{}}
	if checked.Configuration != nil {
		r.Version = checked.Configuration.Version
	}
	for _, f := range checked.Findings {
		switch f.Severity {
		case configcheck.Error:
			r.Errors++
		case configcheck.Warning:
			r.Warnings++
		case configcheck.Note:
			r.Notes++
		}
		r.Findings = append(r.Findings, configurationFinding{
			Severity: f.Severity, Rule: f.Rule, Line: checked.Line(f.Place), Place: platform.PlaceName(f.Place), Message: f.Message,
		})
	}
	return r
}

// compare adds what differs from the version in force, nil for none.
func (r *configurationReport) compare(source string, inForce *catalog.Configuration, differences []configcheck.Difference) {
	r.Against = &configurationChanges{Source: source, Differences: []configurationDifference{}}
	if inForce != nil {
		r.Against.Version = inForce.Version
	}
	for _, d := range differences {
		printed := configurationDifference{Kind: d.Kind, Place: platform.PlaceName(d.Place)}
		for _, f := range d.Fields {
			printed.Fields = append(printed.Fields, configurationField{platform.FieldName(f.Field), f.Old, f.New})
		}
		r.Against.Differences = append(r.Against.Differences, printed)
	}
}

// text returns the finding as "file:line: severity: place: message (rule)".
func (f configurationFinding) text(file string) string {
	start := file
	if f.Line > 0 {
		start = fmt.Sprintf("%s:%d", file, f.Line)
	}
	place := ""
	if f.Place != "" {
		place = f.Place + ": "
	}
	return fmt.Sprintf("%s: %s: %s%s (%s)", start, f.Severity, place, f.Message, f.Rule)
}

// write writes the report as text: one line for each finding and difference, and a
// last one with their numbers.
func (r *configurationReport) write(w io.Writer) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f.text(r.File))
	}
	if r.Against != nil {
		for _, d := range r.Against.Differences {
			var fields strings.Builder
			for _, f := range d.Fields {
				fmt.Fprintf(&fields, " %s=%q->%q", f.Field, f.Old, f.New)
			}
			fmt.Fprintf(w, "%s %s%s\n", d.Kind, d.Place, fields.String())
		}
	}
	fmt.Fprintf(w, "version=%d errors=%d warnings=%d notes=%d", r.Version, r.Errors, r.Warnings, r.Notes)
	if r.Against != nil {
		fmt.Fprintf(w, " in_force=%d differences=%d", r.Against.Version, len(r.Against.Differences))
	}
	fmt.Fprintln(w)
}
