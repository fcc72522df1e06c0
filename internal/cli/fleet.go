package cli

import (
	"context"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/member"
)

// maxParallel bounds the instances that are called at a time.
const maxParallel = 32

// callMembers calls every given member at its admin address and returns the
// errors by instance. Several goroutines run call.
func (t *target) callMembers(members []admin.MemberStatus, call func(admin.MemberStatus, adminClient) error) map[string]error {
	var mu sync.Mutex
	failed := map[string]error{}
	var g errgroup.Group
	g.SetLimit(maxParallel)
	for _, m := range members {
		g.Go(func() error {
			if err := call(m, t.dial(m.AdminAddress)); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed[m.ID] = err
			}
			return nil
		})
	}
	_ = g.Wait() // the calls return no errors
	return failed
}

// collect gets a value from every given member. It skips members that have none
// and returns other errors by instance.
func collect[T any](t *target, members []admin.MemberStatus, call func(adminClient) (T, error)) ([]T, map[string]error) {
	var mu sync.Mutex
	var found []T
	failed := t.callMembers(members, func(_ admin.MemberStatus, c adminClient) error {
		value, err := call(c)
		if isKind(err, errkind.NotFound) || isKind(err, errkind.UnknownService) {
			return nil
		}
		if err == nil {
			mu.Lock()
			defer mu.Unlock()
			found = append(found, value)
		}
		return err
	})
	return found, failed
}

// status returns the status of one instance.
func (t *target) status(ctx context.Context) (status admin.Status, err error) {
	err = t.read(ctx, func(c adminClient) error {
		status, err = c.Status(ctx)
		return err
	})
	return status, err
}

// fleetStatus is the status of all live instances.
type fleetStatus struct {
	Instances []instanceStatus `json:"instances"`
}

// instanceStatus is the status of one instance.
type instanceStatus struct {
	Instance string        `json:"instance"`
	Region   string        `json:"region"`
	State    member.State  `json:"state"`
	Problem  string        `json:"problem,omitempty"` // why there is no status
	Status   *admin.Status `json:"status,omitempty"`
}

// fleet gets the live members from one instance and the status from each of
// them.
func (t *target) fleet(ctx context.Context) (fleetStatus, error) {
	first, err := t.status(ctx)
	if err != nil {
		return fleetStatus{}, err
	}
	members := liveMembers(first)
	result := make([]instanceStatus, len(members))
	index := map[string]int{}
	for i, m := range members {
		index[m.ID] = i
		result[i] = instanceStatus{Instance: m.ID, Region: m.Region, State: m.State}
	}
	failed := t.callMembers(members, func(m admin.MemberStatus, c adminClient) error {
		status, err := c.Status(ctx)
		if err == nil {
			result[index[m.ID]].Status = &status
		}
		return err
	})
	for id, err := range failed {
		result[index[id]].Problem = err.Error()
	}
	return fleetStatus{Instances: result}, nil
}

// liveMembers returns the live members, sorted by name.
func liveMembers(s admin.Status) []admin.MemberStatus {
	var live []admin.MemberStatus
	for _, m := range s.Members {
		if m.Live && m.AdminAddress != "" {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b admin.MemberStatus) int { return strings.Compare(a.ID, b.ID) })
	return live
}

// findService returns the status of a service, or nil if s does not have it.
func findService(s *admin.Status, name string) *admin.ServiceStatus {
	if s == nil {
		return nil
	}
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}
