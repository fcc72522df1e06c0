package member

import (
	"iter"
	"slices"
	"strings"
	"time"
)

// Timeout is the default time without a message after which a member is
// considered lost.
const Timeout = 3 * time.Second

// Presence indicates whether this instance has recently received a message from
// a member.
type Presence string

// Presence values.
const (
	// Known is a member of the instance list that has sent no message yet, or none
	// for lostRetention. A watched member, to which this instance keeps a link,
	// becomes lost after the timeout; until then it is given its share of slots and
	// connections, so that a starting instance does not claim all of them. Members
	// that are not watched are known from the list only.
	Known Presence = "known"
	Live  Presence = "live" // sent a message within the timeout
	Lost  Presence = "lost" // sent no message within the timeout
)

// Transition is a change of a member's presence or announced state.
type Transition struct {
	Member Info
	From   Presence
	To     Presence
	State  State // announced state after the transition
}

// Row is the table's entry for a member.
type Row struct {
	Info
	Presence  Presence
	Listed    bool
	LastSeen  time.Time // time of the last message, zero for none
	FirstSeen time.Time // time when first listed or of the first message
}

// Table is one instance's view of the fleet. It depends only on its inputs and
// the times passed with them. It is not safe for concurrent use.
type Table struct {
	self    string
	timeout time.Duration
	rows    map[string]*Row
	order   []*Row // all rows, sorted by ID
}

// NewTable returns a table that holds only the given instance. A peer is
// considered lost after timeout without a message.
func NewTable(self Info, timeout time.Duration, now time.Time) *Table {
	t := &Table{self: self.ID, timeout: timeout, rows: make(map[string]*Row)}
	t.insert(&Row{Info: self, Presence: Live, LastSeen: now, FirstSeen: now})
	return t
}

func (t *Table) insert(row *Row) {
	t.rows[row.ID] = row
	at, _ := slices.BinarySearchFunc(t.order, row.ID, func(r *Row, id string) int { return strings.Compare(r.ID, id) })
	t.order = slices.Insert(t.order, at, row)
}

// SetSelf replaces the Info of this instance.
func (t *Table) SetSelf(info Info) { t.rows[t.self].Info = info }

// Newer reports whether a is newer information than b of the same member.
func Newer(a, b Info) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Merge applies the Info that a member sent on a link at the given time. Older
// information is ignored; if it is from an earlier incarnation, it is no sign of
// life either. A lost member may return with a lower Incarnation: its process was
// replaced, and the clock of the new machine may be behind.
func (t *Table) Merge(info Info, now time.Time) []Transition {
	if info.ID == t.self || info.ID == "" {
		return nil
	}
	row, ok := t.rows[info.ID]
	if !ok {
		row = &Row{Info: Info{ID: info.ID}, Presence: Known, FirstSeen: now}
		t.insert(row)
	}
	if t.Outdated(info.ID, info.Incarnation) {
		return nil
	}
	previous, presence := row.Info, row.Presence
	if Newer(info, row.Info) || info.Incarnation < row.Incarnation {
		row.Info = info
	}
	row.LastSeen = now
	row.Presence = Live
	if presence == Live && previous.Incarnation == row.Incarnation && previous.State == row.State {
		return nil
	}
	return []Transition{{Member: row.Info, From: presence, To: Live, State: row.State}}
}

// MergeHeartbeat applies a heartbeat, which carries only the fields that change
// while a member runs. It is ignored unless the same incarnation was merged
// before.
func (t *Table) MergeHeartbeat(id string, incarnation, sequence uint64, state State, now time.Time) []Transition {
	row, ok := t.rows[id]
	if !ok || row.Incarnation != incarnation {
		return nil
	}
	info := row.Info
	info.Sequence, info.State = sequence, state
	return t.Merge(info, now)
}

// linkGrace is the time allowed for a new link after the last one to a member
// ended.
const linkGrace = 500 * time.Millisecond

// MarkUnlinked records that the last link to a member ended. The member becomes
// lost if no message arrives within linkGrace, even if the timeout ends later:
// when a link fails in one direction, one end receives messages for up to 3 s
// more.
func (t *Table) MarkUnlinked(id string, now time.Time) {
	row, ok := t.rows[id]
	if lastSeen := now.Add(linkGrace - t.timeout); ok && row.Presence == Live && row.LastSeen.After(lastSeen) {
		row.LastSeen = lastSeen
	}
}

