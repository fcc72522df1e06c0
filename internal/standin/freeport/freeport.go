// Package freeport allocates listen addresses for tests that start processes.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// The ports are below the kernel's ephemeral port range. Outgoing connections
// and listeners on port 0 could otherwise take a port before its process
// listens, or while the process restarts.
const (
	firstPort = 10_000
	endPort   = 32_000 // exclusive
	maxTries  = 1000
)

// allocated holds the ports returned so far: a port still looks free until the
// process that it was allocated for has started.
var allocated struct {
	sync.Mutex
	ports map[int]bool
}

// Loopback returns a loopback address, as IP:port, whose port is free for TCP
// and UDP. It returns each address only once per process.
func Loopback() (string, error) {
	allocated.Lock()
	defer allocated.Unlock()
	if allocated.ports == nil {
		allocated.ports = make(map[int]bool)
	}
	for range maxTries {
		port := firstPort + rand.IntN(endPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if allocated.ports[port] || !isFree(address) {
			continue
		}
		allocated.ports[port] = true
		return address, nil
	}
	return "", errors.Newf("no free port after %d tries", maxTries)
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}
