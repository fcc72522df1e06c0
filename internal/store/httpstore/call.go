package httpstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/store"
	"knapweedreel/internal/store/httpcall"
)

// call is one call of the protocol.
type call struct {
	method string
	path   string // escaped
	query  url.Values
	body   any // nil for none
	write  bool
	// decode reads the body of a response with status 200; nil ignores it. It
	// may be called again if the call is retried.
	decode  func(io.Reader) error
	timeout time.Duration
}

// decodeJSON returns a function that decodes a complete response into out.
func decodeJSON(out any) func(io.Reader) error {
	return func(r io.Reader) error { return json.NewDecoder(r).Decode(out) }
}

// do runs the call.
func (c call) do(ctx context.Context, client *httpcall.Client) error {
	return client.Do(ctx, httpcall.Call{
		Method: c.method, Path: c.path, Query: c.query, Body: c.body, Write: c.write,
		HandleResponse: c.handleResponse, Timeout: c.timeout,
	})
}

// handleResponse decodes the response, or converts the store's refusal to an
// error of package store. A non-nil err means that the response is invalid.
func (c call) handleResponse(status int, r io.Reader) (refusal, err error) {
	switch {
	case status != http.StatusOK:
		return decodeRefusal(status, r)
	case c.decode == nil:
		return nil, nil
	default:
		return nil, errors.Wrap(c.decode(r), "decode response")
	}
}

func decodeRefusal(status int, r io.Reader) (refusal, err error) {
	var response ErrorResponse
	if err := json.NewDecoder(r).Decode(&response); err != nil {
		return nil, errors.Newf("status %d without an error code of the store", status)
	}
	switch response.Error {
	case CodeConflict:
		return store.ErrConflict, nil
	case CodeHeld:
		return store.ErrHeld, nil
	case CodeLeaseLost:
		return store.ErrLeaseLost, nil
	case CodeUnavailable, CodeTooLarge, CodeBadRequest:
		return errors.Mark(errors.Newf("status %d: refused: %s", status, response.Error), store.ErrUnavailable), nil
	default:
		return nil, errors.Newf("status %d: unknown error code %q", status, response.Error)
	}
}
