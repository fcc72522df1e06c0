// Package caller is a stand-in for the callers of one service. It asks the
// fleet for addresses, sends requests there, and checks that each answer is
// whole and belongs to its request. It also serves as load generator: with a
// rate, requests start at fixed times whether or not earlier ones have been
// answered, and latencies count from those times.
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

// maxInFlight bounds the requests that a load generator has open. Requests
// beyond it are not sent and counted as skipped.
const maxInFlight = 8_192

// Config describes what to send.
type Config struct {
	Entries     []string      // IP:port of instances to ask for addresses
	Service     string        // name in locate requests
	Host        string        // Host header
	Region      string        // of the callers
	Accounts    int           // number of caller accounts, used in turn; at least 1
	Account     string        // prefix of the caller accounts
	Method      string        // HTTP method
	Path        string        // path of the requests
	BodyBytes   int64         // size of each body, streamed
	Count       int           // requests to send when Rate is 0
	Concurrency int           // requests at a time when Rate is 0
	Rate        float64       // requests per second
	Duration    time.Duration // time to send at Rate
	Timeout     time.Duration // of one request
	Deadline    time.Duration // announced to the fleet, 0 for none
	Upstreams   []string      // IP:port of stand-in upstreams whose runs are checked at the end
	Once        bool          // no request may run twice, as they are not idempotent
	OnResult    func(Result)  // called for each result, by one goroutine at a time; may be nil
}

// Caller sends requests.
type Caller struct {
	cfg       Config
	prefix    string // of request identities
	client    *http.Client
	addresses *addresses
	summary   *recorder
}

// New returns a caller. Each has request identities of its own.
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
	_, _ = rand.Read(random) // never fails
	return &Caller{
		cfg:       cfg,
		prefix:    hex.EncodeToString(random),
		client:    client,
		addresses: newAddresses(cfg, client),
		summary:   newRecorder(cfg),
	}
}

// Run sends all requests and returns the summary. It stops early when ctx
// ends; the summary then covers what was sent.
func (c *Caller) Run(ctx context.Context) (Summary, error) {
	defer c.client.CloseIdleConnections()
	defer c.addresses.pending.Wait()
	if err := c.addresses.refresh(ctx); err != nil {
		return Summary{}, err
	}
	began := time.Now()
	if c.cfg.Rate > 0 {
		c.runAtRate(ctx, began)
	} else {
		c.runCount(ctx)
	}
	s := c.summary.summary(time.Since(began))
	if len(c.cfg.Upstreams) > 0 {
		checked, err := c.checkRuns(ctx)
		if err != nil {
			return s, errors.Wrap(err, "check runs")
		}
		s.Runs = &checked
	}
	return s, nil
}

// runCount sends Count requests, Concurrency at a time.
func (c *Caller) runCount(ctx context.Context) {
	numbers := make(chan int)
	var workers sync.WaitGroup
	for range c.cfg.Concurrency {
		workers.Go(func() {
			for n := range numbers {
				c.summary.add(c.request(ctx, n, time.Now()))
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

// runAtRate starts requests at fixed times. Latencies count from these, so
// that a slow answer cannot hide the wait of the requests behind it.
func (c *Caller) runAtRate(ctx context.Context, began time.Time) {
	interval := time.Duration(float64(time.Second) / c.cfg.Rate)
	total := int(c.cfg.Duration.Seconds() * c.cfg.Rate)
	slots := make(chan struct{}, maxInFlight)
	var open sync.WaitGroup
	defer open.Wait()
	for n := range total {
		due := began.Add(time.Duration(n) * interval)
		if !sleepUntil(ctx, due) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			c.summary.skip()
			continue
		}
		open.Go(func() {
			defer func() { <-slots }()
			c.summary.add(c.request(ctx, n, due))
		})
	}
}

// sleepUntil returns false when ctx ends first.
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
