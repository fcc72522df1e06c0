package httpstore

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/store"
)

// maxAnswerBytes bounds an answer, before and after decompression. A list of 590
// documents of 27 KiB needs 21 MiB in base64.
const maxAnswerBytes = 64 << 20

// call is one call of the protocol.
type call struct {
	method string
	path   string // escaped
	query  url.Values
	body   any // nil for none
	write  bool
	// decode reads the answer of status 200; nil ignores it. It may run again
	// when the call is repeated.
	decode  func(io.Reader) error
	timeout time.Duration
}

// into decodes an answer as a whole.
func into(answer any) func(io.Reader) error {
	return func(r io.Reader) error { return json.NewDecoder(r).Decode(answer) }
}

// do runs the call on p. A read is repeated once on a fresh connection when a
// kept connection breaks; a write only when no byte of it was written.
func (p *pool) do(ctx context.Context, c call) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var body []byte
	if c.body != nil {
		var err error
		if body, err = json.Marshal(c.body); err != nil {
			return errors.Wrap(err, "encode")
		}
	}
	for fresh := false; ; fresh = true {
		again, err := p.attempt(ctx, c, body, fresh)
		if err != nil && again && ctx.Err() == nil {
			continue
		}
		return errors.Wrapf(err, "%s %s", c.method, c.path)
	}
}

// attempt runs the call on one connection. again says that the call had no
// effect and may be repeated on a fresh connection.
func (p *pool) attempt(ctx context.Context, c call, body []byte, fresh bool) (again bool, err error) {
	cn, err := p.take(ctx, fresh)
	if err != nil {
		return false, errors.Mark(err, store.ErrUnavailable)
	}
	refusal, err := cn.roundTrip(ctx, p.address, c, body)
	if err == nil {
		p.put(cn)
		return false, refusal
	}
	cn.close()
	if ctx.Err() != nil {
		p.closeIdle()
	}
	if c.write && cn.tracker.wrote() {
		return false, errors.Mark(err, store.ErrUnknownResult)
	}
	return cn.reused, errors.Mark(err, store.ErrUnavailable)
}

// roundTrip sends the call and decodes its answer. The first error is the
// store's own refusal; the second one means that no whole and proper answer was
// received, and that the connection is of no further use.
func (cn *conn) roundTrip(ctx context.Context, address string, c call, body []byte) (refusal, err error) {
	req, err := c.request(ctx, address, body)
	if err != nil {
		return nil, err
	}
	resp, err := cn.http.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	r, err := answerReader(resp)
	if err != nil {
		return nil, err
	}
	if refusal, err = c.finish(resp, r); err != nil {
		return nil, err
	}
	// The connection is kept only when the answer ends here.
	_, err = io.Copy(io.Discard, r)
	return refusal, err
}

func (c call) request(ctx context.Context, address string, body []byte) (*http.Request, error) {
	u := &url.URL{Scheme: "http", Host: address, RawPath: c.path, RawQuery: c.query.Encode()}
	var err error
	if u.Path, err = url.PathUnescape(c.path); err != nil {
		return nil, err
	}
	req := &http.Request{Method: c.method, URL: u, Header: http.Header{}, Host: address}
	if body != nil {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	if !c.write {
		req.Header.Set("Accept-Encoding", "gzip")
	}
	return req.WithContext(ctx), nil
}

// answerReader returns the decompressed, bounded body.
func answerReader(resp *http.Response) (io.Reader, error) {
	r := io.LimitReader(resp.Body, maxAnswerBytes)
	if resp.Header.Get("Content-Encoding") != "gzip" {
		return r, nil
	}
	gz, err := gzip.NewReader(r)
	if err != nil {
		return nil, errors.Wrap(err, "decompress answer")
	}
	return io.LimitReader(gz, maxAnswerBytes), nil
}

// finish decodes the answer, or maps the store's refusal to an error of package
// store. err means that the answer is not understood.
func (c call) finish(resp *http.Response, r io.Reader) (refusal, err error) {
	switch {
	case resp.StatusCode != http.StatusOK:
		return decodeRefusal(resp.StatusCode, r)
	case c.decode == nil:
		return nil, nil
	default:
		return nil, errors.Wrap(c.decode(r), "decode answer")
	}
}

func decodeRefusal(status int, r io.Reader) (refusal, err error) {
	var a ErrorAnswer
	if err := json.NewDecoder(r).Decode(&a); err != nil {
		return nil, errors.Newf("status %d without a refusal of the store", status)
	}
	switch a.Error {
	case CodeConflict:
		return store.ErrConflict, nil
	case CodeHeld:
		return store.ErrHeld, nil
	case CodeLeaseLost:
		return store.ErrLeaseLost, nil
	case CodeUnavailable, CodeTooLarge, CodeBadRequest:
		return errors.Mark(errors.Newf("status %d: refused: %s", status, a.Error), store.ErrUnavailable), nil
	default:
		return nil, errors.Newf("status %d: unknown refusal %q", status, a.Error)
	}
}
