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
	locateTimeout = time.Second            // of one request
	retryInterval = 200 * time.Millisecond // after no instance answered
)

// location is the part of a locate answer that a caller needs.
type location struct {
	Address string `json:"address"`
	Region  string `json:"region"`
}

type locations struct {
	Addresses []location `json:"addresses"`
	KeepMS    int        `json:"keep_ms"`
}

// addresses holds the last locate answer for as long as it may be kept.
type addresses struct {
	cfg     Config
	client  *http.Client
	pending sync.WaitGroup // background refreshes

	mu         sync.Mutex
	current    []string // in the caller's region, or all when there is none
	renew      time.Time
	refreshing bool
	next       int
}

func newAddresses(cfg Config, client *http.Client) *addresses {
	return &addresses{cfg: cfg, client: client}
}

// list returns the addresses to use, the one for this call first. The answer
// is renewed in the background before it expires, so that no request waits for
// it; while no instance answers, the old addresses stay in use.
func (a *addresses) list(ctx context.Context) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.refreshing && time.Now().After(a.renew) {
		a.refreshing = true
		a.pending.Go(func() { _ = a.refresh(context.WithoutCancel(ctx)) })
	}
	n := len(a.current)
	a.next++
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, a.current[(a.next+i)%n])
	}
	return list
}

// refresh asks for addresses. It returns an error when no instance answers.
func (a *addresses) refresh(ctx context.Context) error {
	a.mu.Lock()
	entries := append(append([]string(nil), a.current...), a.cfg.Entries...)
	a.mu.Unlock()
	found, err := a.ask(ctx, entries)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshing = false
	if err != nil {
		a.renew = time.Now().Add(retryInterval)
		return errors.Wrap(err, "locate")
	}
	a.current = preferred(found.Addresses, a.cfg.Region)
	keep := time.Duration(found.KeepMS) * time.Millisecond
	a.renew = time.Now().Add(keep * 3 / 4) // leaves time to ask several instances
	return nil
}

// ask returns the first answer of the given instances.
func (a *addresses) ask(ctx context.Context, entries []string) (locations, error) {
	last := errors.New("no entry address was given")
	for _, entry := range entries {
		found, err := a.locate(ctx, entry)
		if err == nil {
			return found, nil
		}
		last = err
	}
	return locations{}, last
}

// preferred returns the addresses of the region, or all when there is none.
func preferred(found []location, region string) []string {
	var near, all []string
	for _, l := range found {
		all = append(all, l.Address)
		if l.Region == region {
			near = append(near, l.Address)
		}
	}
	if len(near) > 0 {
		return near
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
	answer, err := a.client.Do(r)
	if err != nil {
		return locations{}, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, 1<<16))
	if err != nil {
		return locations{}, err
	}
	if answer.StatusCode != http.StatusOK {
		return locations{}, errors.Newf("%s answered %d: %s", entry, answer.StatusCode, body)
	}
	var found locations
	if err := json.Unmarshal(body, &found); err != nil {
		return locations{}, err
	}
	if len(found.Addresses) == 0 {
		return locations{}, errors.Newf("%s gave no address", entry)
	}
	return found, nil
}
