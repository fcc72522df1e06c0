package member

import (
	"cmp"
	"slices"
	"time"
)

// Timeout is the default time without a message after which a member counts as
// lost.
const Timeout = 3 * time.Second

// Presence is how this instance sees a member.
type Presence string

// The presences.
const (
	Known Presence = "known" // listed, not heard from yet
	Live  Presence = "live"  // heard from within the timeout
	Lost  Presence = "lost"  // not heard from for the timeout
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
}

// NewTable returns a table that holds only the given instance. A peer counts
// as lost after timeout without a message.
func NewTable(self Info, timeout time.Duration, now time.Time) *Table {
	t := &Table{self: self.ID, timeout: timeout, rows: make(map[string]*Row)}
	t.rows[self.ID] = &Row{Info: self, Presence: Live, Heard: now, Found: now}
	return t
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
func (t *Table) Merge(info Info, now time.Time) []Transition {
	if info.ID == t.self || info.ID == "" {
		return nil
	}
	row, ok := t.rows[info.ID]
	if !ok {
		row = &Row{Presence: Known, Found: now}
		t.rows[info.ID] = row
	}
	if info.Boot < row.Boot {
		return nil
	}
	previous, presence := row.Info, row.Presence
	if Newer(info, row.Info) {
		row.Info = info
	}
	row.Heard = now
	row.Presence = Live
	if presence == Live && previous.Boot == row.Boot && previous.State == row.State {
		return nil
	}
	return []Transition{{Member: row.Info, From: presence, To: Live, State: row.State}}
}

// Touch notes a message of a member that carried no Info.
func (t *Table) Touch(id string, boot uint64, now time.Time) {
	if row, ok := t.rows[id]; ok && id != t.self && row.Boot == boot && row.Presence == Live {
		row.Heard = now
	}
}

// Listed takes in the members that the platform's list names. Members that it
// no longer names are kept while they are heard from.
func (t *Table) Listed(members []Info, now time.Time) {
	for _, row := range t.rows {
		row.Listed = false
	}
	for _, info := range members {
		if info.ID == "" {
			continue
		}
		row, ok := t.rows[info.ID]
		if !ok {
			info.Boot, info.Sequence = 0, 0
			row = &Row{Info: info, Presence: Known, Found: now}
			t.rows[info.ID] = row
		}
		row.Listed = true
		if row.Presence != Live && info.PeerAddress != "" {
			row.PeerAddress = info.PeerAddress
		}
	}
	t.prune()
}

// Expire marks members that were not heard from for the timeout as lost and
// forgets those that are not listed either.
func (t *Table) Expire(now time.Time) []Transition {
	var out []Transition
	for id, row := range t.rows {
		if id == t.self || row.Presence != Live || now.Sub(row.Heard) < t.timeout {
			continue
		}
		row.Presence = Lost
		out = append(out, Transition{Member: row.Info, From: Live, To: Lost, State: row.State})
	}
	t.prune()
	slices.SortFunc(out, func(a, b Transition) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return out
}

func (t *Table) prune() {
	for id, row := range t.rows {
		if id != t.self && row.Presence != Live && !row.Listed {
			delete(t.rows, id)
		}
	}
}

// Row returns the member's row.
func (t *Table) Row(id string) (Row, bool) {
	row, ok := t.rows[id]
	if !ok {
		return Row{}, false
	}
	return *row, true
}

// Rows returns all members that are listed or live, this instance included,
// in the order of their IDs.
func (t *Table) Rows() []Row {
	out := make([]Row, 0, len(t.rows))
	for _, row := range t.rows {
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Shards returns the number of shards. It counts listed and live members alike,
// so that an outage of a region does not merge shards.
func (t *Table) Shards() int { return Shards(len(t.rows)) }

// Present reports whether the member takes part in the division of slots and
// connections: it is live, or was found less than the timeout ago. The second
// rule keeps a starting instance from claiming every slot for itself.
func (t *Table) Present(row Row, now time.Time) bool {
	return row.Presence == Live || row.Presence == Known && now.Sub(row.Found) < t.timeout
}
