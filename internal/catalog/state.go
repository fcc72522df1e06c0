package catalog

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"knapweedreel/internal/routing"
)

// ReturnGrace is the time after the store's return for which an upstream whose
// entry has lapsed meanwhile is still used. The platform promises that the
// entries of living upstreams are back within about two seconds.
const ReturnGrace = 2 * time.Second

// memberGrace is the time for which a vanished member is still named to callers
// when too few others are left.
const memberGrace = 10 * time.Second

// Catalog is what is known of the store's content. It is not safe for
// concurrent use.
type Catalog struct {
	configuration *Configuration
	upstreams     map[string]*upstreamEntry
	members       map[string]*memberEntry
	directory     *Directory // of the members, nil after a change
	// services are the upstreams of each service as of the latest snapshot, in
	// the order of their IDs, but for those that have changed since.
	services map[string][]routing.Upstream
	key      []byte
	loaded   bool
	lost     bool      // the store cannot be reached
	returned time.Time // when it was reached again, zero if it was never lost
}

type upstreamEntry struct {
	Upstream
	coldUntil time.Time // until when it is slow after its start, zero if it is not
	missing   time.Time // its entry vanished while the store was away, zero if it is there
}

type memberEntry struct {
	Member
	vanished time.Time // zero while registered
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		upstreams: make(map[string]*upstreamEntry), members: make(map[string]*memberEntry),
		services: make(map[string][]routing.Upstream),
	}
}

// Event is a change of what the instance believes, for the log.
type Event struct {
	Name     string // such as "upstream_leaving"
	ID       string
	Detail   string
	Revision uint64 // of the store
}

// event tells of an upstream. The revision is 0 for what the store has not told.
func (u *Upstream) event(name string, revision uint64) Event {
	return Event{Name: name, ID: u.ID, Detail: u.Service + " " + u.Address, Revision: revision}
}

// Lost notes that the store cannot be reached.
func (c *Catalog) Lost() { c.lost = true }

// Reached notes that the store can be reached. After a loss, entries that
// vanished meanwhile get ReturnGrace to come back.
func (c *Catalog) Reached(now time.Time) {
	if c.lost {
		c.returned = now
	}
	c.lost = false
}

// Continued notes that all changes since the last one are known, from a relay
// that the store has served all the while. Entries that vanished meanwhile are
// gone: only this instance was away. A grace that has begun with the store's
// return goes on.
func (c *Catalog) Continued() {
	if c.lost {
		c.lost, c.returned = false, time.Time{}
	}
}

