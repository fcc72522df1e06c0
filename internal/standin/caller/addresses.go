package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of locate requests.
const (
	locateTimeout = time.Second            // for one request
	retryInterval = 200 * time.Millisecond // after all instances failed to respond
)

// location is an entry address in a locate response.
type location struct {
	Address string `json:"address"`
	Region  string `json:"region"`
}

// locations is a locate response.
type locations struct {
	Addresses []location `json:"addresses"`
	KeepMS    int        `json:"keep_ms"` // cache time
}

// addresses caches the last locate response.
type addresses struct {
	cfg       Config
	client    *http.Client
	refreshes sync.WaitGroup // background refreshes

	mu         sync.Mutex
	current    []string // addresses in the caller's region, or all if there are none
	refreshAt  time.Time
	refreshing bool
	next       int
}

func newAddresses(cfg Config, client *http.Client) *addresses {
	return &addresses{cfg: cfg, client: client}
}

// list returns the addresses to try, in order, starting at the next one
// round-robin. The addresses are refreshed in the background before they
// expire, so that no request waits for that. While no instance responds, the
// old addresses stay in use.
func (a *addresses) list(ctx context.Context) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.refreshing && time.Now().After(a.refreshAt) {
		a.refreshing = true
		a.refreshes.Go(func() { _ = a.refresh(context.WithoutCancel(ctx)) })
	}
	n := len(a.current)
	a.next++
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, a.current[(a.next+i)%n])
	}
	return list
}

// refresh sends locate requests to the known addresses, then to
// Config.EntryAddresses. It returns an error if no instance responds.
func (a *addresses) refresh(ctx context.Context) error {
	a.mu.Lock()
	entries := append(append([]string(nil), a.current...), a.cfg.EntryAddresses...)
	a.mu.Unlock()
	found, err := a.locateAny(ctx, entries)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshing = false
	if err != nil {
		a.refreshAt = time.Now().Add(retryInterval)
		return errors.Wrap(err, "locate")
	}
	a.current = preferred(found.Addresses, a.cfg.Region)
	cacheTime := time.Duration(found.KeepMS) * time.Millisecond
	a.refreshAt = time.Now().Add(cacheTime * 3 / 4) // leaves time to try several instances
	return nil
}

// locateAny sends locate requests to the entries in order, until one responds.
func (a *addresses) locateAny(ctx context.Context, entries []string) (locations, error) {
	last := errors.New("no entry address")
	for _, entry := range entries {
		found, err := a.locate(ctx, entry)
		if err == nil {
			return found, nil
		}
		last = err
	}
	return locations{}, last
}

// preferred returns the addresses in the region, or all if there are none.
func preferred(found []location, region string) []string {
	var local, all []string
	for _, l := range found {
		all = append(all, l.Address)
		if l.Region == region {
			local = append(local, l.Address)
		}
	}
	if len(local) > 0 {
		return local
	}
	return all
}

func (a *addresses) locate(ctx context.Context, entry string) (locations, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	query := url.Values{"service": {a.cfg.Service}, "region": {a.cfg.Region}}
	target := "http://" + entry + "/.knapweedreel/locate?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return locations{}, err
	}
	resp, err := a.client.Do(r)
	if err != nil {
		return locations{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if err != nil {
		return locations{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return locations{}, errors.Newf("%s returned status %d: %s", entry, resp.StatusCode, body)
	}
	var found locations
	if err := json.Unmarshal(body, &found); err != nil {
		return locations{}, err
	}
	if len(found.Addresses) == 0 {
		return locations{}, errors.Newf("%s returned no addresses", entry)
	}
	return found, nil
}
