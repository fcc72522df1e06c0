package upstream

import (
	"io"

	"knapweedreel/internal/errkind"
)

// body is the body of a response. If it was read to its end and the connection
// can be reused, Close returns the connection to the pool. Otherwise Close
// closes the connection, which tells the upstream to stop sending.
type body struct {
	io.ReadCloser
	exchange     *exchange
	eof          bool
	endsWithConn bool // the body ends when the connection closes
	closed       bool
}

// Read returns io.EOF only at the end of the complete body. If the body ends
// early, the error has kind TruncatedAnswer. After the context has ended, it
// also matches the context's error.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.eof = true
		return n, err
	}
	if err != nil {
		err = markContextError(b.exchange.ctx, errkind.Wrap(errkind.TruncatedAnswer, err, "read the response"))
	}
	return n, err
}

// Close ends the attempt. It may be called several times.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.eof && !b.endsWithConn {
		_ = b.ReadCloser.Close()
		b.exchange.conn.netConn.setOnClose(nil)
		b.exchange.conn.netConn.setWindow(false)
		b.exchange.pool.put(b.exchange.conn)
	} else {
		b.exchange.pool.discard(b.exchange.conn)
		_ = b.ReadCloser.Close()
	}
	b.exchange.cancel()
	return nil
}
