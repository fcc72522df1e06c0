// Package httpstore is the adapter to a platform whose store and instance list
// use JSON over HTTP/1.1. The protocol is described in section 5 of
// docs/design.md.
package httpstore

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"knapweedreel/internal/store"
	"knapweedreel/internal/store/httpcall"
)

const (
	// DefaultTimeout is the timeout of a call.
	DefaultTimeout = 2 * time.Second
	// WatchTimeout is the timeout of a watch, including the wait for changes.
	WatchTimeout = 20 * time.Second
)

// Config contains the addresses of the platform's services.
type Config struct {
	// StoreAddress is the store's IP:port.
	StoreAddress string
	// ListAddress is the instance list's IP:port. Default: StoreAddress.
	ListAddress string
	// Timeout is the timeout of each call except a watch.
	// Default: DefaultTimeout.
	Timeout time.Duration
}

// Client implements store.Store, store.InstanceList and store.Registrar. It is
// safe for concurrent use.
//
// A call returns ErrUnavailable only if it had no effect: none of it was
// written, the store refused it, or it is a read. A write whose response is
// missing or invalid returns ErrUnknownResult.
type Client struct {
	store     *httpcall.Client
	list      *httpcall.Client
	timeout   time.Duration
	instances instanceCache
}

var (
	_ store.Store        = (*Client)(nil)
	_ store.InstanceList = (*Client)(nil)
	_ store.Registrar    = (*Client)(nil)
)

// New returns a client. It connects at the first call.
func New(c Config) *Client {
	if c.ListAddress == "" {
		c.ListAddress = c.StoreAddress
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	return &Client{
		store:   httpcall.New(c.StoreAddress),
		list:    httpcall.New(c.ListAddress),
		timeout: c.Timeout,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.store.CloseIdle()
	c.list.CloseIdle()
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Value, error) {
	var item Item
	err := call{method: http.MethodGet, path: PathKV + "/" + url.PathEscape(key), decode: decodeJSON(&item), timeout: c.timeout}.do(ctx, c.store)
	if err != nil {
		return store.Value{}, err
	}
	return store.Value{Data: item.Data, Version: item.Version}, nil
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, data []byte, version uint64, lease store.LeaseID) (uint64, error) {
	query := url.Values{"version": {strconv.FormatUint(version, 10)}}
	if lease != "" {
		query.Set("lease", string(lease))
	}
	var response PutResponse
	err := call{
		method: http.MethodPut, path: PathKV + "/" + url.PathEscape(key), query: query,
		body: PutRequest{Data: data}, decode: decodeJSON(&response), write: true, timeout: c.timeout,
	}.do(ctx, c.store)
	return response.Version, err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.KeyValue, error) {
	kvs, _, err := c.items(ctx, PathKV, url.Values{"prefix": {prefix}}, c.timeout)
	return kvs, err
}

// Watch implements store.Store. With after 0 it returns all keys that begin
// with prefix. If the store's index is below after, such as after a restore,
// Watch returns all these keys and the lower index.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]store.KeyValue, uint64, error) {
	wait := max(WatchTimeout-c.timeout, time.Second)
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	kvs, index, err := c.items(ctx, PathWatch, query, wait+c.timeout)
	if err != nil {
		return nil, after, err
	}
	return kvs, index, nil
}

func (c *Client) items(ctx context.Context, path string, query url.Values, timeout time.Duration) ([]store.KeyValue, uint64, error) {
	var kvs []store.KeyValue
	var index uint64
	decode := func(r io.Reader) (err error) {
		kvs, index, err = decodeItems(r)
		return err
	}
	err := call{method: http.MethodGet, path: path, query: query, decode: decode, timeout: timeout}.do(ctx, c.store)
	if err != nil {
		return nil, 0, err
	}
	return kvs, index, nil
}

// AcquireLease implements store.Store.
func (c *Client) AcquireLease(ctx context.Context, key, holder string, ttl time.Duration) (store.Lease, error) {
	var response LeaseResponse
	err := call{
		method: http.MethodPost, path: PathLeases + "/" + url.PathEscape(key),
		body: LeaseRequest{Holder: holder, TTLMS: ttl.Milliseconds()}, decode: decodeJSON(&response), write: true, timeout: c.timeout,
	}.do(ctx, c.store)
	if err != nil {
		return store.Lease{}, err
	}
	return response.lease(key, holder), nil
}

// RenewLease implements store.Store.
func (c *Client) RenewLease(ctx context.Context, lease store.Lease) (store.Lease, error) {
	var response LeaseResponse
	err := call{
		method: http.MethodPut, path: leasePath(lease),
		body: LeaseRequest{Holder: lease.Holder, TTLMS: lease.TTL.Milliseconds()}, decode: decodeJSON(&response), write: true, timeout: c.timeout,
	}.do(ctx, c.store)
	if err != nil {
		return store.Lease{}, err
	}
	return response.lease(lease.Key, lease.Holder), nil
}

// ReleaseLease implements store.Store.
func (c *Client) ReleaseLease(ctx context.Context, lease store.Lease) error {
	return call{method: http.MethodDelete, path: leasePath(lease), write: true, timeout: c.timeout}.do(ctx, c.store)
}

// Register implements store.Registrar.
func (c *Client) Register(ctx context.Context, instance store.Instance) error {
	return call{
		method: http.MethodPut, path: PathInstances + "/" + url.PathEscape(instance.ID),
		body: instance, write: true, timeout: c.timeout,
	}.do(ctx, c.list)
}

func leasePath(l store.Lease) string {
	return PathLeases + "/" + url.PathEscape(l.Key) + "/" + url.PathEscape(string(l.ID))
}

func (r LeaseResponse) lease(key, holder string) store.Lease {
	return store.Lease{
		Key: key, ID: store.LeaseID(r.ID), Holder: holder, Fence: r.Fence,
		TTL: time.Duration(r.TTLMS) * time.Millisecond,
	}
}
