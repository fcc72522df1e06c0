// Package httpstore is the adapter for a platform whose store and list of
// instances speak JSON over HTTP/1.1. The protocol is in section 5 of
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
	// DefaultTimeout is the longest time for a call.
	DefaultTimeout = 2 * time.Second
	// WatchTimeout is the longest time for a watch, waiting included.
	WatchTimeout = 20 * time.Second
)

// Config says where the platform's services are.
type Config struct {
	// StoreAddress is the store's IP:port.
	StoreAddress string
	// ListAddress is the list's IP:port. Default: StoreAddress.
	ListAddress string
	// Timeout is the longest time for each call but a watch.
	// Default DefaultTimeout.
	Timeout time.Duration
}

// Client implements store.Store, store.InstanceList and store.Registrar. It may
// be used by several goroutines.
//
// A call ends with ErrUnavailable only when it surely had no effect: no byte
// of it was written, the store refused it, or it was a read. A write whose
// answer is missing or not understood ends with ErrUnknownResult.
type Client struct {
	store   *httpcall.Client
	list    *httpcall.Client
	timeout time.Duration
	listing listing
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
	var a Item
	err := call{method: http.MethodGet, path: PathKV + "/" + url.PathEscape(key), decode: into(&a), timeout: c.timeout}.do(ctx, c.store)
	if err != nil {
		return store.Value{}, err
	}
	return store.Value{Data: a.Data, Version: a.Version}, nil
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, data []byte, version uint64, lease store.LeaseID) (uint64, error) {
	query := url.Values{"version": {strconv.FormatUint(version, 10)}}
	if lease != "" {
		query.Set("lease", string(lease))
	}
	var a PutAnswer
	err := call{
		method: http.MethodPut, path: PathKV + "/" + url.PathEscape(key), query: query,
		body: PutRequest{Data: data}, decode: into(&a), write: true, timeout: c.timeout,
	}.do(ctx, c.store)
	return a.Version, err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.KeyValue, error) {
	kvs, _, err := c.items(ctx, PathKV, url.Values{"prefix": {prefix}}, c.timeout)
	return kvs, err
}

// Watch implements store.Store. With after 0 it returns all keys that begin
// with prefix. An index below after means that the store has gone back, as
// after a restore; all keys are returned then.
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
	var a LeaseAnswer
	err := call{
		method: http.MethodPost, path: PathLeases + "/" + url.PathEscape(key),
		body: LeaseRequest{Holder: holder, TTLMS: ttl.Milliseconds()}, decode: into(&a), write: true, timeout: c.timeout,
	}.do(ctx, c.store)
	if err != nil {
		return store.Lease{}, err
	}
	return a.lease(key, holder), nil
}

// RenewLease implements store.Store.
func (c *Client) RenewLease(ctx context.Context, lease store.Lease) (store.Lease, error) {
	var a LeaseAnswer
	err := call{
		method: http.MethodPut, path: leasePath(lease),
		body: LeaseRequest{Holder: lease.Holder, TTLMS: lease.TTL.Milliseconds()}, decode: into(&a), write: true, timeout: c.timeout,
	}.do(ctx, c.store)
	if err != nil {
		return store.Lease{}, err
	}
	return a.lease(lease.Key, lease.Holder), nil
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

func (a LeaseAnswer) lease(key, holder string) store.Lease {
	return store.Lease{
		Key: key, ID: store.LeaseID(a.ID), Holder: holder, Fence: a.Fence,
		TTL: time.Duration(a.TTLMS) * time.Millisecond,
	}
}
