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

// maxResponseBytes bounds a response body, before and after decompression. A
// list of 590 documents of 27 KiB needs 21 MiB in base64.
const maxResponseBytes = 64 << 20

// Call is one HTTP request and the handling of its response.
type Call struct {
	Method string
	Path   string // escaped
	Query  url.Values
	Body   any  // encoded as JSON, nil for none
	Write  bool // changes something at the service
	// HandleHeader is called with the header of each response before
	// HandleResponse, unless it is nil. An error means that the response is invalid.
	HandleHeader func(http.Header) error
	// HandleResponse decodes the response. It returns a non-nil refusal if the
	// service refused the call, and a non-nil err if the response is invalid,
	// which leaves the result of a write unknown. It may be called again if the
	// call is retried.
	HandleResponse func(status int, body io.Reader) (refusal, err error)
	Timeout        time.Duration // for the complete call, including a retry
}

// Do runs the call. If an idle connection turns out to be broken, the call is
// retried once on a new connection; a write only if none of it was written. Do
// returns a refusal wrapped. If there was no valid response, the error is marked
// with store.ErrUnavailable, or with store.ErrUnknownResult if a write may have
// taken effect.
func (cl *Client) Do(ctx context.Context, c Call) error {
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
		retryable, err := cl.attempt(ctx, c, body, fresh)
		if err != nil && retryable && ctx.Err() == nil {
			continue
		}
		return errors.Wrapf(err, "%s %s", c.Method, c.Path)
	}
}

// attempt runs the call on one connection. retryable means that the call had no
// effect and may be retried on a new connection.
func (cl *Client) attempt(ctx context.Context, c Call, body []byte, fresh bool) (retryable bool, err error) {
	cn, err := cl.getConn(ctx, fresh)
	if err != nil {
		return false, errors.Mark(err, store.ErrUnavailable)
	}
	refusal, err := cn.roundTrip(ctx, cl.address, c, body)
	if err == nil {
		cl.putConn(cn)
		return false, refusal
	}
	cn.close()
	if ctx.Err() != nil {
		cl.CloseIdle()
	}
	if c.Write && cn.tracker.wrote() {
		return false, errors.Mark(err, store.ErrUnknownResult)
	}
	return cn.reused, errors.Mark(err, store.ErrUnavailable)
}

// roundTrip sends the call and decodes the response. It returns a non-nil refusal
// if the service refused the call, and a non-nil err if no complete and valid
// response was received; then the connection must be closed.
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
	if c.HandleHeader != nil {
		if err := c.HandleHeader(resp.Header); err != nil {
			return nil, err
		}
	}
	r, err := responseReader(resp)
	if err != nil {
		return nil, err
	}
	if refusal, err = c.HandleResponse(resp.StatusCode, r); err != nil {
		return nil, err
	}
	// The connection can be reused only if the body was read to its end.
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

// responseReader returns the decompressed, bounded body.
func responseReader(resp *http.Response) (io.Reader, error) {
	r := io.LimitReader(resp.Body, maxResponseBytes)
	if resp.Header.Get("Content-Encoding") != "gzip" {
		return r, nil
	}
	gz, err := gzip.NewReader(r)
	if err != nil {
		return nil, errors.Wrap(err, "decompress response")
	}
	return io.LimitReader(gz, maxResponseBytes), nil
}
