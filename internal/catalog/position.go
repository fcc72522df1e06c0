package catalog

import (
	"cmp"
	"fmt"
)

// Era is the number of an era of the store. A store that comes back from an older
// copy of its content begins the next era: it has lost writes that it had
// acknowledged, and issues their revisions again. Eras can be compared. A store that
// doesn't report its era is in era 0.
type Era uint64

// Position is a point in the history of the store.
type Position struct {
	Era      Era
	Revision uint64
}

// Order is the result of comparing two positions.
type Order int

// The results of comparing a position with another one.
const (
	Same     Order = iota
	Older          // of the same era, with a lower revision
	Newer          // of the same era, with a higher revision
	OtherEra       // of another era, so that the revisions say nothing about the order
)

// Compare returns how p relates to q. Revisions are comparable only within an era.
func (p Position) Compare(q Position) Order {
	if p.Era != q.Era {
		return OtherEra
	}
	switch cmp.Compare(p.Revision, q.Revision) {
	case -1:
		return Older
	case 1:
		return Newer
	}
	return Same
}

// IsZero reports whether p is the position before everything, at which nothing was
// read.
func (p Position) IsZero() bool { return p == Position{} }

// String returns the era and the revision, such as "2/1017".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
