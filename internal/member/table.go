package member

import (
	"iter"
	"slices"
	"strings"
	"time"
)

// Timeout is the default time without a message after which a member counts as
// lost.
const Timeout = 3 * time.Second

// Presence is how this instance sees a member.
type Presence string

// The presences.
const (
	// Known is a listed member that was not heard from. One that is watched is
	// known for the timeout only and then lost; until then it takes part in the
	// division of slots and connections, so that a starting instance does not
	// claim all of them. Of others the list is all that is known.
	Known Presence = "known"
	Live  Presence = "live" // heard from within the timeout
	Lost  Presence = "lost" // not heard from for the timeout
)

// Transition is a change of a member's presence or announced state.
type Transition struct {
	Member Info
	From   Presence
	To     Presence
	State  State // announced state after the transition
}

// Row is a member as the table knows it.
type Row struct {
	Info
	Presence Presence
	Listed   bool
	Heard    time.Time // last message, zero for none
	Found    time.Time // first listed or heard
}

// Table is the fleet as one instance sees it. It is a pure function of its
// inputs and their times. It is not safe for concurrent use.
type Table struct {
	self    string
	timeout time.Duration
	rows    map[string]*Row
	order   []*Row // all rows in the order of their IDs
}

// NewTable returns a table that holds only the given instance. A peer counts
// as lost after timeout without a message.
func NewTable(self Info, timeout time.Duration, now time.Time) *Table {
	t := &Table{self: self.ID, timeout: timeout, rows: make(map[string]*Row)}
	t.insert(&Row{Info: self, Presence: Live, Heard: now, Found: now})
	return t
}

func (t *Table) insert(row *Row) {
	t.rows[row.ID] = row
	at, _ := slices.BinarySearchFunc(t.order, row.ID, func(r *Row, id string) int { return strings.Compare(r.ID, id) })
	t.order = slices.Insert(t.order, at, row)
}

// SetSelf replaces what this instance says of itself.
func (t *Table) SetSelf(info Info) { t.rows[t.self].Info = info }

// Newer reports whether a is newer information than b of the same member.
func Newer(a, b Info) bool {
	if a.Boot != b.Boot {
		return a.Boot > b.Boot
	}
	return a.Sequence > b.Sequence
}

// Merge takes in what a member said of itself on a link at the given time. Old
// information is ignored, also as a sign of life when it is of an earlier boot.
// A lost member may come back with a lower boot: its process is gone, and the
// clock of the machine that replaces it may be behind.
func (t *Table) Merge(info Info, now time.Time) []Transition {
	if info.ID == t.self || info.ID == "" {
		return nil
	}
	row, ok := t.rows[info.ID]
	if !ok {
		row = &Row{Info: Info{ID: info.ID}, Presence: Known, Found: now}
		t.insert(row)
	}
	if t.Outdated(info.ID, info.Boot) {
		return nil
	}
	previous, presence := row.Info, row.Presence
	if Newer(info, row.Info) || info.Boot < row.Boot {
		row.Info = info
	}
	row.Heard = now
	row.Presence = Live
	if presence == Live && previous.Boot == row.Boot && previous.State == row.State {
		return nil
	}
	return []Transition{{Member: row.Info, From: presence, To: Live, State: row.State}}
}

// Beat takes in a heartbeat, which carries only what changes while a member
// lives. It is ignored when no Merge of the same boot came before.
func (t *Table) Beat(id string, boot, sequence uint64, state State, now time.Time) []Transition {
	row, ok := t.rows[id]
	if !ok || row.Boot != boot {
		return nil
	}
	info := row.Info
	info.Sequence, info.State = sequence, state
	return t.Merge(info, now)
}

// linkGrace is the time for a new link after the last one to a member ended.
const linkGrace = 500 * time.Millisecond

// Unlinked notes that the last link to a member ended. The member is lost when
// it is not heard from within linkGrace, even if the timeout ends later: of a
// link that is cut in one direction one end hears the other for up to 3 s more.
func (t *Table) Unlinked(id string, now time.Time) {
	row, ok := t.rows[id]
	if due := now.Add(linkGrace - t.timeout); ok && row.Presence == Live && row.Heard.After(due) {
		row.Heard = due
	}
}

// Outdated reports whether a message of the member with the given boot is of an
// earlier process than the one that is live.
func (t *Table) Outdated(id string, boot uint64) bool {
	row, ok := t.rows[id]
	return ok && row.Presence == Live && boot < row.Boot
}

