package audit_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/standin/storeserver"
	"knapweedreel/internal/store"
)

func record(i int, detail int) audit.Record {
	return audit.Record{Subject: fmt.Sprint(i), Action: "ejected", Detail: strings.Repeat("x", detail)}
}

func newWriter(t *testing.T, s store.Store, m *storeserver.Memory) *audit.Writer {
	t.Helper()
	l, err := m.AcquireLease(context.Background(), "leases/shard-3", "i1", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return audit.NewWriter(s, 3, l)
}

// Guards against a ring that grows without limit, loses its newest records, or
// returns records of another shard.
func TestRingIsBounded(t *testing.T) {
	m := storeserver.NewMemory()
	w := newWriter(t, m, m)
	const records = 3000
	for i := 0; i < records; {
		var batch []audit.Record
		for j := i; j < min(i+50, records); j++ {
			batch = append(batch, record(j, 1000))
		}
		n, err := w.Append(t.Context(), batch)
		if err != nil || n == 0 {
			t.Fatalf("Append = %d, %v", n, err)
		}
		i += n
	}
	kvs, err := m.List(t.Context(), "audit/")
	if err != nil || len(kvs) != audit.SegmentCount {
		t.Fatalf("%d segments, %v", len(kvs), err)
	}
	for _, kv := range kvs {
		if len(kv.Value.Data) > audit.MaxSegmentBytes {
			t.Errorf("%s has %d bytes", kv.Key, len(kv.Value.Data))
		}
	}
	got, err := audit.Read(t.Context(), m, 3)
	if err != nil {
		t.Fatal(err)
	}
	for i, r := range got {
		if want := fmt.Sprint(records - len(got) + i); r.Subject != want {
			t.Fatalf("record %d is %s, want %s", i, r.Subject, want)
		}
	}
	if len(got) < 14*55 {
		t.Errorf("the ring holds only %d records", len(got))
	}
	if other, err := audit.Read(t.Context(), m, 31); err != nil || len(other) != 0 {
		t.Errorf("shard 31 has %d records, %v", len(other), err)
	}
}

// Guards against a record that is too large for any segment and blocks all
// later ones.
func TestLongDetailIsTruncated(t *testing.T) {
	m := storeserver.NewMemory()
	w := newWriter(t, m, m)
	n, err := w.Append(t.Context(), []audit.Record{record(0, 2*audit.MaxSegmentBytes), record(1, 10)})
	if err != nil || n != 2 {
		t.Errorf("Append = %d, %v", n, err)
	}
}

// Guards against a writer that continues after its lease was lost.
func TestAppendFailsAfterLeaseIsLost(t *testing.T) {
	m := storeserver.NewMemory()
	l, err := m.AcquireLease(t.Context(), "l", "i1", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	w := audit.NewWriter(m, 3, l)
	if err := m.ReleaseLease(t.Context(), l); err != nil {
		t.Fatal(err)
	}
	if _, err := w.Append(t.Context(), []audit.Record{record(0, 0)}); !errors.Is(err, store.ErrLeaseLost) {
		t.Errorf("Append: %v", err)
	}
}

// lossyStore loses responses to Put. A fault is 0 for none, 1 for a write that
// takes effect, 2 for one that does not, and 3 for one that takes effect just
// before the next Put.
type lossyStore struct {
	store.Store
	faults  []int
	delayed func()
}

func (s *lossyStore) Put(ctx context.Context, key string, data []byte, version uint64, lease store.LeaseID) (uint64, error) {
	if s.delayed != nil {
		s.delayed()
		s.delayed = nil
	}
	f := 0
	if len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	write := func() { _, _ = s.Store.Put(ctx, key, data, version, lease) }
	switch f {
	case 1:
		write()
	case 2:
	case 3:
		s.delayed = write
	default:
		return s.Store.Put(ctx, key, data, version, lease)
	}
	return 0, store.ErrUnknownResult
}

// Guards against records that are missing or written twice after lost
// responses, also where a new segment begins.
func TestLostResponsesNeitherLoseNorDuplicateRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := storeserver.NewMemory()
		s := &lossyStore{Store: m, faults: rapid.SliceOfN(rapid.IntRange(0, 3), 0, 20).Draw(rt, "faults")}
		w := newWriter(t, s, m)
		sizes := rapid.SliceOfN(rapid.IntRange(0, 4000), 1, 60).Draw(rt, "sizes")
		written, queued := 0, 0
		for tries := 0; written < len(sizes); tries++ {
			if tries > 1000 {
				rt.Fatalf("only %d of %d records were written", written, len(sizes))
			}
			queued = min(len(sizes), max(queued, written)+rapid.IntRange(1, 10).Draw(rt, "new"))
			var batch []audit.Record
			for i := written; i < queued; i++ {
				batch = append(batch, record(i, sizes[i]))
			}
			n, _ := w.Append(context.Background(), batch)
			written += n
		}
		got, err := audit.Read(context.Background(), m, 3)
		if err != nil || len(got) != len(sizes) {
			rt.Fatalf("%d records of %d, %v", len(got), len(sizes), err)
		}
		for i, r := range got {
			if r.Subject != fmt.Sprint(i) {
				rt.Fatalf("record %d is %s", i, r.Subject)
			}
		}
	})
}
