package httpstore

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"

	"knapweedreel/internal/store"
)

// listing is the list of instances as last answered. At 31,800 entries the
// whole list has 5 MB, so only changes are asked for while the list supports
// it.
type listing struct {
	mu        sync.Mutex
	cursor    string
	instances []store.Instance // sorted by ID, not changed once returned
}

// Instances implements store.InstanceList. The entries are sorted by ID.
func (c *Client) Instances(ctx context.Context) ([]store.Instance, error) {
	l := &c.listing
	l.mu.Lock()
	defer l.mu.Unlock()
	query := url.Values{}
	if l.cursor != "" {
		query.Set("cursor", l.cursor)
	}
	var a InstancesAnswer
	decode := func(r io.Reader) (err error) {
		a, err = decodeInstances(r)
		return err
	}
	err := call{method: http.MethodGet, path: PathInstances, query: query, decode: decode, timeout: c.timeout}.do(ctx, c.list)
	if err != nil {
		return nil, err
	}
	l.apply(a)
	return l.instances, nil
}

// apply takes an answer in.
func (l *listing) apply(a InstancesAnswer) {
	l.cursor = a.Cursor
	if !a.Partial {
		l.instances = a.Instances
		slices.SortFunc(l.instances, compareIDs)
		return
	}
	if len(a.Instances) == 0 && len(a.Removed) == 0 {
		return
	}
	replaced := make(map[string]bool, len(a.Instances)+len(a.Removed))
	for _, id := range a.Removed {
		replaced[id] = true
	}
	for _, i := range a.Instances {
		replaced[i.ID] = true
	}
	next := make([]store.Instance, 0, len(l.instances)+len(a.Instances))
	for _, i := range l.instances {
		if !replaced[i.ID] {
			next = append(next, i)
		}
	}
	l.instances = append(next, a.Instances...)
	slices.SortFunc(l.instances, compareIDs)
}

func compareIDs(a, b store.Instance) int { return cmp.Compare(a.ID, b.ID) }

// decodeInstances reads an InstancesAnswer entry by entry.
func decodeInstances(r io.Reader) (InstancesAnswer, error) {
	a := InstancesAnswer{Instances: []store.Instance{}}
	err := decodeFields(json.NewDecoder(r), func(d *json.Decoder, field string) error {
		switch field {
		case "instances":
			return decodeArray(d, func(i store.Instance) { a.Instances = append(a.Instances, i) })
		case "removed":
			return d.Decode(&a.Removed)
		case "partial":
			return d.Decode(&a.Partial)
		case "cursor":
			return d.Decode(&a.Cursor)
		default:
			return skip(d)
		}
	})
	return a, err
}