// Touch notes a message of a member that carried no Info.
func (t *Table) Touch(id string, boot uint64, now time.Time) {
	if row, ok := t.rows[id]; ok && id != t.self && row.Boot == boot && row.Presence == Live {
		row.Heard = now
	}
}

// Listed takes in the members that the platform's list names. Members that it
// no longer names are kept while they are heard from. Listed reports whether
// anything changed.
func (t *Table) Listed(members []Info, now time.Time) bool {
	changed := false
	named := make(map[string]bool, len(members))
	for _, info := range members {
		if info.ID == "" {
			continue
		}
		named[info.ID] = true
		row, ok := t.rows[info.ID]
		if !ok {
			info.Boot, info.Sequence = 0, 0
			row = &Row{Info: info, Presence: Known, Found: now}
			t.insert(row)
			changed = true
		}
		if row.Presence != Live {
			changed = row.follow(info) || changed
		}
	}
	for id, row := range t.rows {
		row.Listed = named[id]
	}
	return t.prune() || changed
}

// follow takes over what the list says of a member that does not speak for
// itself, and reports whether that is new. A replaced member may have other
// addresses.
func (r *Row) follow(info Info) bool {
	info.Boot, info.Sequence = r.Boot, r.Sequence
	changed := r.Info != info
	r.Info = info
	return changed
}

// lostMemory is the time after which a lost member that is not watched and is
// still listed counts as known again. The list has shown by then whether the
// member is gone.
const lostMemory = 30 * time.Second

// Expire marks members that were not heard from for the timeout as lost and
// forgets those that are not listed either. Watched are the members to which
// this instance keeps links; the others are lost only when they were live.
// Transitions are in the order of the members' IDs.
func (t *Table) Expire(now time.Time, watched func(id string) bool) []Transition {
	var out []Transition
	for _, row := range t.order {
		to := row.expired(now.Sub(row.since()), t.timeout, watched)
		if to == row.Presence || row.ID == t.self {
			continue
		}
		out = append(out, Transition{Member: row.Info, From: row.Presence, To: to, State: row.State})
		row.Presence = to
	}
	if len(out) > 0 {
		t.prune()
	}
	return out
}

// expired returns the presence after the given silence.
func (r *Row) expired(silence, timeout time.Duration, watched func(id string) bool) Presence {
	switch {
	case r.Presence == Live && silence >= timeout:
		return Lost
	case r.Presence == Known && silence >= timeout && watched(r.ID):
		return Lost
	case r.Presence == Lost && silence >= lostMemory && r.Listed && !watched(r.ID):
		return Known
	}
	return r.Presence
}

// Resume makes up for a pause of this process, in which nothing could be heard:
// it moves the last signs of life on by the pause's length.
func (t *Table) Resume(pause time.Duration) {
	for _, row := range t.rows {
		row.Found = row.Found.Add(pause)
		if !row.Heard.IsZero() {
			row.Heard = row.Heard.Add(pause)
		}
	}
}

// since returns the time from which the timeout counts.
func (r *Row) since() time.Time {
	if r.Heard.IsZero() {
		return r.Found
	}
	return r.Heard
}

// prune forgets members that are neither live nor listed, and reports whether
// there were any.
func (t *Table) prune() bool {
	before := len(t.order)
	t.order = slices.DeleteFunc(t.order, func(row *Row) bool {
		if row.ID == t.self || row.Presence == Live || row.Listed {
			return false
		}
		delete(t.rows, row.ID)
		return true
	})
	return len(t.order) != before
}

// Row returns the member's row.
func (t *Table) Row(id string) (Row, bool) {
	row, ok := t.rows[id]
	if !ok {
		return Row{}, false
	}
	return *row, true
}

// All returns all members that are listed or live, this instance included, in
// the order of their IDs. The table must not be changed meanwhile.
func (t *Table) All() iter.Seq[Row] {
	return func(yield func(Row) bool) {
		for _, row := range t.order {
			if !yield(*row) {
				return
			}
		}
	}
}

// Len returns the number of members.
func (t *Table) Len() int { return len(t.order) }

// Shards returns the number of shards. It counts listed and live members alike,
// so that an outage of a region does not merge shards.
func (t *Table) Shards() int { return Shards(len(t.rows)) }
