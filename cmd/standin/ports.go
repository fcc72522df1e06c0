package main

import (
	"context"
	"fmt"
	"io"
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

// printFreeAddresses holds all ports until the last is found, so that each is
// printed once.
func printFreeAddresses(count int) error {
	var held []io.Closer
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for printed := 0; printed < count; {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "find a free port")
		}
		held = append(held, tcp)
		udp, err := net.ListenPacket("udp", tcp.Addr().String())
		if err != nil {
			continue // taken for UDP
		}
		held = append(held, udp)
		fmt.Println(tcp.Addr())
		printed++
	}
	return nil
}