// Reset takes in the whole content of the store.
func (c *Catalog) Reset(all []Change, now time.Time) []Event {
	seen := make(map[Kind]map[string]bool)
	var events []Event
	for i := range all {
		ch := &all[i]
		if seen[ch.Kind] == nil {
			seen[ch.Kind] = make(map[string]bool)
		}
		seen[ch.Kind][ch.ID] = true
		events = append(events, c.Apply(ch, now)...)
	}
	for _, id := range slices.Sorted(maps.Keys(c.upstreams)) {
		if !seen[KindUpstream][id] {
			events = append(events, c.Apply(&Change{Kind: KindUpstream, ID: id, Removed: true}, now)...)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		if !seen[KindMember][id] {
			events = append(events, c.Apply(&Change{Kind: KindMember, ID: id, Removed: true}, now)...)
		}
	}
	c.loaded = true
	return events
}

// Apply takes in one change and returns what the instance believes anew.
func (c *Catalog) Apply(ch *Change, now time.Time) []Event {
	switch {
	case ch.Unreadable != nil:
		events := []Event{{Name: "entry_unreadable", ID: ch.ID, Detail: string(ch.Kind) + ": " + ch.Unreadable.Error(), Revision: ch.Revision}}
		if ch.Kind == KindUpstream {
			// The entry no longer vouches for the upstream.
			events = append(events, c.removeUpstream(ch, now)...)
		}
		return events
	case ch.Kind == KindConfiguration:
		return c.applyConfiguration(ch)
	case ch.Kind == KindUpstream && ch.Removed:
		return c.removeUpstream(ch, now)
	case ch.Kind == KindUpstream:
		return c.putUpstream(ch, now)
	case ch.Kind == KindKey:
		return c.putKey(ch)
	case ch.Kind == KindMember && ch.Removed:
		return c.removeMember(ch, now)
	case ch.Kind == KindMember:
		return c.putMember(ch)
	}
	return nil
}

func (c *Catalog) applyConfiguration(ch *Change) []Event {
	next := ch.Configuration
	if next == nil {
		return []Event{{Name: "configuration_removed", Detail: "the last one stays in force", Revision: ch.Revision}}
	}
	if c.configuration != nil && next.Version <= c.configuration.Version {
		if next.Version == c.configuration.Version {
			return nil
		}
		return []Event{{Name: "configuration_stale", Detail: versions(c.configuration.Version, next.Version), Revision: ch.Revision}}
	}
	var old uint64
	if c.configuration != nil {
		old = c.configuration.Version
	}
	c.configuration = next
	clear(c.services)
	return []Event{{Name: "configuration_in_force", Detail: versions(old, next.Version), Revision: ch.Revision}}
}

func (c *Catalog) putUpstream(ch *Change, now time.Time) []Event {
	u := ch.Upstream
	old := c.upstreams[u.ID]
	if old != nil && old.Incarnation == u.Incarnation && old.Leaving && !u.Leaving && old.Address == u.Address {
		// It cannot take its leave back.
		u.Leaving = true
	}
	next := &upstreamEntry{Upstream: *u}
	if u.ColdFor > 0 {
		next.coldUntil = now.Add(u.ColdFor)
	}
	c.upstreams[u.ID] = next
	delete(c.services, u.Service)
	if old != nil {
		delete(c.services, old.Service)
	}
	switch {
	case old == nil || old.Incarnation != u.Incarnation:
		return []Event{u.event("upstream_added", ch.Revision)}
	case u.Leaving && !old.Leaving:
		return []Event{u.event("upstream_leaving", ch.Revision)}
	case !old.missing.IsZero():
		return []Event{u.event("upstream_back", ch.Revision)}
	}
	return nil
}

// removeUpstream forgets an upstream, unless its entry may only have lapsed
// while the store was away.
func (c *Catalog) removeUpstream(ch *Change, now time.Time) []Event {
	u := c.upstreams[ch.ID]
	if u == nil || !u.missing.IsZero() {
		return nil
	}
	if !u.Leaving && c.inGrace(now) {
		u.missing = now
		return []Event{u.event("upstream_lapsed", ch.Revision)}
	}
	delete(c.upstreams, ch.ID)
	delete(c.services, u.Service)
	return []Event{u.event("upstream_gone", ch.Revision)}
}

func (c *Catalog) inGrace(now time.Time) bool {
	return c.lost || !c.returned.IsZero() && now.Sub(c.returned) < ReturnGrace
}

func (c *Catalog) putMember(ch *Change) []Event {
	m := ch.Member
	old := c.members[m.ID]
	c.members[m.ID] = &memberEntry{Member: *m}
	c.directory = nil
	if old != nil && old.vanished.IsZero() && old.Incarnation == m.Incarnation {
		return nil
	}
	return []Event{{Name: "member_joined", ID: m.ID, Detail: m.Address, Revision: ch.Revision}}
}

func (c *Catalog) removeMember(ch *Change, now time.Time) []Event {
	m := c.members[ch.ID]
	if m == nil || !m.vanished.IsZero() {
		return nil
	}
	m.vanished = now
	c.directory = nil
	return []Event{{Name: "member_left", ID: m.ID, Detail: m.Address, Revision: ch.Revision}}
}

// putKey takes over a new key. A key that is removed stays in use here until
// there is another one.
func (c *Catalog) putKey(ch *Change) []Event {
	if ch.Removed || bytes.Equal(ch.Key, c.key) {
		return nil
	}
	c.key = ch.Key
	return []Event{{Name: "fleet_key_changed", Revision: ch.Revision}}
}

// Key returns the fleet's key, nil for none.
func (c *Catalog) Key() []byte { return c.key }

// Tick takes in what changes with time alone: upstreams that are no longer slow
// after their start, and what has had its grace. It returns what the instance
// believes anew.
func (c *Catalog) Tick(now time.Time) []Event {
	var events []Event
	grace := c.inGrace(now)
	for id, u := range c.upstreams {
		switch {
		case !u.missing.IsZero() && !grace:
			delete(c.upstreams, id)
			delete(c.services, u.Service)
			events = append(events, u.event("upstream_gone", 0))
		case !u.coldUntil.IsZero() && !now.Before(u.coldUntil):
			u.coldUntil = time.Time{}
			delete(c.services, u.Service)
			events = append(events, u.event("upstream_warm", 0))
		}
	}
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.ID, b.ID) })
	for id, m := range c.members {
		if !m.vanished.IsZero() && now.Sub(m.vanished) > memberGrace {
			delete(c.members, id)
			c.directory = nil
		}
	}
	return events
}

// Ready reports whether the store's content was read and holds a
// configuration.
func (c *Catalog) Ready() bool { return c.loaded && c.configuration != nil }

// Configuration returns the configuration in force, nil for none.
func (c *Catalog) Configuration() *Configuration { return c.configuration }
