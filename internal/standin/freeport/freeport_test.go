package freeport

import "testing"

// Guards against allocating a port to two processes: the second one could not
// start.
func TestPortsAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for range 2_000 {
		address, err := Loopback()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s is returned twice", address)
		}
		seen[address] = true
	}
}
