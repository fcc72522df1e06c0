package upstream

import (
	"io"

	"knapweedreel/internal/errkind"
)

// body is the body of an answer. When it was read to its end and the connection
// goes on, Close gives the connection back; otherwise Close closes the
// connection, by which the upstream learns that the rest is not wanted.
type body struct {
	io.ReadCloser
	x      *exchange
	end    bool
	last   bool // it ends with its connection
	closed bool
}

// Read returns io.EOF only after the whole body. A body that ends early gives
// an error of kind TruncatedAnswer; if the context has ended, the error also
// matches the context's.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.end = true
		return n, err
	}
	if err != nil {
		err = contextFirst(b.x.ctx, errkind.Wrap(errkind.TruncatedAnswer, err, "read the answer"))
	}
	return n, err
}

// Close ends the attempt. It may be called again.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.end && !b.last {
		_ = b.ReadCloser.Close()
		b.x.conn.counted.begin(nil)
		b.x.pool.put(b.x.conn)
	} else {
		b.x.pool.discard(b.x.conn)
		_ = b.ReadCloser.Close()
	}
	b.x.cancel()
	return nil
}
