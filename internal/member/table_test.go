package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func watchAll(string) bool { return true }

func newTestTable() *Table {
	return NewTable(Info{ID: "self", Incarnation: 1, State: Active}, Timeout, start)
}

// Guards against members that disagree on the newest information because it
// arrived in a different order or more than once.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		infos := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Info {
			incarnation := rapid.Uint64Range(1, 3).Draw(t, "boot")
			sequence := rapid.Uint64Range(1, 4).Draw(t, "sequence")
			return Info{ID: "peer", Incarnation: incarnation, Sequence: sequence, EntryAddress: fmt.Sprintf("%d/%d", incarnation, sequence)}
		}), 1, 12).Draw(t, "infos")
		shuffled := rapid.Permutation(infos).Draw(t, "shuffled")
		a, b := newTestTable(), newTestTable()
		for i := range infos {
			a.Merge(infos[i], start)
			b.Merge(shuffled[i], start)
		}
		rowA, _ := a.Row("peer")
		rowB, _ := b.Row("peer")
		if diff := cmp.Diff(rowA.Info, rowB.Info); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against a member that stays live although it no longer sends messages,
// and against one that stays lost because the clock of its new process is behind.
func TestSilentMemberIsLost(t *testing.T) {
	table := newTestTable()
	table.Merge(Info{ID: "peer", Incarnation: 5, Sequence: 1, State: Active}, start)
	if lost := table.Expire(start.Add(Timeout-1), watchAll); len(lost) != 0 {
		t.Fatalf("lost before the timeout: %v", lost)
	}
	table.Touch("peer", 5, start.Add(time.Second))
	if lost := table.Expire(start.Add(Timeout), watchAll); len(lost) != 0 {
		t.Fatalf("lost within the timeout after a message: %v", lost)
	}
	table.MergeInstanceList([]Info{{ID: "peer"}}, start)
	lost := table.Expire(start.Add(Timeout+time.Second), watchAll)
	if len(lost) != 1 || lost[0].To != Lost {
		t.Fatalf("got transitions %v, want one to lost", lost)
	}
	table.Merge(Info{ID: "peer", Incarnation: 4, Sequence: 1}, start.Add(5*time.Second))
	if row, _ := table.Row("peer"); row.Presence != Live || row.Incarnation != 4 {
		t.Fatalf("replaced member is %s with incarnation %d, want live with incarnation 4", row.Presence, row.Incarnation)
	}
	if got := table.Merge(Info{ID: "peer", Incarnation: 3, Sequence: 9}, start.Add(6*time.Second)); got != nil {
		t.Fatalf("a message from an earlier incarnation changed a live member: %v", got)
	}
}

// Guards against relying on a wrong instance list: a listed member that never
// sent a message must lose its share of the slots, and an unlisted member must
// stay while it sends messages.
func TestWrongInstanceListDoesNotDecideLiveness(t *testing.T) {
	table := newTestTable()
	table.MergeInstanceList([]Info{{ID: "ghost", PeerAddress: "10.0.0.1:1"}}, start)
	table.Merge(Info{ID: "unlisted", Incarnation: 1, Sequence: 1}, start.Add(2*time.Second))
	table.Expire(start.Add(Timeout), watchAll)
	table.MergeInstanceList([]Info{{ID: "ghost"}}, start.Add(Timeout))
	ghost, _ := table.Row("ghost")
	unlisted, ok := table.Row("unlisted")
	if ghost.Presence != Lost || !ok || unlisted.Presence != Live {
		t.Fatalf("ghost %s, unlisted %s (%v)", ghost.Presence, unlisted.Presence, ok)
	}
	table.MergeInstanceList(nil, start.Add(Timeout))
	if _, ok := table.Row("ghost"); ok {
		t.Fatal("a member that is neither listed nor live is still in the table")
	}
}

// Guards against peers that are marked as lost because this process was paused.
func TestResumeExtendsTimeoutsByPause(t *testing.T) {
	table := newTestTable()
	table.Merge(Info{ID: "peer", Incarnation: 1, Sequence: 1}, start)
	table.Resume(10 * time.Second)
	if lost := table.Expire(start.Add(11*time.Second), watchAll); len(lost) != 0 {
		t.Fatalf("lost after a pause of this process: %v", lost)
	}
}

// Guards against an order of members that differs between instances: the
// assignment of home slots depends on it.
func TestAllIsOrdered(t *testing.T) {
	table := newTestTable()
	for _, id := range []string{"z", "a", "m", "t"} {
		table.Merge(Info{ID: id, Incarnation: 1, Sequence: 1}, start)
	}
	var ids []string
	for row := range table.All() {
		ids = append(ids, row.ID)
	}
	if want := []string{"a", "m", "self", "t", "z"}; !slices.Equal(ids, want) {
		t.Fatalf("got %v, want %v", ids, want)
	}
}

// Guards against a growing fleet that moves services between shards other than
// by splitting a shard, and against wrong numbers of shards.
func TestGrowingFleetOnlySplitsShards(t *testing.T) {
	for n, want := range map[int]int{1: 1, 32: 1, 63: 1, 64: 2, 127: 2, 128: 4, 2800: 64} {
		if got := Shards(n); got != want {
			t.Errorf("Shards(%d) = %d, want %d", n, got, want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.String().Draw(t, "name")
		shards := 1 << rapid.IntRange(0, 8).Draw(t, "bits")
		if before, after := ShardOf(name, shards), ShardOf(name, 2*shards); after%shards != before {
			t.Fatalf("shard %d of %d became %d of %d", before, shards, after, 2*shards)
		}
	})
}

// Guards against members of other shards being left out of address responses
// because they send nothing here: this instance keeps no link to them.
func TestUnwatchedMemberFollowsInstanceList(t *testing.T) {
	table := newTestTable()
	none := func(string) bool { return false }
	presence := func() Presence { row, _ := table.Row("other"); return row.Presence }
	table.MergeInstanceList([]Info{{ID: "other"}}, start)
	table.Expire(start.Add(time.Hour), none)
	if got := presence(); got != Known {
		t.Fatalf("listed member without messages is %s", got)
	}
	table.Merge(Info{ID: "other", Incarnation: 1, Sequence: 1}, start)
	table.Expire(start.Add(Timeout), none)
	if got := presence(); got != Lost {
		t.Fatalf("member is %s after the timeout", got)
	}
	table.Expire(start.Add(lostRetention), none)
	if got := presence(); got != Known {
		t.Fatalf("listed member is %s after lostRetention", got)
	}
}
