// Package caller is a stand-in for the callers of one service. It gets entry
// addresses from the fleet, sends requests to them, and checks that each
// response is complete and belongs to its request. It is also an open-loop load
// generator: with a rate, requests start at fixed times regardless of earlier
// responses, and latencies are measured from these times.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxInFlight limits the concurrent requests of the load generator. Requests
// beyond it are skipped and counted.
const maxInFlight = 8_192

// Config describes the requests to send.
type Config struct {
	EntryAddresses []string      // IP:port of instances to send locate requests to
	Service        string        // service name in locate requests
	Host           string        // Host header
	Region         string        // region of the callers
	Accounts       int           // number of caller accounts, used round-robin; at least 1
	Account        string        // prefix of the account names
	Method         string        // HTTP method
	Path           string        // path of the requests
	BodyBytes      int64         // size of each request body, streamed
	Count          int           // number of requests if Rate is 0
	Concurrency    int           // concurrent requests if Rate is 0
	Rate           float64       // requests per second
	Duration       time.Duration // how long to send at Rate
	Timeout        time.Duration // limit for one request
	Deadline       time.Duration // sent with each request, 0 for none
	CheckRunsAt    []string      // IP:port of stand-in upstreams to check runs with at the end
	AtMostOnce     bool          // requests are not idempotent: none may run twice
	OnResult       func(Result)  // called for each result, never concurrently; may be nil
}

// Caller sends requests and checks the responses.
type Caller struct {
	cfg       Config
	prefix    string // of request IDs
	client    *http.Client
	addresses *addresses
	recorder  *recorder
}

// New returns a caller. Request IDs are unique across callers.
func New(cfg Config) *Caller {
	cfg.Accounts = max(cfg.Accounts, 1)
	cfg.Concurrency = max(cfg.Concurrency, 1)
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 1_024,
		IdleConnTimeout:     5 * time.Second,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	random := make([]byte, 8)
	_, _ = rand.Read(random) // cannot fail
	return &Caller{
		cfg:       cfg,
		prefix:    hex.EncodeToString(random),
		client:    client,
		addresses: newAddresses(cfg, client),
		recorder:  newRecorder(cfg),
	}
}

// Run sends all requests and returns the summary. If ctx is canceled, it stops
// early and the summary covers the requests sent so far.
func (c *Caller) Run(ctx context.Context) (Summary, error) {
	defer c.client.CloseIdleConnections()
	defer c.addresses.refreshes.Wait()
	if err := c.addresses.refresh(ctx); err != nil {
		return Summary{}, err
	}
	began := time.Now()
	if c.cfg.Rate > 0 {
		c.runAtRate(ctx, began)
	} else {
		c.runCount(ctx)
	}
	s := c.recorder.summary(time.Since(began))
	if len(c.cfg.CheckRunsAt) > 0 {
		checked, err := c.checkRuns(ctx)
		if err != nil {
			return s, errors.Wrap(err, "check runs")
		}
		s.Runs = &checked
	}
	return s, nil
}

// runCount sends Count requests with Concurrency workers.
func (c *Caller) runCount(ctx context.Context) {
	numbers := make(chan int)
	var workers sync.WaitGroup
	for range c.cfg.Concurrency {
		workers.Go(func() {
			for n := range numbers {
				c.recorder.add(c.request(ctx, n, time.Now()))
			}
		})
	}
	for n := range c.cfg.Count {
		if ctx.Err() != nil {
			break
		}
		numbers <- n
	}
	close(numbers)
	workers.Wait()
}

// runAtRate starts requests at fixed times. Latencies are measured from these
// times, so that a slow response does not hide the delay of later requests.
func (c *Caller) runAtRate(ctx context.Context, began time.Time) {
	interval := time.Duration(float64(time.Second) / c.cfg.Rate)
	total := int(c.cfg.Duration.Seconds() * c.cfg.Rate)
	slots := make(chan struct{}, maxInFlight)
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for n := range total {
		due := began.Add(time.Duration(n) * interval)
		if !sleepUntil(ctx, due) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			c.recorder.skip()
			continue
		}
		inFlight.Go(func() {
			defer func() { <-slots }()
			c.recorder.add(c.request(ctx, n, due))
		})
	}
}

// sleepUntil returns false if ctx is done first.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Caller) requestID(n int) string { return fmt.Sprintf("%s-%d", c.prefix, n) }

func (c *Caller) account(n int) string {
	return fmt.Sprintf("%s-%d", c.cfg.Account, n%c.cfg.Accounts)
}
