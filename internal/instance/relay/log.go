// Package relay distributes changes of the platform's store within a failure
// domain, so that only one of its instances has to watch the store.
//
// Every instance keeps a Log of the latest changes that it has read. A Server
// sends them to subscribers, together with the time at which they were complete.
// A subscriber relies on the changes as long as that time is recent, and reads
// the store itself otherwise. This bounds the delay caused by a relay that is
// stopped, disconnected or slow.
package relay

import (
	"slices"
	"sync"
	"time"

	"knapweedreel/internal/catalog"
)

// Change is a change of an item in the store.
type Change struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64   // of the store, in the era of the log or the batch
	Raw      []byte   // decoded by catalog.Source.Decode
}

// Limits of a log, to bound its memory. A subscriber that is further behind reads
// the store.
const (
	maxLogChanges = 512
	maxLogBytes   = 256 << 10
)

// Log holds the latest changes of the store. It is safe for concurrent use.
type Log struct {
	mu         sync.Mutex
	startIndex uint64           // the log has all changes after this revision
	index      catalog.Position // of the latest change; startIndex and changes are of the same era
	asOf       time.Time
	changes    []Change
	bytes      int
	updated    chan struct{} // closed at the next update
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{updated: make(chan struct{})} }

// Reset empties the log and restarts it at an index: after a complete read, or in
// an instance that follows a relay and therefore relays nothing itself. asOf is
// the time at which there were no changes after the index, zero if unknown.
func (l *Log) Reset(index catalog.Position, asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startIndex, l.index, l.asOf, l.changes, l.bytes = index.Revision, index, asOf, nil, 0
	l.notify()
}

// Extend adds the changes up to an index. asOf is the time at which they were
// complete. An index of another era restarts the log.
func (l *Log) Extend(changes []Change, index catalog.Position, asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index.Compare(l.index) == catalog.OtherEra {
		l.startIndex, l.index, l.asOf, l.changes, l.bytes = index.Revision, index, asOf, nil, 0
		l.notify()
		return
	}
	for _, c := range changes {
		if c.Revision <= l.index.Revision {
			continue
		}
		l.changes = append(l.changes, c)
		l.bytes += len(c.Raw)
	}
	l.index.Revision, l.asOf = max(l.index.Revision, index.Revision), asOf
	n := 0
	for ; len(l.changes)-n > maxLogChanges || l.bytes > maxLogBytes; n++ {
		l.startIndex = l.changes[n].Revision
		l.bytes -= len(l.changes[n].Raw)
	}
	if n > 0 {
		l.changes = slices.Clone(l.changes[n:]) // batches share the remaining elements
	}
	l.notify()
}

func (l *Log) notify() {
	close(l.updated)
	l.updated = make(chan struct{})
}

// Batch holds the changes of a log after an index.
type Batch struct {
	Gap     bool // some changes after the index are missing, or the log is of another era
	Changes []Change
	Index   catalog.Position // to continue from unless there is a gap
	AsOf    time.Time        // when the changes were complete
}

// after returns the changes after an index, and a channel that is closed at the
// next update of the log.
func (l *Log) after(index catalog.Position) (Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := Batch{Index: l.index, AsOf: l.asOf}
	switch index.Compare(l.index) {
	case catalog.OtherEra:
		b.Gap = true
	case catalog.Newer:
		b.Index = index
	default:
		b.Gap = index.Revision < l.startIndex
	}
	for i := range l.changes {
		if !b.Gap && l.changes[i].Revision > index.Revision {
			b.Changes = l.changes[i:]
			break
		}
	}
	return b, l.updated
}
