package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// CallKind is the kind of a call to the platform.
type CallKind string

// The kinds of calls.
const (
	CallGet          CallKind = "get"
	CallPut          CallKind = "put"
	CallList         CallKind = "list"
	CallWatch        CallKind = "watch"
	CallAcquireLease CallKind = "acquire-lease"
	CallRenewLease   CallKind = "renew-lease"
	CallReleaseLease CallKind = "release-lease"
	CallInstances    CallKind = "instances"
	CallRegister     CallKind = "register"
)

// CallKinds lists all kinds of calls.
var CallKinds = []CallKind{
	CallGet, CallPut, CallList, CallWatch, CallAcquireLease, CallRenewLease,
	CallReleaseLease, CallInstances, CallRegister,
}

// CallCount is the number of calls of one kind since the Counter was created.
type CallCount struct {
	Calls   uint64 `json:"calls"`
	Failed  uint64 `json:"failed"`  // returned an error not counted as refused, such as ErrUnavailable or ErrUnknownResult
	Refused uint64 `json:"refused"` // returned ErrConflict, ErrHeld or ErrLeaseLost
}

type callCounter struct {
	calls, failed, refused atomic.Uint64

	callsMetric, failedMetric, refusedMetric tally.Counter
}

// Counter counts calls to the platform by kind, independently of the adapter. It
// is safe for concurrent use.
type Counter struct {
	kinds map[CallKind]*callCounter
}

// NewCounter returns a Counter with all counts at 0. It also reports the counts
// to scope as platform_calls, platform_calls_failed and platform_calls_refused,
// with the tag kind. A nil scope is allowed.
func NewCounter(scope tally.Scope) *Counter {
	if scope == nil {
		scope = tally.NoopScope
	}
	c := &Counter{kinds: make(map[CallKind]*callCounter, len(CallKinds))}
	for _, k := range CallKinds {
		tagged := scope.Tagged(map[string]string{"kind": string(k)})
		c.kinds[k] = &callCounter{
			callsMetric:   tagged.Counter("platform_calls"),
			failedMetric:  tagged.Counter("platform_calls_failed"),
			refusedMetric: tagged.Counter("platform_calls_refused"),
		}
	}
	return c
}

// Counts returns the count of every kind.
func (c *Counter) Counts() map[CallKind]CallCount {
	m := make(map[CallKind]CallCount, len(c.kinds))
	for k, n := range c.kinds {
		m[k] = CallCount{Calls: n.calls.Load(), Failed: n.failed.Load(), Refused: n.refused.Load()}
	}
	return m
}

// begin counts a call when it starts, so that a pending watch is included.
func (c *Counter) begin(kind CallKind) {
	c.kinds[kind].calls.Add(1)
	c.kinds[kind].callsMetric.Inc(1)
}

func (c *Counter) end(kind CallKind, err error) {
	n := c.kinds[kind]
	switch {
	case err == nil:
	case errors.IsAny(err, ErrConflict, ErrHeld, ErrLeaseLost):
		n.refused.Add(1)
		n.refusedMetric.Inc(1)
	default:
		n.failed.Add(1)
		n.failedMetric.Inc(1)
	}
}

// Store returns s with its calls counted.
func (c *Counter) Store(s Store) Store { return &countedStore{next: s, count: c} }

// InstanceList returns l with its calls counted.
func (c *Counter) InstanceList(l InstanceList) InstanceList {
	return &countedList{next: l, count: c}
}

// Registrar returns r with its calls counted.
func (c *Counter) Registrar(r Registrar) Registrar {
	return &countedRegistrar{next: r, count: c}
}

type countedStore struct {
	next  Store
	count *Counter
}

func (s *countedStore) Get(ctx context.Context, key string) (Value, error) {
	s.count.begin(CallGet)
	v, err := s.next.Get(ctx, key)
	s.count.end(CallGet, err)
	return v, err
}

func (s *countedStore) Put(ctx context.Context, key string, data []byte, version uint64, lease LeaseID) (uint64, error) {
	s.count.begin(CallPut)
	v, err := s.next.Put(ctx, key, data, version, lease)
	s.count.end(CallPut, err)
	return v, err
}

func (s *countedStore) List(ctx context.Context, prefix string) ([]KeyValue, error) {
	s.count.begin(CallList)
	kvs, err := s.next.List(ctx, prefix)
	s.count.end(CallList, err)
	return kvs, err
}

func (s *countedStore) Watch(ctx context.Context, prefix string, after uint64) ([]KeyValue, uint64, error) {
	s.count.begin(CallWatch)
	kvs, index, err := s.next.Watch(ctx, prefix, after)
	s.count.end(CallWatch, err)
	return kvs, index, err
}

func (s *countedStore) AcquireLease(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error) {
	s.count.begin(CallAcquireLease)
	l, err := s.next.AcquireLease(ctx, key, holder, ttl)
	s.count.end(CallAcquireLease, err)
	return l, err
}

func (s *countedStore) RenewLease(ctx context.Context, lease Lease) (Lease, error) {
	s.count.begin(CallRenewLease)
	l, err := s.next.RenewLease(ctx, lease)
	s.count.end(CallRenewLease, err)
	return l, err
}

func (s *countedStore) ReleaseLease(ctx context.Context, lease Lease) error {
	s.count.begin(CallReleaseLease)
	err := s.next.ReleaseLease(ctx, lease)
	s.count.end(CallReleaseLease, err)
	return err
}

type countedList struct {
	next  InstanceList
	count *Counter
}

func (l *countedList) Instances(ctx context.Context) ([]Instance, error) {
	l.count.begin(CallInstances)
	instances, err := l.next.Instances(ctx)
	l.count.end(CallInstances, err)
	return instances, err
}

type countedRegistrar struct {
	next  Registrar
	count *Counter
}

func (r *countedRegistrar) Register(ctx context.Context, instance Instance) error {
	r.count.begin(CallRegister)
	err := r.next.Register(ctx, instance)
	r.count.end(CallRegister, err)
	return err
}
