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
	// decode reads the answer of status 200; nil ignores it. It may run again
	// when the call is repeated.
	decode  func(io.Reader) error
	timeout time.Duration
}

// into decodes an answer as a whole.
func into(answer any) func(io.Reader) error {
	return func(r io.Reader) error { return json.NewDecoder(r).Decode(answer) }
}

// do runs the call.
func (c call) do(ctx context.Context, client *httpcall.Client) error {
	return client.Do(ctx, httpcall.Call{
		Method: c.method, Path: c.path, Query: c.query, Body: c.body, Write: c.write,
		Finish: c.finish, Timeout: c.timeout,
	})
}

// finish decodes the answer, or maps the store's refusal to an error of package
// store. err means that the answer is not understood.
func (c call) finish(status int, r io.Reader) (refusal, err error) {
	switch {
	case status != http.StatusOK:
		return decodeRefusal(status, r)
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
