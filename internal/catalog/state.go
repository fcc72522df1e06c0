package catalog

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"knapweedreel/internal/routing"
)

// ReconnectGrace is the time for which upstreams whose entries expired during an
// outage of the store are still used once the store can be reached again. The
// platform guarantees that running upstreams have registered again within about
// two seconds.
const ReconnectGrace = 2 * time.Second

// removedMemberGrace is the time for which callers are still directed to a
// removed member if too few others are left.
const removedMemberGrace = 10 * time.Second

// Catalog is the content of the store as this instance knows it. It is not safe
// for concurrent use.
type Catalog struct {
	configuration *Configuration
	upstreams     map[string]*upstreamEntry
	members       map[string]*memberEntry
	unreadable    map[entryKey]uint64 // revision of each entry that could not be decoded
	directory     *Directory          // of the members, nil after a change
	// services caches the upstreams of each service, sorted by ID. Services that
	// have changed since the latest snapshot are missing.
	services      map[string][]routing.Upstream
	key           []byte
	keyStored     bool                 // the store has had a key in this era
	era           Era                  // of the content
	departures    map[string]departure // of upstreams that have left lately
	loaded        bool
	disconnected  bool      // the store cannot be reached
	reconnectedAt time.Time // end of the latest outage of the store, zero for none
}

// entryKey identifies an entry of the store.
type entryKey struct {
	kind Kind
	id   string
}

type upstreamEntry struct {
	Upstream
	era          Era       // in which the entry was last read
	coldUntil    time.Time // end of the time for which it is slow after its start, zero if it is over
	missingSince time.Time // when its entry disappeared during an outage of the store, zero if it exists
}

type memberEntry struct {
	Member
	removedAt time.Time // zero while registered
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		upstreams: make(map[string]*upstreamEntry), members: make(map[string]*memberEntry),
		unreadable: make(map[entryKey]uint64), departures: make(map[string]departure), services: make(map[string][]routing.Upstream),
	}
}

// Event is a change of the catalog, for the log.
type Event struct {
	Name     string // such as "upstream_leaving"
	ID       string
	Detail   string
	Revision uint64 // of the store
}

// event returns an event of an upstream. The revision is 0 if no change of the
// store caused the event.
func (u *Upstream) event(name string, revision uint64) Event {
	return Event{Name: name, ID: u.ID, Detail: u.Service + " " + u.Address, Revision: revision}
}

// StoreLost records that the store cannot be reached.
func (c *Catalog) StoreLost() { c.disconnected = true }

// StoreReached records that the store can be reached. If it could not be reached
// before, entries that disappeared in the meantime get ReconnectGrace to return.
func (c *Catalog) StoreReached(now time.Time) {
	if c.disconnected {
		c.reconnectedAt = now
	}
	c.disconnected = false
}

// Resumed records that all changes since the last one were received from a
// relay that was connected to the store all the time. Only this instance was
// disconnected, so entries that were removed in the meantime get no grace. A
// grace that began when the store could be reached again continues.
func (c *Catalog) Resumed() {
	if c.disconnected {
		c.disconnected, c.reconnectedAt = false, time.Time{}
	}
}

// Reset applies all items of the store. Upstreams and members that are not among
// them count as removed. Items of an earlier era than those applied before are
// ignored. If the items are of a later era, upstreams that are missing get
// ReconnectGrace to be written again.
func (c *Catalog) Reset(all []Change, era Era, now time.Time) []Event {
	if c.loaded && era < c.era {
		return []Event{{Name: "content_of_earlier_era", Detail: eras(c.era, era)}}
	}
	var events []Event
	if era != c.era {
		events = append(events, Event{Name: "store_era_began", Detail: eras(c.era, era)})
		c.beginEra(era, now)
	}
	seen := make(map[Kind]map[string]bool)
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
	maps.DeleteFunc(c.unreadable, func(k entryKey, _ uint64) bool { return !seen[k.kind][k.id] })
	c.loaded = true
	return events
}

