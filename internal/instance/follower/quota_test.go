package follower

import (
	"testing"
	"testing/synctest"
	"time"

	"knapweedreel/internal/account"
	"knapweedreel/internal/catalog"
)

// Guards against instances that share tokens although the configuration has no
// accounts, and against shares of instances that callers don't use.
func TestQuotaMembersServeCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		member := func(id, region string) catalog.Change {
			return catalog.Change{Kind: catalog.KindMember, ID: id, Member: &catalog.Member{
				ID: id, Address: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", Region: region, FailureDomain: region + "1",
			}}
		}
		entries := []catalog.Change{testConfiguration(), testUpstream()}
		for _, id := range []string{"i1", "i2", "i3", "i4"} {
			entries = append(entries, member(id, "south"))
		}
		entries = append(entries, member("n1", "north"))
		source := new(partitionedSource)
		source.set(false, entries...)
		f, stop := startLoops(t, source, (*Follower).Run, (*Follower).Watch)
		time.Sleep(10 * time.Second)
		if n := len(*f.QuotaMembers()); n != 0 {
			t.Errorf("%d members without accounts", n)
		}
		stop()

		set, err := account.NewSet([]account.Definition{{Account: account.Account{Name: "a", Rate: 1}, Keys: []account.Key{"k"}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		entries[0].Configuration.Accounts = set
		f, _ = startLoops(t, source, (*Follower).Run, (*Follower).Watch)
		time.Sleep(10 * time.Second)
		local, remote := 0, 0
		for _, m := range *f.QuotaMembers() {
			if m.Remote {
				remote++
			} else {
				local++
			}
			if m.Self != (m.ID == "i1") || m.Address.Port() != 2 {
				t.Errorf("%+v", m)
			}
		}
		if local != catalog.MinWidth || remote != 1 {
			t.Errorf("%d members of the region, %d of others", local, remote)
		}
	})
}

// Guards against regions whose load nobody or everybody reports, and against
// reports for a configuration that doesn't need them.
func TestTwoInstancesReportTheLoadOfTheirRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries := []catalog.Change{testConfiguration(), testUpstream()}
		for _, id := range []string{"i0", "i1", "i2", "n1"} {
			region := "south"
			if id == "n1" {
				region = "north"
			}
			entries = append(entries, catalog.Change{Kind: catalog.KindMember, ID: id, Member: &catalog.Member{
				ID: id, Address: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", Region: region, FailureDomain: region + "1", Width: 3,
			}})
		}
		source := new(partitionedSource)
		source.set(false, entries...)
		f, stop := startLoops(t, source, (*Follower).Run, (*Follower).Watch)
		time.Sleep(10 * time.Second)
		if n := len(f.LoadPeers()); n != 0 {
			t.Errorf("%d receivers without need", n)
		}
		stop()
		entries[0].Configuration.Routes[0].Rule.LargeResponses = true
		f, stop = startLoops(t, source, (*Follower).Run, (*Follower).Watch) // i1
		time.Sleep(10 * time.Second)
		if n := len(f.LoadPeers()); n != 1 {
			t.Errorf("the second instance of the region has %d receivers, want n1", n)
		}
		stop()
		entries[2].Member.ID, entries[2].ID = "h0", "h0"
		entries[4].Member.ID, entries[4].ID = "h1", "h1"
		source.set(false, entries...)
		f, _ = startLoops(t, source, (*Follower).Run, (*Follower).Watch)
		time.Sleep(10 * time.Second)
		if n := len(f.LoadPeers()); n != 0 {
			t.Errorf("the third instance of the region has %d receivers", n)
		}
	})
}
