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

// Limits of the ring: at most 1 MiB for each shard. A segment stays far below
// the store's limit for a value.
const (
	SegmentCount    = 16
	MaxSegmentBytes = 64 << 10
	// maxDetailBytes keeps a record much smaller than a segment.
	maxDetailBytes = 4 << 10
)

// Segment is a part of the ring that is stored as one item.
type Segment struct {
	// Number increases by one with each new segment. The segment is stored
	// under the key of Number mod SegmentCount and replaces an older one there.
	Number uint64 `json:"number"`
	// Fence is the fencing token of the lease under which the segment was last
	// written.
	Fence uint64 `json:"fence"`
	// Batch counts the writes under that lease. Fence and Batch identify the
	// last write, so that a writer recognizes its own after a lost response.
	Batch   uint64   `json:"batch"`
	Records []Record `json:"records"`
}

func segmentKey(shard int, number uint64) string {
	return fmt.Sprintf("%s%d", ringPrefix(shard), number%SegmentCount)
}

func ringPrefix(shard int) string { return fmt.Sprintf("audit/%d/", shard) }

// Writer appends records to a shard's ring under a single acquisition of the
// shard's lease. It is not safe for concurrent use.
type Writer struct {
	store   store.Store
	shard   int
	lease   store.LeaseID
	fence   uint64
	batch   uint64
	opened  bool
	segment Segment
	version uint64 // store version of segment
	// unconfirmed maps the batch of each write whose response was lost to the
	// number of its records. Such a write may still take effect.
	unconfirmed map[uint64]int
}

// NewWriter returns a writer that writes under an acquired lease.
func NewWriter(s store.Store, shard int, lease store.Lease) *Writer {
	return &Writer{store: s, shard: shard, lease: lease.ID, fence: lease.Fence, unconfirmed: map[uint64]int{}}
}

// Append writes the first of the records, as many as fit in one segment, and
// returns how many are written. After an error the next call must begin with
// the same records. Errors wrap those of package store. After ErrLeaseLost the
// writer must not be used again.
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
	next, data, n, err := w.nextSegment(records)
	if err != nil {
		return 0, err
	}
	version, err := w.versionFor(ctx, next)
	if err != nil {
		return 0, err
	}
	w.batch = next.Batch
	version, err = w.store.Put(ctx, segmentKey(w.shard, next.Number), data, version, w.lease)
	if err != nil {
		w.opened = false
		if !errors.IsAny(err, store.ErrConflict, store.ErrLeaseLost, store.ErrUnavailable) {
			w.unconfirmed[next.Batch] = n
		}
		return 0, errors.Wrapf(err, "write audit segment %d", next.Number)
	}
	w.segment, w.version = next, version
	clear(w.unconfirmed)
	return n, nil
}

// open loads the newest segment. If an unconfirmed write has taken effect, open
// returns the number of records that it wrote.
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
	n := w.unconfirmed[w.segment.Batch]
	if n > 0 {
		clear(w.unconfirmed)
	}
	return n, nil
}

// nextSegment returns the segment to write, its encoding and the number of
// records added to it.
func (w *Writer) nextSegment(records []Record) (Segment, []byte, int, error) {
	next := w.segment
	next.Fence, next.Batch = w.fence, w.batch+1
	if data, n, err := fill(&next, records); err != nil || n > 0 {
		return next, data, n, err
	}
	next = Segment{Number: w.segment.Number + 1, Fence: w.fence, Batch: w.batch + 1}
	data, n, err := fill(&next, records)
	return next, data, n, err
}

// fill adds records to s while they fit, and returns the encoding of s and the
// number of records added.
func fill(s *Segment, records []Record) ([]byte, int, error) {
	s.Records = slices.Clip(s.Records)
	encoded, err := json.Marshal(s)
	if err != nil {
		return nil, 0, errors.Wrap(err, "encode audit segment")
	}
	total, n := len(encoded), 0
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

// versionFor returns the store version that next replaces.
func (w *Writer) versionFor(ctx context.Context, next Segment) (uint64, error) {
	if next.Number == w.segment.Number {
		return w.version, nil
	}
	v, err := w.store.Get(ctx, segmentKey(w.shard, next.Number))
	return v.Version, err
}

type storedSegment struct {
	Segment
	version uint64
}

// load returns the segments of a shard's ring, oldest first. It skips segments
// that cannot be decoded; the writer overwrites them when it reaches their keys.
func load(ctx context.Context, s store.Store, shard int) ([]storedSegment, error) {
	kvs, err := s.List(ctx, ringPrefix(shard))
	if err != nil {
		return nil, errors.Wrap(err, "read audit ring")
	}
	var segments []storedSegment
	for _, kv := range kvs {
		var seg Segment
		if json.Unmarshal(kv.Value.Data, &seg) == nil {
			segments = append(segments, storedSegment{Segment: seg, version: kv.Value.Version})
		}
	}
	slices.SortFunc(segments, func(a, b storedSegment) int { return cmp.Compare(a.Number, b.Number) })
	return segments, nil
}

// Read returns the records of a shard's ring in the order they were written.
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
