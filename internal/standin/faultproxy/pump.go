package faultproxy

import (
	"net"
	"time"
)

// readBytes holds the largest UDP datagram, and is the unit in which TCP bytes
// are delayed.
const readBytes = 64 << 10

// queueLength bounds the reads that wait for their delay in one direction.
const queueLength = 1_024

// chunk is one read with the time at which it is due.
type chunk struct {
	data []byte
	due  time.Time
}

// pump carries one direction of a connection until its source ends. Bytes are
// read and written by two goroutines, so that a delay does not limit the rate.
// It returns true when the source's end is to be passed on.
func (p *Proxy) pump(c *connection, d direction, from, to net.Conn) bool {
	queue := make(chan chunk, queueLength)
	done := make(chan struct{})
	p.group.Go(func() {
		defer close(done)
		p.write(c, d, to, queue)
	})
	buffer := make([]byte, readBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			queue <- chunk{data: append([]byte(nil), buffer[:n]...), due: time.Now().Add(p.delay())}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	<-done
	return !p.isSilent(c, d)
}

func (p *Proxy) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.control.DelayMS) * time.Millisecond
}

// write passes queued chunks on when they are due. After a failed write it
// goes on emptying the queue.
func (p *Proxy) write(c *connection, d direction, to net.Conn, queue <-chan chunk) {
	failed := false
	for q := range queue {
		if wait := time.Until(q.due); wait > 0 {
			t := time.NewTimer(wait)
			<-t.C
		}
		if failed {
			continue
		}
		v := p.judge(c, d, q.data)
		if v.pass > 0 {
			_, err := to.Write(q.data[:v.pass])
			failed = err != nil
		}
		if len(v.duplicate) > 0 && !failed {
			_, err := to.Write(v.duplicate)
			failed = err != nil
		}
		if v.reset {
			c.reset()
			failed = true
		}
	}
}

// reset closes both connections with a RST.
func (c *connection) reset() {
	resetConn(c.client)
	resetConn(c.target)
	c.close()
}

func resetConn(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only when the connection is closed already
	}
}
