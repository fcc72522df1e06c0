package upstream

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"knapweedreel/internal/errkind"
)

// HeaderRequestID carries the identity of a request. Upstreams echo it.
const HeaderRequestID = "Knapweedreel-Request-Id"

// Trace tells what is known of an attempt, also of one that failed.
type Trace struct {
	Fresh    bool          // the connection was opened for this attempt
	Sent     bool          // bytes of the request may have been written
	Received bool          // bytes of an answer were received
	Latency  time.Duration // from sending to the end of the answer header
}

// Answer is an answer whose header has passed the checks. Its body must be
// closed.
type Answer struct {
	*http.Response
}

// Do makes one attempt: it takes or opens a connection to t, writes req and
// reads the header of the answer. The context bounds the whole attempt,
// including the reading of the body. Errors carry an errkind.Kind; the errors
// of a cancelled context are wrapped and do not.
func (p *Pools) Do(ctx context.Context, t Target, req *http.Request, idempotent bool) (*Answer, Trace, error) {
	pl, c, err := p.get(ctx, t, idempotent)
	if err != nil {
		return nil, Trace{Fresh: true}, err
	}
	trace := Trace{Fresh: c.fresh}
	read, written := c.counted.read.Load(), c.counted.written.Load()
	started := time.Now()
	resp, err := c.client.RoundTrip(req.WithContext(ctx))
	trace.Latency = time.Since(started)
	trace.Sent = c.counted.wroteSince(written)
	trace.Received = c.counted.read.Load() != read
	if err != nil {
		c.close()
		pl.done()
		return nil, trace, roundTripError(trace, err)
	}
	resp.Body = &body{ReadCloser: resp.Body, pool: pl, conn: c}
	if err := check(req, resp); err != nil {
		_ = resp.Body.Close()
		return nil, trace, err
	}
	return &Answer{resp}, trace, nil
}

func roundTripError(trace Trace, err error) error {
	if trace.Received {
		return errkind.Wrap(errkind.TruncatedAnswer, err, "answer header")
	}
	return errkind.Wrap(errkind.UpstreamReset, err, "request")
}

// check refuses answers that cannot be passed on as the whole answer to req.
func check(req *http.Request, resp *http.Response) error {
	if echo, ok := resp.Header[HeaderRequestID]; ok && (len(echo) != 1 || echo[0] != req.Header.Get(HeaderRequestID)) {
		return errkind.New(errkind.CrossedAnswer, "answer belongs to request %q", echo)
	}
	if resp.StatusCode < http.StatusOK {
		return errkind.New(errkind.BadAnswer, "unexpected status %d", resp.StatusCode)
	}
	if !framed(req, resp) {
		return errkind.New(errkind.BadAnswer, "answer has neither a length nor chunked framing")
	}
	return nil
}

// framed reports whether the end of the answer can be told from the end of
// the connection.
func framed(req *http.Request, resp *http.Response) bool {
	return req.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent ||
		resp.StatusCode == http.StatusNotModified ||
		resp.ContentLength >= 0 ||
		slices.Contains(resp.TransferEncoding, "chunked")
}

// body gives the connection back once the answer was read to its end, and
// closes it otherwise.
type body struct {
	io.ReadCloser
	pool *pool
	conn *conn
	end  bool
	done bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.end = true
	}
	return n, err
}

func (b *body) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	if b.end {
		_ = b.ReadCloser.Close()
		b.pool.put(b.conn)
		return nil
	}
	b.conn.close()
	err := b.ReadCloser.Close()
	b.pool.done()
	return err
}
