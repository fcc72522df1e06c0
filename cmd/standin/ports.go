package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

func portsCommand() command {
	count := 1
	sc := flaggy.NewSubcommand("ports")
	sc.Description = "Print loopback addresses whose ports are free for TCP and UDP, one per line"
	sc.Int(&count, "", "count", "Number of addresses")
	return command{sub: sc, run: func(context.Context) error { return printFreeAddresses(count) }}
}

// Ports are chosen below the ephemeral range, from which systems take ports for
// outgoing connections and for port 0. In one of 8 runs, another process took a
// port of that range between its selection and its use.
const (
	lowestPort  = 10_000
	highestPort = 30_000
	maxTries    = 1_000 // per address
)

// printFreeAddresses keeps listening on all ports until the last is found, so
// that no address is printed twice.
func printFreeAddresses(count int) error {
	var listeners []io.Closer
	defer func() {
		for _, c := range listeners {
			c.Close()
		}
	}()
	for range count {
		address, opened, err := listenOnFreePort()
		listeners = append(listeners, opened...)
		if err != nil {
			return err
		}
		fmt.Println(address)
	}
	return nil
}

// listenOnFreePort listens on a port that is free for TCP and UDP.
func listenOnFreePort() (string, []io.Closer, error) {
	for range maxTries {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(highestPort-lowestPort))
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			tcp.Close()
			continue
		}
		return address, []io.Closer{tcp, udp}, nil
	}
	return "", nil, errors.Newf("found no free port in %d tries", maxTries)
}
