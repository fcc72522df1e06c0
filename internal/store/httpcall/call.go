package httpcall

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

// Call is one call of a protocol.
type Call struct {
	Method string
	Path   string // escaped
	Query  url.Values
	Body   any  // encoded as JSON, nil for none
	Write  bool // has an effect
	// Finish takes the answer. The first error is the service's own refusal;
	// the second one means that the answer is not understood, which leaves the
	// result of a write unknown. It may run again when the call is repeated.
	Finish  func(status int, body io.Reader) (refusal, err error)
	Timeout time.Duration // of the whole call
}

// Do runs the call on p. A read is repeated once on a fresh connection when a
// kept connection breaks; a write only when no byte of it was written.
func (p *Client) Do(ctx context.Context, c Call) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var body []byte
	if c.Body != nil {
		var err error
		if body, err = json.Marshal(c.Body); err != nil {
			return errors.Wrap(err, "encode")
		}
	}
	for fresh := false; ; fresh = true {
		again, err := p.attempt(ctx, c, body, fresh)
		if err != nil && again && ctx.Err() == nil {
			continue
		}
		return errors.Wrapf(err, "%s %s", c.Method, c.Path)
	}
}

// attempt runs the call on one connection. again says that the call had no
// effect and may be repeated on a fresh connection.
func (p *Client) attempt(ctx context.Context, c Call, body []byte, fresh bool) (again bool, err error) {
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
		p.CloseIdle()
	}
	if c.Write && cn.tracker.wrote() {
		return false, errors.Mark(err, store.ErrUnknownResult)
	}
	return cn.reused, errors.Mark(err, store.ErrUnavailable)
}

// roundTrip sends the call and decodes its answer. The first error is the
// store's own refusal; the second one means that no whole and proper answer was
// received, and that the connection is of no further use.
func (cn *conn) roundTrip(ctx context.Context, address string, c Call, body []byte) (refusal, err error) {
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
	if refusal, err = c.Finish(resp.StatusCode, r); err != nil {
		return nil, err
	}
	// The connection is kept only when the answer ends here.
	_, err = io.Copy(io.Discard, r)
	return refusal, err
}

func (c Call) request(ctx context.Context, address string, body []byte) (*http.Request, error) {
	u := &url.URL{Scheme: "http", Host: address, RawPath: c.Path, RawQuery: c.Query.Encode()}
	var err error
	if u.Path, err = url.PathUnescape(c.Path); err != nil {
		return nil, err
	}
	req := &http.Request{Method: c.Method, URL: u, Header: http.Header{}, Host: address}
	if body != nil {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	if !c.Write {
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
