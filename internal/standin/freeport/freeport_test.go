package freeport

import "testing"

// Guards against two processes that are given the same port, of which the second
// one cannot start.
func TestPortsAreGivenOnce(t *testing.T) {
	seen := make(map[string]bool)
	for range 2_000 {
		address, err := Loopback()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s is given twice", address)
		}
		seen[address] = true
	}
}
