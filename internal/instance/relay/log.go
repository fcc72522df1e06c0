// Package relay passes the changes of the platform's store on within a failure
// domain, so that one instance of it waits at the store and not all of them.
//
// Every instance keeps a Log of the latest changes that it has read. A Server
// sends them, with the time as of which they are complete, to instances that
// subscribe. A subscriber trusts the changes as long as that time is recent and
// reads the store itself otherwise, so that a relay that is stopped, cut off or
// slow delays nobody for longer.
package relay

import (
	"slices"
	"sync"
	"time"
)

// Change is a change of an item in the store.
type Change struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64   // of the store
	Raw      []byte   // as the store's adapter reads it
}

// Limits of a log, which bound its memory. A subscriber that is further behind
// reads the store.
const (
	logChanges = 512
	logBytes   = 256 << 10
)

// Log holds the latest changes of the store. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	floor   uint64 // the changes after this index are complete
	index   uint64 // of the latest change
	asOf    time.Time
	changes []Change
	bytes   int
	updated chan struct{} // closed at the next update
}

// NewLog returns a log that knows nothing.
func NewLog() *Log { return &Log{updated: make(chan struct{})} }

// Reset begins anew at an index, after the whole content was read or by an
// instance that follows a relay and passes nothing on itself. asOf is the time at
// which nothing followed the index, zero if that is not known.
func (l *Log) Reset(index uint64, asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floor, l.index, l.asOf, l.changes, l.bytes = index, index, asOf, nil, 0
	l.announce()
}

// Extend adds the changes up to an index, which were complete at the time asOf.
func (l *Log) Extend(changes []Change, index uint64, asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		if c.Revision <= l.index {
			continue
		}
		l.changes = append(l.changes, c)
		l.bytes += len(c.Raw)
	}
	l.index, l.asOf = max(l.index, index), asOf
	n := 0
	for ; len(l.changes)-n > logChanges || l.bytes > logBytes; n++ {
		l.floor = l.changes[n].Revision
		l.bytes -= len(l.changes[n].Raw)
	}
	if n > 0 {
		l.changes = slices.Clone(l.changes[n:]) // batches share the rest
	}
	l.announce()
}

func (l *Log) announce() {
	close(l.updated)
	l.updated = make(chan struct{})
}

// Batch is what a log knows after an index.
type Batch struct {
	Gap     bool // the changes after the index are not all known
	Changes []Change
	Index   uint64    // to continue from
	AsOf    time.Time // when the changes were complete
}

// after returns the changes after an index, and a channel that is closed when
// there is more to know.
func (l *Log) after(index uint64) (Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := Batch{Gap: index < l.floor, Index: max(index, l.index), AsOf: l.asOf}
	for i := range l.changes {
		if !b.Gap && l.changes[i].Revision > index {
			b.Changes = l.changes[i:]
			break
		}
	}
	return b, l.updated
}
