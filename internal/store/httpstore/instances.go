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

// instanceCache is the instance list as last received. The complete list takes
// 5 MB at 31,800 entries, so the client requests only changes if the server
// supports it.
type instanceCache struct {
	mu        sync.Mutex
	cursor    string
	instances []store.Instance // sorted by ID, immutable once returned
}

// Instances implements store.InstanceList. The entries are sorted by ID.
func (c *Client) Instances(ctx context.Context) ([]store.Instance, error) {
	cache := &c.instances
	cache.mu.Lock()
	defer cache.mu.Unlock()
	query := url.Values{}
	if cache.cursor != "" {
		query.Set("cursor", cache.cursor)
	}
	var response InstancesResponse
	decode := func(r io.Reader) (err error) {
		response, err = decodeInstances(r)
		return err
	}
	err := call{method: http.MethodGet, path: PathInstances, query: query, decode: decode, timeout: c.timeout}.do(ctx, c.list)
	if err != nil {
		return nil, err
	}
	cache.update(response)
	return cache.instances, nil
}

// update replaces the list, or applies the changes of a partial response.
func (c *instanceCache) update(response InstancesResponse) {
	c.cursor = response.Cursor
	if !response.Partial {
		c.instances = response.Instances
		slices.SortFunc(c.instances, compareIDs)
		return
	}
	if len(response.Instances) == 0 && len(response.Removed) == 0 {
		return
	}
	replaced := make(map[string]bool, len(response.Instances)+len(response.Removed))
	for _, id := range response.Removed {
		replaced[id] = true
	}
	for _, i := range response.Instances {
		replaced[i.ID] = true
	}
	next := make([]store.Instance, 0, len(c.instances)+len(response.Instances))
	for _, i := range c.instances {
		if !replaced[i.ID] {
			next = append(next, i)
		}
	}
	c.instances = append(next, response.Instances...)
	slices.SortFunc(c.instances, compareIDs)
}

func compareIDs(a, b store.Instance) int { return cmp.Compare(a.ID, b.ID) }

// decodeInstances decodes an InstancesResponse entry by entry.
func decodeInstances(r io.Reader) (InstancesResponse, error) {
	response := InstancesResponse{Instances: []store.Instance{}}
	err := decodeFields(json.NewDecoder(r), func(d *json.Decoder, field string) error {
		switch field {
		case "instances":
			return decodeArray(d, func(i store.Instance) { response.Instances = append(response.Instances, i) })
		case "removed":
			return d.Decode(&response.Removed)
		case "partial":
			return d.Decode(&response.Partial)
		case "cursor":
			return d.Decode(&response.Cursor)
		default:
			return skipValue(d)
		}
	})
	return response, err
}
