package configcheck

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"knapweedreel/internal/account"
	"knapweedreel/internal/catalog"
)

// Kind is the kind of a difference.
type Kind string

// The kinds of differences.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Difference is an entry that differs between two versions.
type Difference struct {
	Kind   Kind
	Place  Place // without field
	Fields []FieldChange
}

// FieldChange is a field that differs.
type FieldChange struct {
	Field    Field
	Old, New string
}

// Compare returns what differs between the version in force, nil for none, and an
// updated one, ordered by place. The findings say whether instances would ignore
// the update. Keys of accounts are counted only.
func Compare(inForce, updated *catalog.Configuration) ([]Difference, []Finding) {
	if inForce == nil {
		inForce = &catalog.Configuration{}
	}
	var d differences
	compareMaps(&d, Routes, byName(inForce), byName(updated), routeFields)
	compareMaps(&d, Services, inForce.Services, updated.Services, func(s catalog.Service) fields {
		return fields{{Connections, strconv.Itoa(s.Connections)}}
	})
	compareAccounts(&d, inForce.Accounts, updated.Accounts)
	d.change(Place{Section: Limits}, limitFields(inForce.Limits), limitFields(updated.Limits))
	var findings []Finding
	version := Place{Section: Whole, Field: Version}
	if old := inForce.Version; updated.Version < old || updated.Version == old && len(d) > 0 {
		findings = append(findings, Finding{Error, VersionNotHigher, version,
			fmt.Sprintf("version %d is not above %d, the one in force, so that the instances ignore the configuration", updated.Version, old)})
	}
	slices.SortStableFunc(d, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(slices.Index(sections, a.Place.Section), slices.Index(sections, b.Place.Section)), cmp.Compare(a.Place.Name, b.Place.Name))
	})
	return d, findings
}

// fields are the fields of an entry, in the same order for all entries of a
// section.
type fields []struct {
	field Field
	value string
}

type differences []Difference

// change records the fields that differ, if any.
func (d *differences) change(place Place, old, updated fields) {
	var changed []FieldChange
	for i := range old {
		if old[i].value != updated[i].value {
			changed = append(changed, FieldChange{old[i].field, old[i].value, updated[i].value})
		}
	}
	if len(changed) > 0 {
		*d = append(*d, Difference{Changed, place, changed})
	}
}

// compareMaps compares the entries of a section.
func compareMaps[E any](d *differences, section Section, old, updated map[string]E, fieldsOf func(E) fields) {
	for name, before := range old {
		if after, ok := updated[name]; !ok {
			*d = append(*d, Difference{Kind: Removed, Place: Place{Section: section, Name: name}})
		} else if !reflect.DeepEqual(before, after) {
			d.change(Place{Section: section, Name: name}, fieldsOf(before), fieldsOf(after))
		}
	}
	for name := range updated {
		if _, ok := old[name]; !ok {
			*d = append(*d, Difference{Kind: Added, Place: Place{Section: section, Name: name}})
		}
	}
}

func byName(c *catalog.Configuration) map[string]*catalog.Route {
	routes := make(map[string]*catalog.Route, len(c.Routes))
	for i := range c.Routes {
		routes[c.Routes[i].Name] = &c.Routes[i]
	}
	return routes
}

func routeFields(r *catalog.Route) fields {
	parts := make([]string, len(r.Split))
	for i, p := range r.Split {
		parts[i] = fmt.Sprintf("%s:%d", p.Service, p.Weight)
	}
	idempotent := "not idempotent"
	if r.Rule.Idempotent {
		idempotent = "idempotent"
	}
	return fields{
		{Host, r.Host}, {Prefix, prefixOf(r)}, {Idempotent, idempotent},
		{Deadline, milliseconds(r.Rule.DeadlineMS)}, {Objective, milliseconds(r.Rule.ObjectiveMS)},
		{Priority, strconv.Itoa(r.Rule.Priority)}, {Attempts, strconv.Itoa(attemptsOf(r))},
		{Public, strconv.FormatBool(r.Public)}, {Split, strings.Join(parts, ",")},
	}
}

// limitFields returns the limits; those of 0 are empty.
func limitFields(l catalog.Limits) fields {
	number := func(n int64) string {
		if n == 0 {
			return ""
		}
		return strconv.FormatInt(n, 10)
	}
	duration := func(d time.Duration) string {
		if d == 0 {
			return ""
		}
		return d.String()
	}
	return fields{
		{HeaderBytes, number(int64(l.HeaderBytes))}, {BodyBytes, number(l.BodyBytes)},
		{HeaderTimeout, duration(l.HeaderTimeout)}, {IdleTimeout, duration(l.IdleTimeout)},
	}
}

// accountEntry is an account with a description of its keys, which differs between
// two versions if the keys do.
type accountEntry struct {
	*account.Account
	keys string
}

func compareAccounts(d *differences, old, updated *account.Set) {
	keys := account.CompareKeys(old, updated)
	before := accountEntries(old, func(name string) string { return keyText(keys[name].Kept, keys[name].Removed, "removed") })
	after := accountEntries(updated, func(name string) string { return keyText(keys[name].Kept, keys[name].Added, "added") })
	compareMaps(d, Accounts, before, after, func(a accountEntry) fields {
		priority := "" // that of the route
		if a.Priority != nil {
			priority = strconv.Itoa(*a.Priority)
		}
		return fields{{Keys, a.keys}, {Priority, priority}, {Rate, formatNumber(a.Rate)}, {Burst, formatNumber(a.Burst)}}
	})
}

// keyText returns the number of an account's keys, and how many of them the other
// version doesn't have.
func keyText(kept, others int, what string) string {
	if others == 0 {
		return strconv.Itoa(kept)
	}
	return fmt.Sprintf("%d (%d %s)", kept+others, others, what)
}

func accountEntries(s *account.Set, keys func(name string) string) map[string]accountEntry {
	entries := make(map[string]accountEntry)
	if s != nil {
		for a := range s.All() {
			entries[a.Name] = accountEntry{a, keys(a.Name)}
		}
	}
	return entries
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'g', -1, 64) }
