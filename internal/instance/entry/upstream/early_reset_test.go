package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
)

// slowWriteError is a connection that announces the error of a Write, and returns it
// only after a delay.
type slowWriteError struct {
	*net.TCPConn
	delay  time.Duration
	once   *sync.Once
	failed chan struct{} // closed when a Write has failed
}

func (c slowWriteError) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
		timer := time.NewTimer(c.delay)
		defer timer.Stop()
		<-timer.C
	}
	return n, err
}

// uploadTo returns an attempt that uploads bytes without an end.
func uploadTo(u *rawUpstream, idempotent bool) Attempt {
	a := u.newAttempt("id-1")
	a.Idempotent = idempotent
	a.Request.Method = http.MethodPost
	a.Request.Body, a.Request.ContentLength = io.NopCloser(zeros{}), 1<<40
	return a
}

// awaitUnread waits until the operating system holds bytes that were not read. The
// connection is then reset when it is closed.
func awaitUnread(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
}

const unframedHead = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id-1\r\n\r\n"

func unframedPools(t *testing.T, change ...func(*Config)) *Pools {
	return newPools(t, append(change, func(cfg *Config) {
		cfg.Protocol = DefaultProtocol()
		cfg.Protocol.Unframed = true
	})...)
}

// Guards against a part of a response without a length that counts as complete,
// because writing the request was the first to see that the connection was reset:
// the operating system reports a reset once, and further reads see an end like that
// of a complete response. The upstream resets the connection while the upload is
// being written, with unread bytes or by itself, and the read of the response comes
// after the failed write, or between its failure and its return.
func TestEarlyResponseWithoutLengthIsTruncatedByReset(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		for _, size := range []int{10, 100 << 10} {
			for name, end := range map[string]func(*net.TCPConn){"unread bytes": awaitUnread, "reset": reset} {
				for _, delay := range []time.Duration{0, 50 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s/%d bytes/idempotent=%t/delay=%v", name, size, idempotent, delay), func(t *testing.T) {
						received := make(chan struct{})
						u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
							u.readRequest(br)
							_, _ = io.WriteString(c, unframedHead+strings.Repeat("x", size))
							<-received
							end(c)
						})
						failed := make(chan struct{})
						p := unframedPools(t, func(cfg *Config) {
							cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
								c, err := new(net.Dialer).DialContext(ctx, network, address)
								if err != nil {
									return nil, err
								}
								return slowWriteError{c.(*net.TCPConn), delay, new(sync.Once), failed}, nil
							}
						})
						resp, _, err := p.Do(testContext(t), uploadTo(u, idempotent))
						close(received)
						if err != nil {
							t.Fatal(err)
						}
						defer func() { _ = resp.Body.Close() }()
						select {
						case <-failed:
						case <-time.After(waitTimeout):
							t.Fatal("the upload continues")
						}
						if data, err := io.ReadAll(resp.Body); errkind.Of(err) != errkind.TruncatedAnswer {
							t.Errorf("%d bytes count as the complete response, error %v", len(data), err)
						}
					})
				}
			}
		}
	}
}

// Guards against the same without any order between reading and writing.
func TestEarlyResponseAndResetAtAnyTime(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, n int, c *net.TCPConn, br *bufio.Reader) {
		u.readRequest(br)
		_, _ = io.WriteString(c, unframedHead+"part")
		timer := time.NewTimer(time.Duration(n%10) * 100 * time.Microsecond)
		defer timer.Stop()
		<-timer.C
		if n%2 == 0 {
			reset(c)
		} else {
			awaitUnread(c)
		}
	})
	p := unframedPools(t)
	for n := range 300 {
		resp, trace, err := p.Do(testContext(t), uploadTo(u, n%3 == 0))
		if err != nil {
			if !trace.Sent {
				t.Errorf("upload %d: not sent, error %v", n, err)
			}
			continue
		}
		if data, err := io.ReadAll(resp.Body); errkind.Of(err) != errkind.TruncatedAnswer {
			t.Fatalf("upload %d: %q counts as the complete response, error %v", n, data, err)
		}
		_ = resp.Body.Close()
	}
}

// Guards against a complete response that counts as truncated: the upstream ends it
// in order, before it has read the upload, and either never reads the rest or resets
// the connection afterwards.
func TestEarlyResponseWithoutLengthThatEndsInOrder(t *testing.T) {
	for _, resets := range []bool{false, true} {
		t.Run(fmt.Sprintf("resets=%t", resets), func(t *testing.T) {
			read := make(chan struct{})
			u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
				u.readRequest(br)
				_, _ = io.WriteString(c, unframedHead+"whole")
				_ = c.CloseWrite()
				if resets {
					reset(c)
				}
				<-read
			})
			p := unframedPools(t)
			resp, _, err := p.Do(testContext(t), uploadTo(u, false))
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			data, err := io.ReadAll(resp.Body)
			close(read)
			if string(data) != "whole" || err != nil {
				t.Errorf("%q, error %v", data, err)
			}
			if d := time.Since(began); d > waitTimeout/2 {
				t.Errorf("read after %v", d)
			}
			_ = resp.Body.Close()
		})
	}
}

// Guards against a status that HTTP doesn't have, or that only announces a response,
// in a response that is passed on.
func TestInvalidStatusIsBadAnswer(t *testing.T) {
	const rest = "\r\n" + HeaderRequestID + ": id-1\r\nContent-Length: 2\r\n\r\nok"
	for _, line := range []string{
		"000 S", "000", "001 S", "099 S", "600 S", "700 S", "999 S", "101 S", "-01 S", "+20 S", "2x0 S", "20 S", "2000 S", "OK", "", "0x2 S", "٢٠٠ S",
	} {
		for _, unframed := range []bool{false, true} {
			checkBadAnswer(t, fmt.Sprintf("%q, unframed allowed %t", line, unframed), "HTTP/1.1 "+line+rest, unframed)
		}
	}
	for _, status := range []string{"100", "102", "103", "199"} {
		checkBadAnswer(t, "flood of "+status, strings.Repeat("HTTP/1.1 "+status+" S\r\n"+HeaderRequestID+": id-1\r\n\r\n", 10_000), false)
	}
}

func checkBadAnswer(t *testing.T, name, response string, unframed bool) {
	t.Helper()
	u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
		u.readRequest(br)
		_, _ = io.WriteString(c, response)
		drain(br)
	})
	p := newPools(t, func(cfg *Config) {
		cfg.Protocol = DefaultProtocol()
		cfg.Protocol.Unframed = unframed
	})
	resp, _, err := p.Do(testContext(t), u.newAttempt("id-1"))
	if err == nil {
		t.Errorf("%s: status %d was accepted", name, resp.StatusCode)
		_ = resp.Body.Close()
	} else if kind := errkind.Of(err); kind != errkind.BadAnswer {
		t.Errorf("%s: kind %s, error %v", name, kind, err)
	}
	p.Close()
}
