package faultproxy

import (
	"net"
	"time"
)

// readBufferBytes is enough for the largest UDP datagram. TCP bytes are delayed
// in chunks of at most this size.
const readBufferBytes = 64 << 10

// queueLength limits the delayed chunks of one direction.
const queueLength = 1_024

// chunk is the data of one read, with the time at which to forward it.
type chunk struct {
	data []byte
	due  time.Time
}

// pump forwards one direction of a connection until a read fails. Two
// goroutines read and write, so that a delay does not limit the throughput. It
// returns true if the end of the stream is to be forwarded too.
func (p *Proxy) pump(c *connection, d direction, from, to net.Conn) bool {
	queue := make(chan chunk, queueLength)
	done := make(chan struct{})
	p.group.Go(func() {
		defer close(done)
		p.write(c, d, to, queue)
	})
	buffer := make([]byte, readBufferBytes)
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

// write forwards queued chunks when they are due. After a failed write it keeps
// draining the queue, so that the reader does not block.
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
		a := p.applyFaults(c, d, q.data)
		if a.forward > 0 {
			_, err := to.Write(q.data[:a.forward])
			failed = err != nil
		}
		if len(a.duplicate) > 0 && !failed {
			_, err := to.Write(a.duplicate)
			failed = err != nil
		}
		if a.reset {
			c.reset()
			failed = true
		}
	}
}

// reset closes both connections with a TCP RST.
func (c *connection) reset() {
	resetConn(c.client)
	resetConn(c.target)
	c.close()
}

func resetConn(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection is already closed
	}
}
