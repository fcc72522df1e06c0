// Package proofs tests the fleet's invariants with real processes under
// injected faults: instances, upstreams and a store run as separate processes
// on loopback, with fault proxies between them.
//
// Every test chooses its faults from the seed given by -proofs.seed. The table
// in docs/proofs.md names the test for each invariant.
package proofs
