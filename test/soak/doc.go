// Package soak plays random faults against real instances on a stand-in of the
// platform, and checks what callers and upstreams see. A run is repeated by its
// seed, up to the scheduling of the machine.
package soak
