package storeserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/store"
	"knapweedreel/internal/store/httpstore"
)

// maxWatchWait limits the wait_ms parameter of a watch.
const maxWatchWait = 20 * time.Second

var errTooLarge = errors.New("storeserver: value too large")

func (s *Server) get(r *http.Request) (any, error) {
	key := r.PathValue("key")
	v, err := s.memory.Get(r.Context(), key)
	return httpstore.Item{Key: key, Data: v.Data, Version: v.Version}, err
}

func (s *Server) put(r *http.Request) (any, error) {
	version, err := uintParam(r, "version")
	if err != nil {
		return nil, err
	}
	var body httpstore.PutRequest
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	if len(body.Data) > store.MaxValueBytes {
		return nil, errTooLarge
	}
	id := store.LeaseID(r.URL.Query().Get("lease"))
	version, err = s.memory.Put(r.Context(), r.PathValue("key"), body.Data, version, id)
	return httpstore.PutResponse{Version: version}, err
}

func (s *Server) list(r *http.Request) (any, error) {
	items, index := s.memory.list(r.URL.Query().Get("prefix"))
	return itemsResponse(items, index), nil
}

func (s *Server) watch(r *http.Request) (any, error) {
	after, err := uintParam(r, "after")
	if err != nil {
		return nil, err
	}
	ms, err := uintParam(r, "wait_ms")
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(ms)*time.Millisecond, maxWatchWait)
	items, index, err := s.memory.watch(r.Context(), r.URL.Query().Get("prefix"), after, wait)
	return itemsResponse(items, index), err
}

func (s *Server) acquire(r *http.Request) (any, error) {
	var body httpstore.LeaseRequest
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	l, err := s.memory.AcquireLease(r.Context(), r.PathValue("key"), body.Holder, time.Duration(body.TTLMS)*time.Millisecond)
	return leaseResponse(l), err
}

func (s *Server) renew(r *http.Request) (any, error) {
	var body httpstore.LeaseRequest
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	requested := requestedLease(r)
	requested.TTL = time.Duration(body.TTLMS) * time.Millisecond
	l, err := s.memory.RenewLease(r.Context(), requested)
	return leaseResponse(l), err
}

func (s *Server) release(r *http.Request) (any, error) {
	return struct{}{}, s.memory.ReleaseLease(r.Context(), requestedLease(r))
}

func (s *Server) instances(r *http.Request) (any, error) {
	return s.memory.instancesSince(r.URL.Query().Get("cursor")), nil
}

func (s *Server) register(r *http.Request) (any, error) {
	var i store.Instance
	if err := decodeBody(r, &i); err != nil {
		return nil, err
	}
	if i.ID != r.PathValue("id") {
		return nil, errBadRequest
	}
	return struct{}{}, s.memory.Register(r.Context(), i)
}

func requestedLease(r *http.Request) store.Lease {
	return store.Lease{Key: r.PathValue("key"), ID: store.LeaseID(r.PathValue("id"))}
}

func leaseResponse(l store.Lease) httpstore.LeaseResponse {
	return httpstore.LeaseResponse{ID: string(l.ID), Fence: l.Fence, TTLMS: l.TTL.Milliseconds()}
}

func itemsResponse(items []store.KeyValue, index uint64) httpstore.ItemsResponse {
	resp := httpstore.ItemsResponse{Items: make([]httpstore.Item, len(items)), Index: index}
	for i, item := range items {
		resp.Items[i] = httpstore.Item{Key: item.Key, Data: item.Value.Data, Version: item.Value.Version}
	}
	return resp
}

func uintParam(r *http.Request, name string) (uint64, error) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n, errors.Mark(errors.Wrapf(err, "parameter %s", name), errBadRequest)
}

func decodeBody(r *http.Request, to any) error {
	err := json.NewDecoder(r.Body).Decode(to)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return errTooLarge
	}
	return errors.Mark(errors.Wrap(err, "body"), errBadRequest)
}
