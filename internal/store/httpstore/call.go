package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/store"
)

// maxAnswerBytes bounds an answer. A list of 590 documents of 32 KiB needs
// 25 MiB in base64.
const maxAnswerBytes = 64 << 20

// call is one call of the protocol.
type call struct {
	method  string
	path    string // escaped
	query   url.Values
	body    any // nil for none
	answer  any // filled on status 200; nil for none
	write   bool
	timeout time.Duration
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
	status, answer, err := cn.roundTrip(ctx, p.address, c, body)
	if err != nil {
		cn.close()
		if ctx.Err() != nil {
			p.closeIdle()
		}
		if c.write && cn.tracker.wrote() {
			return false, errors.Mark(err, store.ErrUnknownResult)
		}
		return cn.reused, errors.Mark(err, store.ErrUnavailable)
	}
	p.put(cn)
	return false, c.finish(status, answer)
}

func (cn *conn) roundTrip(ctx context.Context, address string, c call, body []byte) (int, []byte, error) {
	u := &url.URL{Scheme: "http", Host: address, RawQuery: c.query.Encode()}
	var err error
	if u.Path, err = url.PathUnescape(c.path); err != nil {
		return 0, nil, err
	}
	u.RawPath = c.path
	req := (&http.Request{Method: c.method, URL: u, Header: http.Header{}, Host: address}).WithContext(ctx)
	if body != nil {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := cn.http.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if len(answer) > maxAnswerBytes {
		return 0, nil, errors.Newf("answer is over %d bytes", maxAnswerBytes)
	}
	return resp.StatusCode, answer, nil
}

// finish decodes the answer, or maps a refusal to an error of package store.
func (c call) finish(status int, answer []byte) error {
	if status == http.StatusOK {
		if c.answer == nil {
			return nil
		}
		if err := json.Unmarshal(answer, c.answer); err != nil {
			return errors.Mark(errors.Wrap(err, "decode answer"), c.failure())
		}
		return nil
	}
	var refusal ErrorAnswer
	if err := json.Unmarshal(answer, &refusal); err != nil {
		return errors.Mark(errors.Newf("status %d without a refusal of the store", status), c.failure())
	}
	switch refusal.Error {
	case CodeConflict:
		return store.ErrConflict
	case CodeHeld:
		return store.ErrHeld
	case CodeLeaseLost:
		return store.ErrLeaseLost
	case CodeUnavailable, CodeTooLarge, CodeBadRequest:
		return errors.Mark(errors.Newf("status %d: refused: %s", status, refusal.Error), store.ErrUnavailable)
	default:
		return errors.Mark(errors.Newf("status %d: unknown refusal %q", status, refusal.Error), c.failure())
	}
}

// failure is the error of an answer that cannot be understood.
func (c call) failure() error {
	if c.write {
		return store.ErrUnknownResult
	}
	return store.ErrUnavailable
}
