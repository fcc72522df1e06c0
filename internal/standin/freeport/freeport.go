// Package freeport gives the harnesses of tests with real processes the addresses
// at which these processes listen.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// The ports are below those that the kernel gives to outgoing connections and to
// sockets on any free port, which could take one before a process listens, or
// while it is restarted.
const (
	first = 10_000
	last  = 32_000
	tries = 1000
)

// given are the ports that were given away. A process that has not started yet
// does not keep its port from being free.
var given struct {
	sync.Mutex
	ports map[int]bool
}

// Loopback returns a loopback address, IP:port, that is free now for TCP and UDP
// and was given to nobody else in this process.
func Loopback() (string, error) {
	given.Lock()
	defer given.Unlock()
	if given.ports == nil {
		given.ports = make(map[int]bool)
	}
	for range tries {
		port := first + rand.IntN(last-first)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if given.ports[port] || !free(address) {
			continue
		}
		given.ports[port] = true
		return address, nil
	}
	return "", errors.Newf("no free port after %d tries", tries)
}

func free(address string) bool {
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
