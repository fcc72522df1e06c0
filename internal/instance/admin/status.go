package admin

import (
	"cmp"
	"slices"
	"time"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/store"
	"knapweedreel/internal/wire"
)

// Status is the view of one instance at one moment.
type Status struct {
	Self             member.Info                        `json:"self"`
	Time             time.Time                          `json:"time"`
	Ready            bool                               `json:"ready"` // documents have been read from the store or a peer
	SnapshotSequence uint64                             `json:"snapshot_sequence"`
	SnapshotAge      time.Duration                      `json:"snapshot_age_ns"`
	Shards           int                                `json:"shards"`
	Shard            int                                `json:"shard"`            // shard of this instance
	Holder           *wire.Holder                       `json:"holder,omitempty"` // holder of the shard's lease, if known
	Services         []ServiceStatus                    `json:"services"`
	Members          []MemberStatus                     `json:"members"`
	PlatformCalls    map[store.CallKind]store.CallCount `json:"platform_calls,omitempty"`
}

// ServiceStatus is the state of a service at an instance.
type ServiceStatus struct {
	Name         string           `json:"name"`
	Revision     uint64           `json:"revision"` // revision in effect
	Shard        int              `json:"shard"`
	Served       bool             `json:"served"` // whether this instance is in the service's shard
	FloorSlots   int              `json:"floor_slots"`
	HealthySlots int              `json:"healthy_slots"`
	Upstreams    []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus is the state of an upstream at an instance.
type UpstreamStatus struct {
	ID             string       `json:"id"`
	Address        string       `json:"address"`
	State          health.State `json:"state"`
	Weight         float64      `json:"weight"` // 0 to 1, share of the normal load
	Slots          int          `json:"slots"`
	HomeSlots      int          `json:"home_slots"`      // slots assigned to this instance
	MaxConnections int          `json:"max_connections"` // this instance's share of the connections
	PeerInFlight   int          `json:"peer_in_flight"`  // requests in flight from peers
}

// MemberStatus is the state of a member as seen by an instance.
type MemberStatus struct {
	member.Info
	Live  bool `json:"live"`
	Shard int  `json:"shard"`
}

// UpstreamExplanation explains the state of an upstream.
type UpstreamExplanation struct {
	Instance string          `json:"instance"`
	View     health.View     `json:"view"`
	Changes  []health.Change `json:"changes"` // newest last
}

// History holds the latest changes of a document.
type History struct {
	Service  string            `json:"service"`
	Revision uint64            `json:"revision"`
	Changes  []document.Change `json:"changes"` // newest last
}

// newStatus returns the status that describes a snapshot.
func newStatus(s *routing.Snapshot, holder *wire.Holder, now time.Time) Status {
	shards := max(1, s.Shards)
	st := Status{
		Self: s.Self, Time: now, Ready: s.Ready,
		SnapshotSequence: s.Sequence, SnapshotAge: now.Sub(s.Built),
		Shards: shards, Shard: member.ShardOf(s.Self.ID, shards), Holder: holder,
		Services: []ServiceStatus{}, Members: []MemberStatus{},
	}
	for _, svc := range s.Services {
		st.Services = append(st.Services, newServiceStatus(svc, shards))
	}
	slices.SortFunc(st.Services, func(a, b ServiceStatus) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range s.Members {
		st.Members = append(st.Members, MemberStatus{Info: m.Info, Live: m.Live, Shard: member.ShardOf(m.ID, shards)})
	}
	slices.SortFunc(st.Members, func(a, b MemberStatus) int { return cmp.Compare(a.ID, b.ID) })
	return st
}

func newServiceStatus(svc *routing.Service, shards int) ServiceStatus {
	st := ServiceStatus{
		Name: svc.Name, Revision: svc.Revision, Served: svc.InShard,
		Shard: member.ShardOf(svc.Name, shards), Upstreams: []UpstreamStatus{},
	}
	if svc.Document != nil {
		st.FloorSlots = svc.Document.FloorSlots
	}
	for _, u := range svc.Upstreams {
		if u.State == health.InService {
			st.HealthySlots += u.Slots
		}
		st.Upstreams = append(st.Upstreams, UpstreamStatus{
			ID: u.ID, Address: u.Address, State: u.State, Weight: u.Weight, Slots: u.Slots,
			HomeSlots: u.HomeSlots, MaxConnections: u.MaxConnections, PeerInFlight: u.PeerInFlight,
		})
	}
	return st
}
