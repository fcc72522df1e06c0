// Package proofs tests the fleet's invariants with real processes under
// injected faults: instances, upstreams and a store run as separate processes
// on loopback, with fault proxies between them.
//
// The faults of a test derive from the seed in -proofs.seed. The table in
// docs/proofs.md lists the test for each invariant.
package proofs
