package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// callerCount is the number of callers, each with one request at a time.
const callerCount = 12

// outcome is what a caller saw of a request.
type outcome struct {
	id     string
	safe   bool
	status int // 0 for none
	body   string
	signed bool
	sent   int       // bytes of the request's body
	began  time.Time // when it was sent
	err    error
}

// callers sends requests until ctx ends and collects the outcomes.
type callers struct {
	w *world

	mu       sync.Mutex
	outcomes []outcome
}

func (c *callers) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for n := range callerCount {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(100+n)))
			// Open connections are used until they end.
			transport := &http.Transport{MaxIdleConnsPerHost: 2}
			defer transport.CloseIdleConnections()
			one := &caller{w: c.w, rand: r, client: &http.Client{Transport: transport}, region: regions[n%len(regions)]}
			for k := 0; ctx.Err() == nil; k++ {
				o := one.request(ctx, fmt.Sprintf("%d-%d-%d", seed, n, k))
				c.mu.Lock()
				c.outcomes = append(c.outcomes, o)
				c.mu.Unlock()
				wait(ctx, time.Duration(r.ExpFloat64()*float64(60*time.Millisecond)))
			}
		})
	}
	wg.Wait()
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// caller is one caller. It asks where to connect and keeps the answer.
type caller struct {
	w         *world
	rand      *rand.Rand
	client    *http.Client
	region    string
	addresses []string
	until     time.Time
}

// address returns an address to use, "" if no instance names one.
func (c *caller) address(ctx context.Context) string {
	if time.Now().After(c.until) {
		for _, n := range c.rand.Perm(len(c.w.instances)) {
			if got := c.resolve(ctx, c.w.instances[n].directory); len(got) > 0 {
				c.addresses, c.until = got, time.Now().Add(time.Second)
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rand.IntN(len(c.addresses))]
}

func (c *caller) resolve(ctx context.Context, directory string) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/knapweedreel/resolve?name=soak.example&region="+c.region, nil)
	if err != nil {
		return nil
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// request sends one request. A request that is not idempotent is sent on one
// connection only: the library sends such again by itself only if no byte was
// written.
func (c *caller) request(ctx context.Context, id string) outcome {
	o := outcome{id: id, safe: c.rand.IntN(3) == 0, began: time.Now()}
	address := c.address(ctx)
	if address == "" {
		o.err = fmt.Errorf("no address")
		return o
	}
	method, path := http.MethodPost, "/write/x"
	var body io.Reader
	if o.safe {
		method, path = http.MethodGet, "/read/x"
	} else {
		o.sent = 1 + c.rand.IntN(2000)
		if c.rand.IntN(10) == 0 {
			o.sent = 100_000
		}
		body = bytes.NewReader(make([]byte, o.sent))
	}
	return send(c.client, o, method, "http://"+address+path, body)
}

// send makes a request and reads its answer.
func send(client *http.Client, o outcome, method, url string, body io.Reader) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		o.err = err
		return o
	}
	req.Host = "soak.example"
	req.Header.Set("Request-Id", o.id)
	req.Header.Set("Deadline-Ms", "2500")
	resp, err := client.Do(req)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	o.status, o.body, o.signed, o.err = resp.StatusCode, string(data), resp.Header.Get("Response-Signature") != "", err
	return o
}

// served reports whether the caller has the whole answer of an upstream.
func (o *outcome) served() bool { return o.err == nil && o.status == http.StatusOK }

// promised reports whether the caller was told that the request has not run and
// never will.
func (o *outcome) promised() bool {
	switch o.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return o.err == nil
	}
	return false
}

// genuine reports whether a success is the whole answer to this request.
func (o *outcome) genuine() bool {
	return o.signed && strings.HasSuffix(o.body, fmt.Sprintf(" ran %s with %d bytes", o.id, o.sent))
}
