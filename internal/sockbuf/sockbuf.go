// Package sockbuf sets the receive buffers of TCP sockets before they are connected.
// Otherwise the operating system enlarges them to megabytes, and what a peer sends
// while nobody reads stays there.
package sockbuf

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// SetReceive sets the size of a socket's receive buffer in bytes. Linux doubles it for
// its own bookkeeping. Where it can't be set, the system's own limits apply.
func SetReceive(c syscall.RawConn, bytes int) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
}

// ListenConfig returns a configuration for listeners. Their connections have the size
// from the beginning, also before they are accepted.
func ListenConfig(bytes int) *net.ListenConfig {
	return &net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return SetReceive(c, bytes) }}
}
