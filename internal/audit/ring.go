package audit

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/store"
)

// Sizes of the ring: 1 MiB for each shard at most, far below the store's limit
// for a value in each segment.
const (
	Segments        = 16
	MaxSegmentBytes = 64 << 10
	// maxDetailBytes keeps one record far below a segment.
	maxDetailBytes = 4 << 10
)

// Segment is a stored part of the ring.
type Segment struct {
	// Number grows by one with each segment begun. The segment is stored
	// under the key of Number mod Segments, where it replaces an older one.
	Number uint64 `json:"number"`
	// Fence is the fencing number of the lease under which it was last written.
	Fence uint64 `json:"fence"`
	// Batch counts the writes under that lease. With Fence it identifies the
	// last write, so that a writer recognizes it after a lost answer.
	Batch   uint64   `json:"batch"`
	Records []Record `json:"records"`
}

func keyOf(shard int, number uint64) string {
	return fmt.Sprintf("%s%d", prefixOf(shard), number%Segments)
}

func prefixOf(shard int) string { return fmt.Sprintf("audit/%d/", shard) }

// Writer appends to a shard's ring under one holding of the shard's lease. It
// is for one goroutine.
type Writer struct {
	store   store.Store
	shard   int
	lease   store.LeaseID
	fence   uint64
	batch   uint64
	opened  bool
	segment Segment
	version uint64 // store version of segment
	// unsettled holds, by batch, the number of records of writes whose answer
	// was lost. Such a write may take effect later.
	unsettled map[uint64]int
}

// NewWriter returns a writer for the holding of a lease.
func NewWriter(s store.Store, shard int, lease store.Lease) *Writer {
	return &Writer{store: s, shard: shard, lease: lease.ID, fence: lease.Fence, unsettled: map[uint64]int{}}
}

// Append writes records to the ring and returns how many of them, from the
// first, are written; it writes as many as fit in one segment. After an error
// the next call must begin with the same records. An error wraps one of package
// store; ErrLeaseLost ends the writer's use.
func (w *Writer) Append(ctx context.Context, records []Record) (int, error) {
	if len(records) == 0 {
		return 0, nil
	}
	if !w.opened {
		n, err := w.open(ctx)
		if err != nil || n > 0 {
			return n, err
		}
	}
	next, data, n, err := w.plan(records)
	if err != nil {
		return 0, err
	}
	version, err := w.versionFor(ctx, next)
	if err != nil {
		return 0, err
	}
	w.batch = next.Batch
	version, err = w.store.Put(ctx, keyOf(w.shard, next.Number), data, version, w.lease)
	if err != nil {
		w.opened = false
		if !errors.IsAny(err, store.ErrConflict, store.ErrLeaseLost, store.ErrUnavailable) {
			w.unsettled[next.Batch] = n
		}
		return 0, errors.Wrapf(err, "write audit segment %d", next.Number)
	}
	w.segment, w.version = next, version
	clear(w.unsettled)
	return n, nil
}

// open finds the newest segment. When an unsettled write turns out to have
// taken effect, it returns the number of records written by it.
func (w *Writer) open(ctx context.Context) (int, error) {
	segments, err := load(ctx, w.store, w.shard)
	if err != nil {
		return 0, err
	}
	w.segment, w.version = Segment{}, 0
	if n := len(segments); n > 0 {
		w.segment, w.version = segments[n-1].Segment, segments[n-1].version
	}
	w.opened = true
	if w.segment.Fence != w.fence {
		return 0, nil
	}
	n := w.unsettled[w.segment.Batch]
	if n > 0 {
		clear(w.unsettled)
	}
	return n, nil
}

// plan returns the segment to write, encoded, and the number of records added.
func (w *Writer) plan(records []Record) (Segment, []byte, int, error) {
	next := w.segment
	next.Fence, next.Batch = w.fence, w.batch+1
	if data, n, err := fill(&next, records); err != nil || n > 0 {
		return next, data, n, err
	}
	next = Segment{Number: w.segment.Number + 1, Fence: w.fence, Batch: w.batch + 1}
	data, n, err := fill(&next, records)
	return next, data, n, err
}

// fill adds records to s while they fit.
func fill(s *Segment, records []Record) ([]byte, int, error) {
	s.Records = slices.Clip(s.Records)
	size, err := json.Marshal(s)
	if err != nil {
		return nil, 0, errors.Wrap(err, "encode audit segment")
	}
	total, n := len(size), 0
	for _, r := range records {
		r.Detail = shorten(r.Detail)
		data, err := json.Marshal(r)
		if err != nil {
			return nil, 0, errors.Wrap(err, "encode audit record")
		}
		if total+len(data)+1 > MaxSegmentBytes {
			break
		}
		total += len(data) + 1
		s.Records = append(s.Records, r)
		n++
	}
	data, err := json.Marshal(s)
	return data, n, errors.Wrap(err, "encode audit segment")
}

func shorten(s string) string {
	if len(s) <= maxDetailBytes {
		return s
	}
	return string(bytes.ToValidUTF8([]byte(s[:maxDetailBytes]), nil)) + "..."
}

// versionFor returns the store version that the write of next replaces.
func (w *Writer) versionFor(ctx context.Context, next Segment) (uint64, error) {
	if next.Number == w.segment.Number {
		return w.version, nil
	}
	v, err := w.store.Get(ctx, keyOf(w.shard, next.Number))
	return v.Version, err
}

type stored struct {
	Segment
	version uint64
}

// load returns the segments of a shard's ring, oldest first. A segment that
// cannot be decoded is left out: its place is written again in turn.
func load(ctx context.Context, s store.Store, shard int) ([]stored, error) {
	kvs, err := s.List(ctx, prefixOf(shard))
	if err != nil {
		return nil, errors.Wrap(err, "read audit ring")
	}
	var segments []stored
	for _, kv := range kvs {
		var seg Segment
		if json.Unmarshal(kv.Value.Data, &seg) == nil {
			segments = append(segments, stored{Segment: seg, version: kv.Value.Version})
		}
	}
	slices.SortFunc(segments, func(a, b stored) int { return cmp.Compare(a.Number, b.Number) })
	return segments, nil
}

// Read returns the records of a shard's ring in the order of writing.
func Read(ctx context.Context, s store.Store, shard int) ([]Record, error) {
	segments, err := load(ctx, s, shard)
	if err != nil {
		return nil, err
	}
	var records []Record
	for _, seg := range segments {
		records = append(records, seg.Records...)
	}
	return records, nil
}
