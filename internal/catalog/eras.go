package catalog

import (
	"maps"
	"time"
)

// departureMemory is the time for which the catalog remembers that an upstream has
// left. The copy from which a store comes back is some seconds old; the rest allows
// for the time until the store comes back.
const departureMemory = time.Minute

// departure records an upstream that was removed while it was leaving.
type departure struct {
	incarnation int64
	era         Era // in which it was removed
	at          time.Time
}

// Era returns the era of the content, 0 before any was applied.
func (c *Catalog) Era() Era { return c.era }

// KeyStored reports whether the store has had a key in the present era. If not, the
// key in use should be written again.
func (c *Catalog) KeyStored() bool { return c.keyStored }

// beginEra records that the store has come back from an older copy of its content.
// Entries that the copy lacks get ReconnectGrace to be written again.
func (c *Catalog) beginEra(era Era, now time.Time) {
	c.era, c.keyStored = era, false
	if c.loaded {
		c.reconnectedAt = now
	}
	clear(c.unreadable) // revisions are issued again
}

// isSuperseded reports whether an entry of the present era names a start of an
// upstream that is known to be over from the previous era: the upstream has restarted
// since, or has left. Its entry was acknowledged and then lost.
func (c *Catalog) isSuperseded(u *Upstream) bool {
	if old := c.upstreams[u.ID]; old != nil && old.era != c.era && old.Incarnation > u.Incarnation {
		return true
	}
	d, ok := c.departures[u.ID]
	return ok && d.era != c.era && d.incarnation >= u.Incarnation
}

// recordDeparture remembers that a leaving upstream was removed.
func (c *Catalog) recordDeparture(u *upstreamEntry, now time.Time) {
	if u.Leaving {
		c.departures[u.ID] = departure{u.Incarnation, c.era, now}
	}
}

// dropDepartures forgets upstreams that have left longer than departureMemory ago.
func (c *Catalog) dropDepartures(now time.Time) {
	maps.DeleteFunc(c.departures, func(_ string, d departure) bool { return now.Sub(d.at) > departureMemory })
}
