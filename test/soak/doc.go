// Package soak injects random faults into a fleet of real instances on a stand-in
// platform, and checks what callers and upstreams observe. The seed determines
// the faults and requests of a run, but not the scheduling of the machine.
package soak