// Apply applies one change and returns the resulting events.
func (c *Catalog) Apply(ch *Change, now time.Time) []Event {
	if ch.Unreadable != nil {
		return c.applyUnreadable(ch, now)
	}
	delete(c.unreadable, entryKey{ch.Kind, ch.ID})
	switch {
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

// maxReasonBytes bounds the reason for which an entry is unreadable: it may quote
// the entry.
const maxReasonBytes = 300

// applyUnreadable reports each version of an unreadable entry once.
func (c *Catalog) applyUnreadable(ch *Change, now time.Time) []Event {
	var events []Event
	key := entryKey{ch.Kind, ch.ID}
	if revision, ok := c.unreadable[key]; !ok || revision != ch.Revision {
		c.unreadable[key] = ch.Revision
		reason := ch.Unreadable.Error()
		if len(reason) > maxReasonBytes {
			reason = reason[:maxReasonBytes]
		}
		events = append(events, Event{Name: "entry_unreadable", ID: ch.ID, Detail: string(ch.Kind) + ": " + reason, Revision: ch.Revision})
	}
	if ch.Kind == KindUpstream {
		// An unreadable entry is no evidence that the upstream exists.
		events = append(events, c.removeUpstream(ch, now)...)
	}
	return events
}

func (c *Catalog) applyConfiguration(ch *Change) []Event {
	next := ch.Configuration
	if next == nil {
		return []Event{{Name: "configuration_removed", Detail: "the previous one stays in effect", Revision: ch.Revision}}
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
	if c.isSuperseded(u) {
		return c.removeUpstream(ch, now)
	}
	old := c.upstreams[u.ID]
	if old != nil && old.Incarnation == u.Incarnation && old.Leaving && !u.Leaving && old.Address == u.Address {
		// Leaving is final until the upstream restarts.
		u.Leaving = true
	}
	next := &upstreamEntry{Upstream: *u, era: c.era}
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
	case !old.missingSince.IsZero():
		return []Event{u.event("upstream_back", ch.Revision)}
	}
	return nil
}

// removeUpstream removes an upstream, unless its entry may have expired only
// because of an outage of the store.
func (c *Catalog) removeUpstream(ch *Change, now time.Time) []Event {
	u := c.upstreams[ch.ID]
	if u == nil || !u.missingSince.IsZero() {
		return nil
	}
	if !u.Leaving && c.inGrace(now) {
		u.missingSince = now
		return []Event{u.event("upstream_lapsed", ch.Revision)}
	}
	c.recordDeparture(u, now)
	delete(c.upstreams, ch.ID)
	delete(c.services, u.Service)
	return []Event{u.event("upstream_gone", ch.Revision)}
}

func (c *Catalog) inGrace(now time.Time) bool {
	return c.disconnected || !c.reconnectedAt.IsZero() && now.Sub(c.reconnectedAt) < ReconnectGrace
}

func (c *Catalog) putMember(ch *Change) []Event {
	m := ch.Member
	old := c.members[m.ID]
	if m.Leaving {
		// Unlike a member whose entry has expired, it is known to stop.
		delete(c.members, m.ID)
		c.directory = nil
		if old == nil {
			return nil
		}
		return []Event{{Name: "member_leaving", ID: m.ID, Detail: m.Address, Revision: ch.Revision}}
	}
	c.members[m.ID] = &memberEntry{Member: *m}
	c.directory = nil
	if old != nil && old.removedAt.IsZero() && old.Incarnation == m.Incarnation {
		return nil
	}
	return []Event{{Name: "member_joined", ID: m.ID, Detail: m.Address, Revision: ch.Revision}}
}

func (c *Catalog) removeMember(ch *Change, now time.Time) []Event {
	m := c.members[ch.ID]
	if m == nil || !m.removedAt.IsZero() {
		return nil
	}
	m.removedAt = now
	c.directory = nil
	return []Event{{Name: "member_left", ID: m.ID, Detail: m.Address, Revision: ch.Revision}}
}

// putKey sets a new key. A key that is removed from the store stays in use until
// there is another one.
func (c *Catalog) putKey(ch *Change) []Event {
	if ch.Removed {
		return nil
	}
	c.keyStored = true
	if bytes.Equal(ch.Key, c.key) {
		return nil
	}
	c.key = ch.Key
	return []Event{{Name: "fleet_key_changed", Revision: ch.Revision}}
}

// Key returns the fleet's key, nil for none.
func (c *Catalog) Key() []byte { return c.key }

// Tick applies changes that depend only on time: upstreams that are no longer
// cold, and the end of grace periods. It returns the resulting events.
func (c *Catalog) Tick(now time.Time) []Event {
	c.dropDepartures(now)
	var events []Event
	grace := c.inGrace(now)
	for id, u := range c.upstreams {
		switch {
		case !u.missingSince.IsZero() && !grace:
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
		if !m.removedAt.IsZero() && now.Sub(m.removedAt) > removedMemberGrace {
			delete(c.members, id)
			c.directory = nil
		}
	}
	return events
}

// Loaded reports whether the store's content has been loaded.
func (c *Catalog) Loaded() bool { return c.loaded }

// Ready reports whether the store's content has been loaded and includes a
// configuration.
func (c *Catalog) Ready() bool { return c.loaded && c.configuration != nil }

// Configuration returns the configuration in effect, nil for none.
func (c *Catalog) Configuration() *Configuration { return c.configuration }
