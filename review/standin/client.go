package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is a request of a client with its answer.
type sent struct {
	id, entry, path string
	at, answered    time.Time
	status          int // 0 if the connection ended without an answer
	signed          bool
	body            string
}

// clients sends requests to the addresses that the directory names for a region.
type clients struct {
	run    *run
	region string
	number *atomic.Int64

	mu        sync.Mutex
	addresses []string
	until     time.Time
	all       []sent
	wg        sync.WaitGroup
}

var requestNumber atomic.Int64

func (r *run) clientsOf(region string) *clients {
	return &clients{run: r, region: region, number: &requestNumber}
}

// entry returns an address that the directory names, as clients cache it.
func (c *clients) entry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		for _, i := range c.run.instances {
			if zones[i.zone] != c.region {
				continue
			}
			if a := c.resolve(i); len(a) > 0 {
				c.addresses, c.until = a, time.Now().Add(time.Second)
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

func (c *clients) resolve(i *instance) []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	q := url.Values{"name": {host}, "region": {c.region}, "zone": {i.zone}}
	resp, err := client.Get("http://" + i.directory + names["resolve"] + "?" + q.Encode())
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&out) != nil {
		return nil
	}
	return out.Addresses
}

// send sends a request in the background. If entry is empty, the directory names
// one.
func (c *clients) send(entry, method, path, body string, limit time.Duration) {
	c.wg.Go(func() {
		if entry == "" {
			if entry = c.entry(); entry == "" {
				return
			}
		}
		s := c.exchange(entry, method, path, body, limit)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.all = append(c.all, s)
	})
}

// graceAfterLimit is how long a client still reads after its time limit.
const graceAfterLimit = time.Second

func (c *clients) exchange(entry, method, path, body string, limit time.Duration) sent {
	s := sent{id: fmt.Sprintf("q%06d", c.number.Add(1)), entry: entry, path: path, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit+graceAfterLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header[names["requestID"]] = []string{s.id}
	req.Header[names["deadline"]] = []string{fmt.Sprint(limit.Milliseconds())}
	c.run.note("client: sends %s %s %s to %s", method, path, s.id, entry)
	// A new connection for each request; nothing is sent again.
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	s.answered = time.Now()
	if err != nil {
		c.run.note("client: %s ended without an answer: %v", s.id, err)
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.run.note("client: %s: the answer was cut off: %v", s.id, err)
		return s
	}
	s.status, s.body, s.signed = resp.StatusCode, string(text), resp.Header.Get(names["signature"]) != ""
	c.run.note("client: %s is answered %d signed=%v after %.0f ms: %s", s.id, s.status, s.signed,
		float64(time.Since(s.at).Microseconds())/1000, strings.TrimSpace(s.body))
	return s
}

// wait waits for all answers and returns the requests.
func (c *clients) wait() []sent {
	c.wg.Wait()
	return c.all
}

// countStatus returns the number of requests by status.
func countStatus(all []sent) map[int]int {
	out := make(map[int]int)
	for _, s := range all {
		out[s.status]++
	}
	return out
}
