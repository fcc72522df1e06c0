// Package adminclient is the client of the operators' HTTPS server of an
// instance.
package adminclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/instance/platform"
)

const (
	// connectLimit bounds a connection with its handshake.
	connectLimit = 3 * time.Second
	// callLimit bounds a call. It is above the server's 10 s limit of a put.
	callLimit = 15 * time.Second
	// maxAnswerBytes bounds an answer; the largest is the status of a fleet of
	// 2,800 members or an audit ring of 1 MiB.
	maxAnswerBytes = 16 << 20
)

// ErrUnreachable means that nothing was sent, because no connection to the
// instance could be opened.
var ErrUnreachable = errors.New("instance is not reachable")

// Client calls one instance. It may be used by several goroutines.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client of the instance at address, an IP:port. The TLS settings
// come from keys.Material.AdminClient.
func New(address string, settings *tls.Config) *Client {
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: connectLimit}, Config: settings}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectLimit)
		defer cancel()
		c, err := dialer.DialContext(ctx, network, address)
		return c, errors.Mark(err, ErrUnreachable)
	}
	// Each call has a connection of its own. A write on a kept connection that
	// breaks would have an unknown result although nothing was wrong, and kept
	// connections of clients that are made for one call would use up the
	// connections that the server accepts.
	t := &http.Transport{DialTLSContext: dial, DisableKeepAlives: true}
	return &Client{address: address, http: &http.Client{Transport: t}}
}

// Document returns the document in force.
func (c *Client) Document(ctx context.Context, service string) (document.Envelope, error) {
	var e document.Envelope
	return e, c.get(ctx, "/v1/documents/"+url.PathEscape(service), nil, &e)
}

// History returns the latest changes of the document in force.
func (c *Client) History(ctx context.Context, service string) (admin.History, error) {
	var h admin.History
	return h, c.get(ctx, "/v1/documents/"+url.PathEscape(service)+"/history", nil, &h)
}

// Put puts a document. A result that is not accepted is no error. When the
// answer is lost the outcome is platform.Unknown. An error means that the
// change was not tried: ErrUnreachable, or an error with a kind.
func (c *Client) Put(ctx context.Context, service string, text []byte, revision uint64, changeID string) (platform.PutResult, error) {
	query := url.Values{"revision": {strconv.FormatUint(revision, 10)}, "change": {changeID}}
	var r platform.PutResult
	err := c.call(ctx, http.MethodPut, "/v1/documents/"+url.PathEscape(service), query, text, &r)
	return putResult(r, err, changeID)
}

// ChangeResult asks again for a put whose result was unknown.
func (c *Client) ChangeResult(ctx context.Context, service, changeID string) (platform.PutResult, error) {
	var r platform.PutResult
	err := c.get(ctx, "/v1/changes/"+url.PathEscape(service)+"/"+url.PathEscape(changeID), nil, &r)
	return putResult(r, err, changeID)
}

// putResult sorts the answers to a put: a result under an error status is a
// result, and an answer that is lost or not understood is an unknown one.
func putResult(r platform.PutResult, err error, changeID string) (platform.PutResult, error) {
	var refused *refusal
	switch {
	case err == nil, errors.Is(err, ErrUnreachable):
		return r, err
	case errors.As(err, &refused) && json.Unmarshal(refused.body, &r) == nil && r.Outcome != "":
		return r, nil
	case errors.As(err, &refused) && errkind.Lookup(refused.kind).Run == errkind.NotRun:
		return platform.PutResult{}, err
	default:
		return platform.PutResult{
			Outcome: platform.Unknown, Kind: errkind.StoreUnknown,
			Message: "the instance's answer was lost; ask again for change " + changeID + ": " + err.Error(),
		}, nil
	}
}

// Status returns what the instance knows.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	return s, c.get(ctx, "/v1/status", nil, &s)
}

// ExplainUpstream tells why the upstream is in its state.
func (c *Client) ExplainUpstream(ctx context.Context, service, upstream string) (admin.UpstreamExplanation, error) {
	var e admin.UpstreamExplanation
	return e, c.get(ctx, "/v1/explain/upstreams/"+url.PathEscape(service)+"/"+url.PathEscape(upstream), nil, &e)
}

// ExplainRequest tells why a request got its answer.
func (c *Client) ExplainRequest(ctx context.Context, id string) (admin.RequestExplanation, error) {
	var e admin.RequestExplanation
	return e, c.get(ctx, "/v1/explain/requests/"+url.PathEscape(id), nil, &e)
}

// Audit returns records of the audit trail, oldest first.
func (c *Client) Audit(ctx context.Context, q admin.AuditQuery) ([]audit.Record, error) {
	var records []audit.Record
	return records, c.get(ctx, "/v1/audit", q.Values(), &records)
}

// Metrics returns the metrics page.
func (c *Client) Metrics(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	resp, err := c.send(ctx, http.MethodGet, "/v1/metrics", nil, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return readAnswer(resp)
}

// Trace passes the events of the health engine to each until ctx ends, the
// stream ends or each returns an error, which it returns.
func (c *Client) Trace(ctx context.Context, each func(admin.TracedEvent) error) error {
	resp, err := c.send(ctx, http.MethodGet, "/v1/trace", nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, err := readAnswer(resp)
		return err
	}
	d := json.NewDecoder(resp.Body)
	for {
		var e admin.TracedEvent
		if err := d.Decode(&e); err != nil {
			if errors.Is(err, io.EOF) || ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "read trace")
		}
		if err := each(e); err != nil {
			return err
		}
	}
}

func (c *Client) get(ctx context.Context, path string, query url.Values, answer any) error {
	return c.call(ctx, http.MethodGet, path, query, nil, answer)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	resp, err := c.send(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := readAnswer(resp)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(data, answer), "%s %s: decode answer", method, path)
}

func (c *Client) send(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Response, error) {
	u := "https://" + c.address + path
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, u, reader)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "request"), ErrUnreachable)
	}
	resp, err := c.http.Do(req)
	return resp, errors.Wrapf(err, "%s %s", method, path)
}

// refusal is an answer with an error status.
type refusal struct {
	kind errkind.Kind
	body []byte
	text string
}

// Error returns the message in the answer.
func (r *refusal) Error() string { return r.text }

func readAnswer(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(data) > maxAnswerBytes {
		return nil, errors.Newf("answer is over %d bytes", maxAnswerBytes)
	}
	if resp.StatusCode == http.StatusOK {
		return data, nil
	}
	r := &refusal{kind: errkind.Kind(resp.Header.Get(errkind.HeaderError)), body: data, text: resp.Status}
	var f admin.Failure
	if json.Unmarshal(data, &f) == nil && f.Message != "" {
		r.text = f.Message
	}
	if r.kind == "" {
		r.kind = errkind.Internal
	}
	return nil, errkind.Wrap(r.kind, r, "instance answered %d", resp.StatusCode)
}
