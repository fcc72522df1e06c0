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

// Outcome is what a caller knows about one request.
type Outcome string

// The outcomes.
const (
	OK            Outcome = "ok"             // a whole answer to this request
	UpstreamError Outcome = "upstream-error" // an upstream's answer with another status
	NotRun        Outcome = "not-run"        // the fleet says that it was not run
	Unknown       Outcome = "unknown"        // the fleet does not know
	Broken        Outcome = "broken"         // the connection ended before the answer was whole
	Wrong         Outcome = "wrong"          // the answer is not the one to this request
)

// Result is the result of one request.
type Result struct {
	ID        string        `json:"id"`
	Outcome   Outcome       `json:"outcome"`
	Status    int           `json:"status,omitempty"`
	Kind      string        `json:"kind,omitempty"` // of the fleet's error
	Upstream  string        `json:"upstream,omitempty"`
	Address   string        `json:"address,omitempty"` // of the instance
	Account   string        `json:"account"`
	Bytes     int64         `json:"bytes"` // of the answer's body
	Latency   time.Duration `json:"latency_ns"`
	Detail    string        `json:"detail,omitempty"`
	Failovers int           `json:"failovers,omitempty"` // addresses that could not be reached before
}

// request sends request n, which was due at the given time.
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
		if !notSent(err) {
			break
		}
		result.Failovers++
	}
	result.Latency = time.Since(due)
	return result
}

// notSent reports whether the connection could not even be opened, so that
// another address may be tried for any request.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// send sends the request to result.Address and fills in the result. The error
// tells why there is no whole answer.
func (c *Caller) send(ctx context.Context, result *Result) error {
	body := &bodyReader{left: c.cfg.BodyBytes, sum: sha256.New(), block: []byte(result.ID)}
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
	answer, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	result.Status = answer.StatusCode
	result.Kind = answer.Header.Get(errkind.HeaderError)
	result.Upstream = answer.Header.Get(upstream.HeaderUpstream)
	received := &received{sum: sha256.New()}
	result.Bytes, err = io.Copy(received, answer.Body)
	if err != nil {
		return errors.Wrapf(err, "after %d bytes of the answer", result.Bytes)
	}
	result.Outcome, result.Detail = judge(answer, received, body, result)
	return nil
}

// judge decides what a whole answer tells.
func judge(answer *http.Response, got *received, sent *bodyReader, result *Result) (Outcome, string) {
	if result.Kind != "" {
		if answer.Header.Get(errkind.HeaderRun) == string(errkind.NotRun) {
			return NotRun, got.text()
		}
		return Unknown, got.text()
	}
	if id := answer.Header.Get(upstream.HeaderRequestID); id != result.ID {
		return Wrong, fmt.Sprintf("answer has the identity %q", id)
	}
	if answer.StatusCode != http.StatusOK {
		return UpstreamError, got.text()
	}
	if want, sum := answer.Header.Get(upstream.HeaderChecksum), got.hex(); want != sum {
		return Wrong, fmt.Sprintf("body has the checksum %s, header says %s", sum, want)
	}
	if answer.Header.Get("Content-Type") != "application/json" {
		return OK, ""
	}
	return judgeEcho(got, sent, result)
}

// judgeEcho checks that the upstream saw this request and all of its body.
func judgeEcho(got *received, sent *bodyReader, result *Result) (Outcome, string) {
	var echo upstream.Echo
	if err := json.Unmarshal(got.head, &echo); err != nil {
		return Wrong, fmt.Sprintf("body is not an echo: %v", err)
	}
	n, sum := sent.total()
	if echo.RequestID != result.ID || echo.BodyBytes != n || echo.BodySHA256 != sum {
		return Wrong, fmt.Sprintf("upstream saw %+v, sent %d bytes with the checksum %s", echo, n, sum)
	}
	return OK, ""
}

// bodyReader makes a body up while it is sent. It has a type of its own, so
// that net/http cannot send a request a second time by itself, which it would
// do for one without a body.
type bodyReader struct {
	block []byte // repeated

	mu   sync.Mutex // an answer may arrive while the body is still being sent
	left int64
	sent int64
	sum  hash.Hash
}

func (b *bodyReader) total() (bytes int64, checksum string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent, hex.EncodeToString(b.sum.Sum(nil))
}

func (b *bodyReader) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), b.left)]
	for i := range p {
		p[i] = b.block[(b.sent+int64(i))%int64(len(b.block))]
	}
	b.left -= int64(len(p))
	b.sent += int64(len(p))
	b.sum.Write(p)
	return len(p), nil
}

func (b *bodyReader) Close() error { return nil }

// maxHead is the part of an answer that is kept, enough for an echo.
const maxHead = 4 << 10

// received takes an answer's body.
type received struct {
	sum  hash.Hash
	head []byte
}

func (r *received) Write(p []byte) (int, error) {
	r.head = append(r.head, p[:min(len(p), maxHead-len(r.head))]...)
	return r.sum.Write(p)
}

func (r *received) hex() string  { return hex.EncodeToString(r.sum.Sum(nil)) }
func (r *received) text() string { return string(r.head) }