// Outdated reports whether a message with the given incarnation is from an
// earlier incarnation of a live member.
func (t *Table) Outdated(id string, incarnation uint64) bool {
	row, ok := t.rows[id]
	return ok && row.Presence == Live && incarnation < row.Incarnation
}

// Touch records a message from a member that carried no Info.
func (t *Table) Touch(id string, incarnation uint64, now time.Time) {
	if row, ok := t.rows[id]; ok && id != t.self && row.Incarnation == incarnation && row.Presence == Live {
		row.LastSeen = now
	}
}

// MergeInstanceList applies the members of the platform's instance list. Members
// that are no longer in it are kept while they are live. It reports whether
// anything changed.
func (t *Table) MergeInstanceList(members []Info, now time.Time) bool {
	changed := false
	listed := make(map[string]bool, len(members))
	for _, info := range members {
		if info.ID == "" {
			continue
		}
		listed[info.ID] = true
		row, ok := t.rows[info.ID]
		if !ok {
			info.Incarnation, info.Sequence = 0, 0
			row = &Row{Info: info, Presence: Known, FirstSeen: now}
			t.insert(row)
			changed = true
		}
		if row.Presence != Live {
			changed = row.applyListed(info) || changed
		}
	}
	for id, row := range t.rows {
		row.Listed = listed[id]
	}
	return t.prune() || changed
}

// applyListed applies the instance list's Info to a member that is not live, and
// reports whether it differs. A replaced member may have other addresses.
func (r *Row) applyListed(info Info) bool {
	info.Incarnation, info.Sequence = r.Incarnation, r.Sequence
	changed := r.Info != info
	r.Info = info
	return changed
}

// lostRetention is the time after which a lost member that is not watched and
// still listed becomes known again. By then a removed member is no longer listed.
const lostRetention = 30 * time.Second

// Expire marks members that sent no message within the timeout as lost and
// removes those that are not listed. watched reports whether this instance keeps
// a link to a member; other members become lost only if they were live. The
// transitions are sorted by member ID.
func (t *Table) Expire(now time.Time, watched func(id string) bool) []Transition {
	var transitions []Transition
	for _, row := range t.order {
		to := row.presenceAfter(now.Sub(row.timeoutStart()), t.timeout, watched)
		if to == row.Presence || row.ID == t.self {
			continue
		}
		transitions = append(transitions, Transition{Member: row.Info, From: row.Presence, To: to, State: row.State})
		row.Presence = to
	}
	if len(transitions) > 0 {
		t.prune()
	}
	return transitions
}

// presenceAfter returns the presence after the given time without a message.
func (r *Row) presenceAfter(silence, timeout time.Duration, watched func(id string) bool) Presence {
	switch {
	case r.Presence == Live && silence >= timeout:
		return Lost
	case r.Presence == Known && silence >= timeout && watched(r.ID):
		return Lost
	case r.Presence == Lost && silence >= lostRetention && r.Listed && !watched(r.ID):
		return Known
	}
	return r.Presence
}

// Resume compensates for a pause of this process, during which it could not
// receive messages: it moves all recorded times forward by the pause.
func (t *Table) Resume(pause time.Duration) {
	for _, row := range t.rows {
		row.FirstSeen = row.FirstSeen.Add(pause)
		if !row.LastSeen.IsZero() {
			row.LastSeen = row.LastSeen.Add(pause)
		}
	}
}

// timeoutStart returns the time at which the timeout started.
func (r *Row) timeoutStart() time.Time {
	if r.LastSeen.IsZero() {
		return r.FirstSeen
	}
	return r.LastSeen
}

// prune removes members that are neither live nor listed, and reports whether
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

// All returns all members that are listed or live, including this instance,
// sorted by ID. The table must not be modified during the iteration.
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

// Shards returns the number of shards. It counts both listed and live members,
// so that the outage of a region does not merge shards.
func (t *Table) Shards() int { return Shards(len(t.rows)) }
