package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/standin/upstream"
)

// Outcome is the result of one request as the caller sees it.
type Outcome string

// Outcomes of requests.
const (
	OK            Outcome = "ok"             // complete response to this request
	UpstreamError Outcome = "upstream-error" // response of an upstream with a status other than 200
	NotRun        Outcome = "not-run"        // error of the fleet: the request was not run
	Unknown       Outcome = "unknown"        // error of the fleet: the request may have run
	Broken        Outcome = "broken"         // no complete response, because of a connection error or a timeout
	Wrong         Outcome = "wrong"          // the response does not match this request
)

// Result is the result of one request.
type Result struct {
	ID        string        `json:"id"`
	Outcome   Outcome       `json:"outcome"`
	Status    int           `json:"status,omitempty"`
	Kind      string        `json:"kind,omitempty"` // error kind, if the fleet returned an error
	Upstream  string        `json:"upstream,omitempty"`
	Address   string        `json:"address,omitempty"` // entry address of the instance
	Account   string        `json:"account"`
	Bytes     int64         `json:"bytes"` // size of the response body
	Latency   time.Duration `json:"latency_ns"`
	Detail    string        `json:"detail,omitempty"`
	Failovers int           `json:"failovers,omitempty"` // addresses that could not be connected to
}

// request sends request n. The latency is measured from due.
func (c *Caller) request(ctx context.Context, n int, due time.Time) Result {
	result := Result{ID: c.requestID(n), Account: c.account(n), Outcome: Broken}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	for _, address := range c.addresses.list(ctx) {
		result.Address = address
		err := c.send(ctx, &result)
		if err == nil {
			break
		}
		result.Detail = err.Error()
		if !isDialError(err) {
			break
		}
		result.Failovers++
	}
	result.Latency = time.Since(due)
	return result
}

// isDialError reports whether the connection could not be opened. Nothing was
// sent then, so that even requests that are not idempotent may go to another
// address.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// send sends the request to result.Address and fills in the result. It returns
// an error if there is no complete response.
func (c *Caller) send(ctx context.Context, result *Result) error {
	body := &bodyReader{remaining: c.cfg.BodyBytes, sum: sha256.New(), block: []byte(result.ID)}
	r, err := http.NewRequestWithContext(ctx, c.cfg.Method, "http://"+result.Address+c.cfg.Path, body)
	if err != nil {
		return err
	}
	r.ContentLength = c.cfg.BodyBytes
	r.Host = c.cfg.Host
	r.Header.Set(upstream.HeaderRequestID, result.ID)
	r.Header.Set(upstream.HeaderCaller, result.Account)
	if c.cfg.Deadline > 0 {
		r.Header.Set(upstream.HeaderDeadline, strconv.FormatInt(c.cfg.Deadline.Milliseconds(), 10))
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	result.Status = resp.StatusCode
	result.Kind = resp.Header.Get(errkind.HeaderError)
	result.Upstream = resp.Header.Get(upstream.HeaderUpstream)
	got := &receivedBody{sum: sha256.New()}
	result.Bytes, err = io.Copy(got, resp.Body)
	if err != nil {
		return errors.Wrapf(err, "after %d bytes of the response", result.Bytes)
	}
	result.Outcome, result.Detail = checkResponse(resp, got, body, result)
	return nil
}

// checkResponse returns the outcome of a request with a complete response, and
// a detail unless it is OK.
func checkResponse(resp *http.Response, got *receivedBody, sent *bodyReader, result *Result) (Outcome, string) {
	if result.Kind != "" {
		if resp.Header.Get(errkind.HeaderRun) == string(errkind.NotRun) {
			return NotRun, got.text()
		}
		return Unknown, got.text()
	}
	if id := resp.Header.Get(upstream.HeaderRequestID); id != result.ID {
		return Wrong, fmt.Sprintf("response has the request ID %q", id)
	}
	if resp.StatusCode != http.StatusOK {
		return UpstreamError, got.text()
	}
	if want, sum := resp.Header.Get(upstream.HeaderChecksum), got.hex(); want != sum {
		return Wrong, fmt.Sprintf("body has the checksum %s, header says %s", sum, want)
	}
	if resp.Header.Get("Content-Type") != "application/json" {
		return OK, ""
	}
	return checkEcho(got, sent, result)
}

// checkEcho checks that the upstream received this request with its complete
// body.
func checkEcho(got *receivedBody, sent *bodyReader, result *Result) (Outcome, string) {
	var echo upstream.Echo
	if err := json.Unmarshal(got.head, &echo); err != nil {
		return Wrong, fmt.Sprintf("body is not an echo: %v", err)
	}
	n, sum := sent.total()
	if echo.RequestID != result.ID || echo.BodyBytes != n || echo.BodySHA256 != sum {
		return Wrong, fmt.Sprintf("upstream received %+v, sent %d bytes with the checksum %s", echo, n, sum)
	}
	return OK, ""
}

// bodyReader generates a request body while it is sent. net/http cannot rewind
// a reader of this type, so it does not retry the request by itself, as it would
// do without a body.
type bodyReader struct {
	block []byte // repeated

	mu        sync.Mutex // the response may arrive while the body is still being sent
	remaining int64
	sent      int64
	sum       hash.Hash
}

func (b *bodyReader) total() (bytes int64, checksum string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent, hex.EncodeToString(b.sum.Sum(nil))
}

func (b *bodyReader) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining == 0 {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), b.remaining)]
	for i := range p {
		p[i] = b.block[(b.sent+int64(i))%int64(len(b.block))]
	}
	b.remaining -= int64(len(p))
	b.sent += int64(len(p))
	b.sum.Write(p)
	return len(p), nil
}

func (b *bodyReader) Close() error { return nil }

// maxHeadBytes is how much of a response body is kept; enough for an Echo.
const maxHeadBytes = 4 << 10

// receivedBody computes the checksum of a response body and keeps its
// beginning.
type receivedBody struct {
	sum  hash.Hash
	head []byte
}

func (r *receivedBody) Write(p []byte) (int, error) {
	r.head = append(r.head, p[:min(len(p), maxHeadBytes-len(r.head))]...)
	return r.sum.Write(p)
}

func (r *receivedBody) hex() string  { return hex.EncodeToString(r.sum.Sum(nil)) }
func (r *receivedBody) text() string { return string(r.head) }
