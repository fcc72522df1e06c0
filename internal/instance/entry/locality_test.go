package entry

import (
	"fmt"
	"testing"
	"time"

	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/locality"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/routing"
)

// newSharingService returns the state of a service that shares loads, with eight
// upstreams of three slots in the local region and eight in another one.
func newSharingService(share bool) (*Server, *serviceState) {
	var ups []routing.Upstream
	for i := range 16 {
		u := upstreamAt(fmt.Sprint("u", i), "127.0.0.1:1")
		u.Slots, u.MaxConnections, u.Region, u.FailureDomain = 3, 64, "south", "s1"
		if i >= 8 {
			u.Region, u.FailureDomain = "north", "n1"
		}
		ups = append(ups, u)
	}
	snap := snapshotOf(testDocument(), ups...)
	snap.Services["svc"].ShareLoads = share
	s := New(Config{Placement: &Placement{Model: placement.DefaultModel(), RemoteCost: 0.05}}, &fakeControl{snap: snap})
	st := s.service("svc")
	times := st.placer.tracker.ResponseTimes("r", time.Second)
	for i := range 8 * 8 { // the local upstreams have responded well
		id := fmt.Sprint("u", i%8)
		st.placer.tracker.End(id, st.placer.tracker.Start(id, times, time.Now()), placement.Succeeded, time.Now())
	}
	return s, st
}

// report applies a report of the north whose upstreams have the given load.
func report(s *Server, load float64) {
	s.ApplyLoads(evidence.LoadMessage{Region: "north", Reports: []locality.Report{{Service: "svc", Slots: 24, Load: load}}})
}

// takeAll takes slots until none is free and returns how many are in each region.
// The requests are spread evenly over those that leave and those that stay, and the
// planners are updated before each.
func takeAll(st *serviceState) (local, remote int) {
	for i := range 200 {
		req := classRequest("x", 0)
		req.spread, req.objective = float64(i%10)/10, time.Second
		st.mu.Lock()
		st.placer.scopes.at = time.Time{}
		for _, p := range st.placer.scopes.routes {
			*p = planners{domain: aged(p.domain), region: aged(p.region)}
		}
		st.mu.Unlock()
		c, ok := st.tryAcquire(req)
		switch {
		case !ok:
		case c.upstream.Region == "north":
			remote++
		default:
			local++
		}
	}
	return local, remote
}

// aged returns a planner that is due for an update.
func aged(p locality.Planner) locality.Planner {
	p.Update(locality.Input{}, time.Time{})
	return p
}

// Guards against requests that leave their region although the other one is as
// full, and against requests that don't although it has room.
func TestRequestsLeaveTheRegionForRoomOnly(t *testing.T) {
	s, st := newSharingService(true)
	report(s, 60)
	if local, remote := takeAll(st); local < 24 || remote > 0 {
		t.Errorf("the other region is full: %d local and %d remote requests", local, remote)
	}
	s, st = newSharingService(true)
	report(s, 2)
	if local, remote := takeAll(st); local < 24 || remote == 0 {
		t.Errorf("the other region has room: %d local and %d remote requests", local, remote)
	}
}

// Guards against services that are cut off from other regions because the reports
// are lost, too old or not wanted, or because the own region has only upstreams that
// are probably faulty.
func TestWithoutReportsRequestsGoAnywhere(t *testing.T) {
	for name, prepare := range map[string]func(s *Server){
		"lost": func(*Server) {},
		"old": func(s *Server) {
			report(s, 60)
			s.loads.mu.Lock()
			l := s.loads.regions["north"]
			l.at = l.at.Add(-loadMaxAge)
			s.loads.regions["north"] = l
			s.loads.mu.Unlock()
		},
		"own region": func(s *Server) { s.ApplyLoads(evidence.LoadMessage{Region: "south"}) },
		"not wanted": func(s *Server) { report(s, 60) },
		"all local upstreams are suspected": func(s *Server) {
			report(s, 60)
			st := s.service("svc")
			times := st.placer.tracker.ResponseTimes("r", time.Second)
			for i := range 8 * 24 {
				id := fmt.Sprint("u", i%8)
				st.placer.tracker.End(id, st.placer.tracker.Start(id, times, time.Now()), placement.Failed, time.Now())
			}
		},
	} {
		s, st := newSharingService(name != "not wanted")
		prepare(s)
		if local, remote := takeAll(st); local < 24 && name != "all local upstreams are suspected" || remote < 24 {
			t.Errorf("%s: %d local and %d remote requests", name, local, remote)
		}
	}
}

// Guards against reports of services that have room, and of those that don't share
// their loads.
func TestOnlyNotableLoadsAreReported(t *testing.T) {
	s, st := newSharingService(true)
	if got := s.LoadReports(); len(got) != 0 {
		t.Errorf("without load: %+v", got)
	}
	takeAll(st)
	if got := s.LoadReports(); len(got) != 1 || got[0].Service != "svc" || got[0].Load < 10 || !got[0].Valid() {
		t.Errorf("with load: %+v", got)
	}
	s, st = newSharingService(false)
	takeAll(st)
	if got := s.LoadReports(); len(got) != 0 {
		t.Errorf("not shared: %+v", got)
	}
}
