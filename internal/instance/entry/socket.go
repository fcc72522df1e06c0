package entry

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"knapweedreel/internal/membudget"
)

// reserveSocket reserves memory for the bytes of a large response that stay in the
// send buffer while the caller doesn't read them. If memory is short, the buffer is
// made smaller.
func (c *callerConn) reserveSocket(length int64) {
	if length < 0 || length > callerSendBuffer {
		length = callerSendBuffer
	}
	missing := length - c.holder.Reserved(membudget.Socket)
	if tc, ok := c.Conn.(*net.TCPConn); ok && missing > 0 && !c.holder.Reserve(membudget.Socket, missing) {
		_ = tc.SetWriteBuffer(shortSendBuffer)
	}
}

// settleSocket reserves memory for the bytes that the caller of the last responses
// hasn't received, and returns the rest. It reports false if memory is too short.
func (c *callerConn) settleSocket() bool {
	if c.written.Load() <= writePiece {
		return true
	}
	unsent := c.unsent()
	if unsent <= writePiece { // as small as what the connection's memory covers
		unsent = 0
	}
	c.written.Store(unsent)
	reserved := c.holder.Reserved(membudget.Socket)
	if reserved >= unsent {
		c.holder.Return(membudget.Socket, reserved-unsent)
		return true
	}
	return c.holder.Reserve(membudget.Socket, unsent-reserved)
}

// settleInterval is the time between looks at the send buffer of a caller that has
// to receive its response before the connection is idle.
const settleInterval = 5 * time.Millisecond

// settleSocket waits until the memory of what the caller hasn't received of its
// response is reserved, or the caller has received it. A caller without progress is
// evicted meanwhile.
func (e *exchange) settleSocket() {
	c, last := e.conn, int64(0)
	for limit := e.writeDeadline(); !c.settleSocket(); time.Sleep(settleInterval) {
		unsent := c.unsent()
		if unsent < last {
			c.holder.Advance(int(last - unsent))
		}
		last = unsent
		if e.s.stopping.Err() != nil || time.Now().After(limit) {
			c.abort()
			_ = c.Close()
			return
		}
	}
}

// drainSocket returns the memory of an idle connection's bytes that its caller has
// received meanwhile.
func (c *callerConn) drainSocket() {
	unsent, reserved := c.unsent(), c.holder.Reserved(membudget.Socket)
	if unsent < reserved && c.holder.Stage() == membudget.Idle {
		c.holder.Advance(int(reserved - unsent))
		c.holder.Return(membudget.Socket, reserved-unsent)
	}
}

// chargeSocket reserves memory for all bytes in the buffers of a connection whose
// caller doesn't read its response: those it hasn't received, and those it has sent
// ahead. It reports false if memory is too short.
func (c *callerConn) chargeSocket() bool {
	missing := c.unsent() + c.unread() - c.holder.Reserved(membudget.Socket)
	return missing <= 0 || c.holder.Reserve(membudget.Socket, missing)
}

// smallBody is the size up to which a body doesn't need a larger receive buffer.
const smallBody = 8 << 10

// openWindow enlarges the receive buffer for a body that is read from now on. Bytes
// that the caller sends when nobody reads are limited by the buffer, so its memory is
// reserved. If there is none to spare, the body comes through the small buffer.
func (c *callerConn) openWindow(bodyLength int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.windowOpen || bodyLength >= 0 && bodyLength <= smallBody {
		return
	}
	if tc, ok := c.Conn.(*net.TCPConn); ok && c.holder.ReserveSpare(membudget.Window, openReceiveBuffer) {
		c.windowOpen = true
		_ = tc.SetReadBuffer(openReceiveBuffer / 2) // which Linux doubles
	}
}

// closeWindow makes the receive buffer of an idle connection small again. It is called
// after a while, when TCP has gone back to small flights: a caller that goes on at once
// loses no bytes by it.
func (c *callerConn) closeWindow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tc, ok := c.Conn.(*net.TCPConn); ok && c.windowOpen && c.exchange == nil {
		c.windowOpen = false
		_ = tc.SetReadBuffer(callerReceiveBuffer)
		c.holder.ReturnAll(membudget.Window)
	}
}

// unsent returns the number of bytes in the send buffer that the caller hasn't
// acknowledged.
func (c *callerConn) unsent() int64 { return c.buffered(unix.TIOCOUTQ) }

// unread returns the number of bytes in the receive buffer.
func (c *callerConn) unread() int64 { return c.buffered(unix.TIOCINQ) }

// buffered returns the number of bytes in one of the operating system's buffers, 0
// if that isn't known.
func (c *callerConn) buffered(request uint) int64 {
	n := 0
	err := c.control(func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, request)
		return err
	})
	if err != nil {
		return 0
	}
	return int64(n)
}

// isHungUp reports whether the caller has closed or reset the connection, also if
// bytes before that are unread. It is false if that isn't known.
func (c *callerConn) isHungUp() bool {
	const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	fds := []unix.PollFd{{Events: unix.POLLRDHUP}}
	n := 0
	err := c.control(func(fd int) (err error) {
		fds[0].Fd = int32(fd)
		n, err = unix.Poll(fds, 0)
		return err
	})
	return err == nil && n > 0 && fds[0].Revents&closed != 0
}

// control calls f with the connection's descriptor.
func (c *callerConn) control(f func(fd int) error) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var ferr error
	if err := raw.Control(func(fd uintptr) { ferr = f(int(fd)) }); err != nil {
		return err
	}
	return ferr
}
