// Package adminclient is a client for the admin HTTPS server of an instance.
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
	// connectTimeout bounds opening a connection, including the TLS handshake.
	connectTimeout = 3 * time.Second
	// callTimeout bounds a call. It is longer than the server's 10 s for a put.
	callTimeout = 15 * time.Second
	// maxResponseBytes bounds a response. The largest are the status of a fleet
	// of 2,800 members and an audit ring of 1 MiB.
	maxResponseBytes = 16 << 20
)

// ErrUnreachable means that no connection to the instance could be opened, so
// nothing was sent.
var ErrUnreachable = errors.New("instance is not reachable")

// Client calls one instance. It is safe for concurrent use. The errors of its
// methods are ErrUnreachable if no connection could be opened, and have the kind
// of the response if the instance responded with an error.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for the instance at address, an IP:port, with the TLS
// configuration of keys.Credentials.AdminClient.
func New(address string, config *tls.Config) *Client {
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: connectTimeout}, Config: config}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		c, err := dialer.DialContext(ctx, network, address)
		return c, errors.Mark(err, ErrUnreachable)
	}
	// Each call opens a connection of its own. A put on a reused connection that
	// breaks would have an unknown result although the instance is healthy, and
	// idle connections of clients created for one call would use up the
	// connections that the server accepts.
	t := &http.Transport{DialTLSContext: dial, DisableKeepAlives: true}
	return &Client{address: address, http: &http.Client{Transport: t}}
}

// Document returns the service's document in effect.
func (c *Client) Document(ctx context.Context, service string) (document.Envelope, error) {
	var e document.Envelope
	return e, c.get(ctx, "/v1/documents/"+url.PathEscape(service), nil, &e)
}

// History returns the latest changes of the service's document in effect.
func (c *Client) History(ctx context.Context, service string) (admin.History, error) {
	var h admin.History
	return h, c.get(ctx, "/v1/documents/"+url.PathEscape(service)+"/history", nil, &h)
}

// Put puts a document. If the change is not accepted, the result says so and the
// error is nil. If the response is lost, the outcome is platform.Unknown. An
// error means that the change was not attempted: it is ErrUnreachable or has a
// kind.
func (c *Client) Put(ctx context.Context, service string, text []byte, revision uint64, changeID string) (platform.PutResult, error) {
	query := url.Values{"revision": {strconv.FormatUint(revision, 10)}, "change": {changeID}}
	var r platform.PutResult
	err := c.call(ctx, http.MethodPut, "/v1/documents/"+url.PathEscape(service), query, text, &r)
	return putResult(r, err, changeID)
}

// ChangeResult returns the current result of a put whose result was unknown.
func (c *Client) ChangeResult(ctx context.Context, service, changeID string) (platform.PutResult, error) {
	var r platform.PutResult
	err := c.get(ctx, "/v1/changes/"+url.PathEscape(service)+"/"+url.PathEscape(changeID), nil, &r)
	return putResult(r, err, changeID)
}

// putResult returns the result of a put: a result that came with an error
// status is no error, and a response that was lost or cannot be decoded means
// that the outcome is unknown.
func putResult(r platform.PutResult, err error, changeID string) (platform.PutResult, error) {
	var rejected *responseError
	switch {
	case err == nil, errors.Is(err, ErrUnreachable):
		return r, err
	case errors.As(err, &rejected) && json.Unmarshal(rejected.body, &r) == nil && r.Outcome != "":
		return r, nil
	case errors.As(err, &rejected) && errkind.Lookup(rejected.kind).Run == errkind.NotRun:
		return platform.PutResult{}, err
	default:
		return platform.PutResult{
			Outcome: platform.Unknown, Kind: errkind.StoreUnknown,
			Message: "the instance's response was lost; ask again for change " + changeID + ": " + err.Error(),
		}, nil
	}
}

// Status returns the instance's status.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	return s, c.get(ctx, "/v1/status", nil, &s)
}

// ExplainUpstream explains the state of an upstream.
func (c *Client) ExplainUpstream(ctx context.Context, service, upstream string) (admin.UpstreamExplanation, error) {
	var e admin.UpstreamExplanation
	return e, c.get(ctx, "/v1/explain/upstreams/"+url.PathEscape(service)+"/"+url.PathEscape(upstream), nil, &e)
}

// ExplainRequest explains the response to a request.
func (c *Client) ExplainRequest(ctx context.Context, id string) (admin.RequestExplanation, error) {
	var e admin.RequestExplanation
	return e, c.get(ctx, "/v1/explain/requests/"+url.PathEscape(id), nil, &e)
}

// Audit returns the records of the audit trail that q selects, oldest first.
func (c *Client) Audit(ctx context.Context, q admin.AuditQuery) ([]audit.Record, error) {
	var records []audit.Record
	return records, c.get(ctx, "/v1/audit", q.Values(), &records)
}

// Metrics returns the metrics in the Prometheus text format.
func (c *Client) Metrics(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.send(ctx, http.MethodGet, "/v1/metrics", nil, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return readResponse(resp)
}

// Trace calls onEvent with each event of the health engine until ctx or the
// stream ends. If onEvent returns an error, Trace stops and returns it.
func (c *Client) Trace(ctx context.Context, onEvent func(admin.TracedEvent) error) error {
	resp, err := c.send(ctx, http.MethodGet, "/v1/trace", nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, err := readResponse(resp)
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
		if err := onEvent(e); err != nil {
			return err
		}
	}
}

func (c *Client) get(ctx context.Context, path string, query url.Values, response any) error {
	return c.call(ctx, http.MethodGet, path, query, nil, response)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.send(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := readResponse(resp)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(data, response), "%s %s: decode response", method, path)
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

// responseError is a response with an error status.
type responseError struct {
	kind    errkind.Kind
	body    []byte
	message string
}

// Error returns the message of the response.
func (r *responseError) Error() string { return r.message }

func readResponse(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if len(data) > maxResponseBytes {
		return nil, errors.Newf("response exceeds %d bytes", maxResponseBytes)
	}
	if resp.StatusCode == http.StatusOK {
		return data, nil
	}
	r := &responseError{kind: errkind.Kind(resp.Header.Get(errkind.HeaderError)), body: data, message: resp.Status}
	var failure admin.ErrorResponse
	if json.Unmarshal(data, &failure) == nil && failure.Message != "" {
		r.message = failure.Message
	}
	if r.kind == "" {
		r.kind = errkind.Internal
	}
	return nil, errkind.Wrap(r.kind, r, "instance responded with status %d", resp.StatusCode)
}
