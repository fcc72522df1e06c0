package proofs

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
)

// Headers between callers, the fleet and stand-in upstreams.
const (
	headerRequestID = "Knapweedreel-Request-Id"
	headerCaller    = "Knapweedreel-Caller"
	headerChecksum  = "Standin-Checksum"
	headerUpstream  = "Standin-Upstream"
)

// response is the result of one request as its caller observed it.
type response struct {
	id       string
	status   int
	kind     errkind.Kind     // empty for an upstream's response
	run      errkind.RunState // empty for an upstream's response
	upstream string
	bytes    int
	err      error // transport error or truncated body
	mismatch string
	took     time.Duration
}

// served reports whether a complete response of an upstream arrived.
func (r response) served() bool { return r.err == nil && r.kind == "" && r.status < 500 }

// caller sends requests to instances. It never sends a request twice.
type caller struct {
	client *http.Client
	prefix string
	next   atomic.Uint64
}

func newCaller(prefix string) *caller {
	// A body without GetBody keeps the transport from resending a request.
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second}
	return &caller{client: &http.Client{Transport: transport, Timeout: 40 * time.Second}, prefix: prefix}
}

type request struct {
	address  string // of the instance
	host     string
	method   string
	path     string
	body     []byte
	callerID string
	headers  map[string]string
}

// do sends one request and checks the response's request ID, checksum and length.
func (c *caller) do(ctx context.Context, r request) response {
	out := response{id: c.prefix + "-" + strconv.FormatUint(c.next.Add(1), 10)}
	started := time.Now()
	var body io.Reader
	if r.body != nil {
		body = io.NopCloser(bytes.NewReader(r.body))
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.address+r.path, body)
	if err != nil {
		out.err = err
		return out
	}
	req.ContentLength = int64(len(r.body))
	req.Host = r.host
	req.Header.Set(headerRequestID, out.id)
	if r.callerID != "" {
		req.Header.Set(headerCaller, r.callerID)
	}
	for k, v := range r.headers {
		req.Header.Set(k, v)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		out.err = err
		out.took = time.Since(started)
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	out.kind = errkind.Kind(resp.Header.Get(errkind.HeaderError))
	out.run = errkind.RunState(resp.Header.Get(errkind.HeaderRun))
	out.upstream = resp.Header.Get(headerUpstream)
	sum := sha256.New()
	n, err := io.Copy(sum, resp.Body)
	out.bytes, out.err, out.took = int(n), err, time.Since(started)
	if out.err == nil && out.kind == "" {
		out.mismatch = checkResponse(out.id, resp, hex.EncodeToString(sum.Sum(nil)))
	}
	return out
}

// checkResponse compares the request ID and the checksum in the response header
// with the request and the received body. It returns "" or a description of the
// mismatch.
func checkResponse(id string, resp *http.Response, sum string) string {
	if got := resp.Header.Get(headerRequestID); got != id {
		return fmt.Sprintf("response to request %s arrived for request %s", got, id)
	}
	if want := resp.Header.Get(headerChecksum); want != "" && want != sum {
		return fmt.Sprintf("request %s: checksum %s, want %s", id, sum, want)
	}
	return ""
}

// load sends n requests with the given concurrency and returns the responses.
func (c *caller) load(ctx context.Context, n, concurrency int, next func(i int) request) []response {
	responses := make([]response, n)
	var index atomic.Int64
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() {
			for {
				i := int(index.Add(1)) - 1
				if i >= n || ctx.Err() != nil {
					return
				}
				responses[i] = c.do(ctx, next(i))
			}
		})
	}
	wg.Wait()
	return responses
}

// countByResult counts responses by error kind, or by status for upstreams'
// responses.
func countByResult(responses []response) map[string]int {
	counts := make(map[string]int)
	for _, resp := range responses {
		switch {
		case resp.err != nil:
			counts["transport-error"]++
		case resp.kind != "":
			counts[string(resp.kind)+"/"+string(resp.run)]++
		default:
			counts[strconv.Itoa(resp.status)]++
		}
	}
	return counts
}

// checkIntegrity fails the test for every response that belongs to another
// request, or that appears complete but is not.
func checkIntegrity(t testing.TB, responses []response) {
	t.Helper()
	for _, resp := range responses {
		if resp.mismatch != "" {
			t.Errorf("%s", resp.mismatch)
		}
	}
}
