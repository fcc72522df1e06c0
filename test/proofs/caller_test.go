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

// answer is what a caller got for one request.
type answer struct {
	id       string
	status   int
	kind     errkind.Kind     // empty for an upstream's answer
	run      errkind.RunState // empty for an upstream's answer
	upstream string
	bytes    int
	err      error // transport error or a body cut short
	mismatch string
	took     time.Duration
}

// served reports whether an upstream's whole answer arrived.
func (a answer) served() bool { return a.err == nil && a.kind == "" && a.status < 500 }

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
	address string // of the instance
	host    string
	method  string
	path    string
	body    []byte
	account string
	headers map[string]string
}

// do sends one request and checks the answer's identity, checksum and length.
func (c *caller) do(ctx context.Context, r request) answer {
	a := answer{id: c.prefix + "-" + strconv.FormatUint(c.next.Add(1), 10)}
	started := time.Now()
	var body io.Reader
	if r.body != nil {
		body = io.NopCloser(bytes.NewReader(r.body))
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.address+r.path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.ContentLength = int64(len(r.body))
	req.Host = r.host
	req.Header.Set(headerRequestID, a.id)
	if r.account != "" {
		req.Header.Set(headerCaller, r.account)
	}
	for k, v := range r.headers {
		req.Header.Set(k, v)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		a.err = err
		a.took = time.Since(started)
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	a.kind = errkind.Kind(resp.Header.Get(errkind.HeaderError))
	a.run = errkind.RunState(resp.Header.Get(errkind.HeaderRun))
	a.upstream = resp.Header.Get(headerUpstream)
	sum := sha256.New()
	n, err := io.Copy(sum, resp.Body)
	a.bytes, a.err, a.took = int(n), err, time.Since(started)
	if a.err == nil && a.kind == "" {
		a.mismatch = checkAnswer(a.id, resp, hex.EncodeToString(sum.Sum(nil)))
	}
	return a
}

// checkAnswer compares the identity and checksum that the upstream put into
// the answer with what arrived.
func checkAnswer(id string, resp *http.Response, sum string) string {
	if got := resp.Header.Get(headerRequestID); got != id {
		return fmt.Sprintf("answer of request %s arrived for request %s", got, id)
	}
	if want := resp.Header.Get(headerChecksum); want != "" && want != sum {
		return fmt.Sprintf("request %s: checksum %s, want %s", id, sum, want)
	}
	return ""
}

// load sends n requests with the given concurrency and returns all answers.
func (c *caller) load(ctx context.Context, n, concurrency int, next func(i int) request) []answer {
	answers := make([]answer, n)
	var index atomic.Int64
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() {
			for {
				i := int(index.Add(1)) - 1
				if i >= n || ctx.Err() != nil {
					return
				}
				answers[i] = c.do(ctx, next(i))
			}
		})
	}
	wg.Wait()
	return answers
}

// tally counts answers by kind, or by status for upstreams' answers.
func tally(answers []answer) map[string]int {
	counts := make(map[string]int)
	for _, a := range answers {
		switch {
		case a.err != nil:
			counts["transport-error"]++
		case a.kind != "":
			counts[string(a.kind)+"/"+string(a.run)]++
		default:
			counts[strconv.Itoa(a.status)]++
		}
	}
	return counts
}

// checkWhole fails the test for every answer that belongs to another request
// or looks whole when it is not.
func checkWhole(t testing.TB, answers []answer) {
	t.Helper()
	for _, a := range answers {
		if a.mismatch != "" {
			t.Errorf("%s", a.mismatch)
		}
	}
}
