// Package admission decides in which order waiting requests get slots, which
// requests are refused because they cannot be served in time, and how many slots
// stay free for more urgent ones.
//
// All functions take the time as an argument, and the package does no I/O.
package admission

import "cmp"

// Class orders requests by urgency. The priority of the account takes precedence
// over that of the route; 0 is served first.
type Class struct {
	Account int
	Route   int
}

// Compare returns a negative number if c is more urgent than d, a positive one if
// it is less urgent, and 0 if they are equally urgent.
func (c Class) Compare(d Class) int {
	return cmp.Or(cmp.Compare(c.Account, d.Account), cmp.Compare(c.Route, d.Route))
}
