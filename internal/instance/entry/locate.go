package entry

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/member"
	"knapweedreel/internal/routing"
)

// Paths served by the entry itself, for every host.
const (
	localPrefix = "/.knapweedreel/"
	locatePath  = localPrefix + "locate"
)

// Limits of a locate response.
const (
	maxAddresses   = 8
	minLiveMembers = 3 // with fewer live members, members without recent heartbeats are added
)

// Location is an address at which callers reach a service.
type Location struct {
	Address       string `json:"address"` // IP:port
	Instance      string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// Locations is the response to a locate request.
type Locations struct {
	Service   string     `json:"service"`
	Addresses []Location `json:"addresses"` // best first
	KeepMS    int        `json:"keep_ms"`   // how long the response may be cached
	Revision  uint64     `json:"revision"`  // of the service's document
}

// serveLocal serves a request to the entry itself.
func (s *Server) serveLocal(e *exchange) {
	data, err := s.localResponse(e.r)
	if err != nil {
		e.fail(err)
		return
	}
	e.explanation.Status = http.StatusOK
	h := e.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	e.prepareHeader(false)
	e.w.WriteHeader(http.StatusOK)
	_ = e.write(data)
}

func (s *Server) localResponse(r *http.Request) ([]byte, error) {
	if r.URL.Path != locatePath {
		return nil, errkind.New(errkind.NotFound, "no such path: %s", r.URL.Path)
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return nil, errkind.New(errkind.BadRequest, "locate accepts GET only")
	}
	q := r.URL.Query()
	resp, err := s.locate(s.control.Snapshot(), q.Get("service"), q.Get("region"))
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(resp)
	return append(data, '\n'), errkind.Wrap(errkind.Internal, err, "encode the response")
}

// locate chooses the addresses for a service and the region of a caller.
func (s *Server) locate(snap *routing.Snapshot, service, region string) (Locations, error) {
	if service == "" {
		return Locations{}, errkind.New(errkind.BadRequest, "the parameter service is missing")
	}
	svc := snap.Services[service]
	if svc == nil {
		if !snap.Ready {
			return Locations{}, errkind.New(errkind.NoDocument, "this instance has received no document yet")
		}
		return Locations{}, errkind.New(errkind.UnknownService, "no service has the name %q", service)
	}
	shards := max(1, snap.Shards)
	shard := member.ShardOf(service, shards)
	var live, stale []routing.Member
	for _, m := range snap.Members {
		if m.State != member.Active || m.EntryAddress == "" || member.ShardOf(m.ID, shards) != shard {
			continue
		}
		if m.Live {
			live = append(live, m)
		} else {
			stale = append(stale, m)
		}
	}
	if len(live) < minLiveMembers {
		live = append(live, stale...)
	}
	resp := Locations{Service: service, Addresses: []Location{}, KeepMS: s.cfg.Times.KeepMS, Revision: svc.Revision}
	for _, m := range spreadDomains(live, service, region) {
		resp.Addresses = append(resp.Addresses, Location{
			Address: m.EntryAddress, Instance: m.ID, Region: m.Region, FailureDomain: m.FailureDomain,
		})
	}
	return resp, nil
}

// spreadDomains returns up to maxAddresses members: live ones first, then those
// in region, then one of each failure domain before a second of any.
func spreadDomains(members []routing.Member, service, region string) []routing.Member {
	slices.SortFunc(members, func(a, b routing.Member) int {
		return cmp.Or(cmp.Compare(hashOf(service, a.ID), hashOf(service, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	rank := make(map[string]int, len(members)) // position within the failure domain
	seen := make(map[string]int)
	for _, m := range members {
		domain := m.Region + "\x00" + m.FailureDomain
		rank[m.ID] = seen[domain]
		seen[domain]++
	}
	slices.SortStableFunc(members, func(a, b routing.Member) int {
		return cmp.Or(
			cmp.Compare(boolRank(!a.Live), boolRank(!b.Live)),
			cmp.Compare(boolRank(a.Region != region), boolRank(b.Region != region)),
			cmp.Compare(rank[a.ID], rank[b.ID]),
		)
	})
	return members[:min(len(members), maxAddresses)]
}

func hashOf(service, id string) uint64 { return xxhash.Sum64String(service + "\x00" + id) }

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
