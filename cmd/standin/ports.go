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
	sc.Description = "Print loopback addresses whose ports are free for TCP and UDP, one on each line"
	sc.Int(&count, "", "count", "Number of addresses")
	return command{sub: sc, run: func(context.Context) error { return printFreeAddresses(count) }}
}

// The range of ports to choose from lies below the one from which systems take
// ports for outgoing connections and for port 0: a port of that range was taken
// by another process between its choice and its use in one of 8 runs.
const (
	lowestPort  = 10_000
	highestPort = 30_000
	maxTries    = 1_000 // for each address
)

// printFreeAddresses holds all ports until the last is found, so that each is
// printed once.
func printFreeAddresses(count int) error {
	var held []io.Closer
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for range count {
		address, ports, err := holdFreeAddress()
		held = append(held, ports...)
		if err != nil {
			return err
		}
		fmt.Println(address)
	}
	return nil
}

// holdFreeAddress listens on a port that is free for TCP and UDP.
func holdFreeAddress() (string, []io.Closer, error) {
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
