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
	"testing"
	"time"
)

// callerCount is the number of callers. Each has one request in flight at a time.
const callerCount = 12

// outcome is the result of a request as its caller observed it.
type outcome struct {
	id           string
	key          string // of a client account, "" for none
	idempotent   bool
	status       int // 0 without a response
	body         string
	signed       bool
	requestBytes int       // bytes of the request body
	startedAt    time.Time // before the address was resolved
	err          error
}

// callers sends requests until ctx ends and collects the outcomes.
type callers struct {
	fleet *fleet

	mu       sync.Mutex
	outcomes []outcome
}

// startCallers starts callers that send requests until stop is called, which waits
// for them.
func startCallers(t *testing.T, f *fleet, seed uint64) (c *callers, stop func()) {
	c = &callers{fleet: f}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx, seed)
	}()
	return c, func() {
		cancel()
		<-done
	}
}

func (c *callers) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for n := range callerCount {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(100+n)))
			// Idle connections are reused until they are closed.
			transport := &http.Transport{MaxIdleConnsPerHost: 2}
			defer transport.CloseIdleConnections()
			caller := &caller{fleet: c.fleet, rng: rng, client: &http.Client{Transport: transport}, region: regions[n%len(regions)], key: c.fleet.accounts.key(n)}
			for k := 0; ctx.Err() == nil; k++ {
				o := caller.request(ctx, fmt.Sprintf("%d-%d-%d", seed, n, k))
				c.mu.Lock()
				c.outcomes = append(c.outcomes, o)
				c.mu.Unlock()
				wait(ctx, time.Duration(rng.ExpFloat64()*float64(60*time.Millisecond)))
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

// caller sends requests to addresses that it resolves and caches.
type caller struct {
	fleet     *fleet
	rng       *rand.Rand
	client    *http.Client
	region    string
	key       string
	addresses []string
	expires   time.Time
}

// address returns the address of an instance, or "" if none is known.
func (c *caller) address(ctx context.Context) string {
	if time.Now().After(c.expires) {
		for _, n := range c.rng.Perm(len(c.fleet.instances)) {
			if addresses := c.resolve(ctx, c.fleet.instances[n].directory); len(addresses) > 0 {
				c.addresses, c.expires = addresses, time.Now().Add(time.Second)
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rng.IntN(len(c.addresses))]
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
	var response struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&response) != nil {
		return nil
	}
	return response.Addresses
}

// request sends one request. A non-idempotent request is written to at most one
// connection: the HTTP library retries it only if no byte was written.
func (c *caller) request(ctx context.Context, id string) outcome {
	o := outcome{id: id, key: c.key, idempotent: c.rng.IntN(3) == 0, startedAt: time.Now()}
	address := c.address(ctx)
	if address == "" {
		o.err = fmt.Errorf("no address")
		return o
	}
	method, path := http.MethodPost, "/write/x"
	var body io.Reader
	if o.idempotent {
		method, path = http.MethodGet, "/read/x"
	} else {
		o.requestBytes = 1 + c.rng.IntN(2000)
		if c.rng.IntN(10) == 0 {
			o.requestBytes = 100_000
		}
		body = bytes.NewReader(make([]byte, o.requestBytes))
	}
	return send(c.client, o, method, "http://"+address+path, body)
}

// send sends a request and reads the response.
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
	if o.key != "" {
		req.Header.Set("Authorization", "Bearer "+o.key)
	}
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

// served reports whether the caller received a complete response of an upstream.
func (o *outcome) served() bool { return o.err == nil && o.status == http.StatusOK }

// notRun reports whether the response says that the request has not run and
// never will.
func (o *outcome) notRun() bool {
	switch o.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return o.err == nil
	}
	return false
}

// denied reports whether the response says that the request is not a proper one.
func (o *outcome) denied() bool { return o.status >= 300 && o.status < 500 && !o.notRun() }

// correct reports whether a served response is complete and belongs to this
// request.
func (o *outcome) correct() bool {
	return o.signed && strings.HasSuffix(o.body, fmt.Sprintf(" ran %s with %d bytes", o.id, o.requestBytes))
}
