package upstream

import (
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// The operating system reports the error that ended a connection once, to the first
// Read or Write that sees it. After a Write has got it, a Read returns io.EOF, as at
// the orderly end of a response without a length. The functions here restore the
// error for the Read.

// errStillWriting is the error of a connection that is closed without a known
// reason, because a Write that may know it has not returned.
var errStillWriting = errors.New("the connection ended while the request was being written")

// brokenWriteTimeout bounds the wait for a Write on a closed connection. It returns
// at once, but its goroutine has to be scheduled.
const brokenWriteTimeout = time.Second

// recordWriteErrorLocked records the error with which a Write ended, if any. c.mu is
// held.
func (c *countingConn) recordWriteErrorLocked(err error) {
	// The error is EPIPE if the peer had ended its stream before it reset the
	// connection, and for Writes after the first one that failed.
	if err != nil && c.broken == nil && !errors.Is(err, syscall.EPIPE) {
		c.broken = err
	}
	if c.writeEnded != nil {
		close(c.writeEnded)
		c.writeEnded = nil
	}
}

// endOfStream returns io.EOF if the peer has ended its stream in order, else the
// error that ended the connection. It is called after a Read has returned io.EOF.
func (c *countingConn) endOfStream() error {
	c.mu.Lock()
	if c.broken != nil || !c.writing {
		defer c.mu.Unlock()
		return c.endLocked()
	}
	if c.writeEnded == nil {
		c.writeEnded = make(chan struct{})
	}
	ended := c.writeEnded
	c.mu.Unlock()
	if !c.isClosed() {
		return io.EOF // the peer can still read the request
	}
	t := time.NewTimer(brokenWriteTimeout)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
		return errStillWriting
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endLocked()
}

func (c *countingConn) endLocked() error {
	if c.broken != nil {
		return c.broken
	}
	return io.EOF
}

// isClosed reports whether both directions of the connection have ended, or true if
// that cannot be determined.
func (c *countingConn) isClosed() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return closed
}
