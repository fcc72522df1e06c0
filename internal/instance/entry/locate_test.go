package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/member"
	"knapweedreel/internal/routing"
)

func memberAt(id, region, domain string, state member.State, live bool) routing.Member {
	return routing.Member{Live: live, Info: member.Info{
		ID: id, EntryAddress: "10.0.0.1:80", Region: region, FailureDomain: domain, State: state,
	}}
}

// Guards against returning addresses of leaving or unresponsive instances, and
// against responses whose first addresses are all in one failure domain.
func TestLocate(t *testing.T) {
	snap := snapshotOf(testDocument())
	snap.Members = []routing.Member{
		memberAt("leaving", "north", "n9", member.Leaving, true),
		memberAt("silent", "north", "n9", member.Active, false),
	}
	for i := range 6 {
		for _, region := range []string{"north", "south"} {
			domain := fmt.Sprint(region, i%3)
			snap.Members = append(snap.Members, memberAt(fmt.Sprint(region, "-", i), region, domain, member.Active, true))
		}
	}
	_, url := startServer(t, &fakeControl{snap: snap}, nil)
	resp, data := roundTrip(t, request(t, http.MethodGet, url+locatePath+"?service=svc&region=north", nil))
	var locations Locations
	if err := json.Unmarshal(data, &locations); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v in %q", err, data)
	}
	if locations.KeepMS != 10_000 || locations.Revision != 7 || len(locations.Addresses) != maxAddresses {
		t.Errorf("response %+v", locations)
	}
	domains := map[string]int{}
	for i, a := range locations.Addresses {
		if want := map[bool]string{true: "north", false: "south"}[i < 6]; a.Region != want {
			t.Errorf("address %d is in region %s", i, a.Region)
		}
		if i < 3 {
			domains[a.FailureDomain]++
		}
	}
	if len(domains) != 3 {
		t.Errorf("the first three addresses are in %v", domains)
	}
	resp, _ = roundTrip(t, request(t, http.MethodGet, url+locatePath+"?service=none", nil))
	if resp.Header.Get(errkind.HeaderError) != string(errkind.UnknownService) {
		t.Errorf("header %v", resp.Header)
	}
}

// Guards against responses without addresses when heartbeats are lost, and
// against members of another shard.
func TestLocateMembers(t *testing.T) {
	s := New(Config{}, &fakeControl{})
	for _, tc := range []struct{ live, stale, shards, want int }{{5, 3, 1, 5}, {2, 3, 1, 5}, {0, 1, 1, 1}, {3, 0, 0, 3}, {8, 0, 2, -1}} {
		snap := snapshotOf(testDocument())
		snap.Members, snap.Shards = nil, tc.shards
		inShard := 0
		for i := range tc.live + tc.stale {
			m := memberAt(fmt.Sprint("m", i), "r", "d", member.Active, i < tc.live)
			snap.Members = append(snap.Members, m)
			if member.ShardOf(m.ID, 2) == member.ShardOf("svc", 2) {
				inShard++
			}
		}
		if tc.want < 0 {
			tc.want = inShard
		}
		locations, err := s.locate(snap, "svc", "r")
		if err != nil || len(locations.Addresses) != tc.want {
			t.Errorf("%+v: %+v, %v", tc, locations, err)
		}
		for _, a := range locations.Addresses {
			if tc.shards == 2 && member.ShardOf(a.Instance, 2) != member.ShardOf("svc", 2) {
				t.Errorf("%s is in another shard", a.Instance)
			}
		}
	}
}
