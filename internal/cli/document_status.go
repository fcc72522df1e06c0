package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"knapweedreel/internal/instance/platform"
)

// statusInterval is the time between two status requests while waiting. A
// revision takes effect everywhere within 5 s.
const statusInterval = 100 * time.Millisecond

type documentStatus struct {
	target    target
	service   string
	changeID  string
	revision  string
	instances int
	wait      bool
	timeout   time.Duration
}

func documentStatusCommand() *command {
	d := documentStatus{timeout: 10 * time.Second}
	return &command{
		name:        "document status",
		description: "Print the revision in effect at each instance",
		examples: []string{
			"knapweedreel document status entries --admin 10.0.0.1:9443",
			"knapweedreel document status entries --wait --revision 42 --timeout 5s",
			"knapweedreel document status entries --change 5f0c1d2e3a4b59687786a5b4c3d2e1f0",
		},
		addArgs: func(sc *flaggy.Subcommand) {
			addServiceArgument(sc, &d.service, false)
			d.target.addFlags(sc)
			sc.Bool(&d.wait, "", "wait", "Wait until the revision is in effect at every live instance")
			sc.String(&d.revision, "", "revision", "With --wait: wait for this revision or a later one; default: the highest that any instance has")
			sc.Int(&d.instances, "", "instances", "With --wait: also wait for at least this many live instances")
			sc.Duration(&d.timeout, "", "timeout", "With --wait: the longest time to wait")
			sc.String(&d.changeID, "", "change", "Print whether the change with this ID was accepted")
		},
		run: d.run,
	}
}

func (d *documentStatus) run(ctx context.Context, s *session) error {
	if d.changeID != "" {
		return d.runChange(ctx, s)
	}
	wanted, err := d.wantedRevision()
	if err != nil {
		return err
	}
	if !d.wait {
		fleet, err := d.target.fleet(ctx)
		if err != nil {
			return err
		}
		return s.print(fleet, func(w io.Writer) { printFleet(w, fleet, d.service) })
	}
	return d.runWait(ctx, s, wanted)
}

func (d *documentStatus) wantedRevision() (uint64, error) {
	if d.revision == "" {
		return 0, nil
	}
	if d.service == "" {
		return 0, exitErrorf(ExitUsage, "--revision needs a service")
	}
	n, err := strconv.ParseUint(d.revision, 10, 64)
	if err != nil {
		return 0, exitErrorf(ExitUsage, "--revision is %q, want a whole number", d.revision)
	}
	return n, nil
}

func (d *documentStatus) runChange(ctx context.Context, s *session) error {
	if d.service == "" {
		return exitErrorf(ExitUsage, "--change needs a service")
	}
	var result platform.PutResult
	err := d.target.read(ctx, func(c adminClient) (err error) {
		result, err = c.ChangeResult(ctx, d.service, d.changeID)
		return err
	})
	if err != nil {
		return err
	}
	return reportPut(s, newPutReport(d.service, d.changeID, result))
}

// runWait polls the fleet until all instances have the wanted revision or the
// timeout has passed.
func (d *documentStatus) runWait(ctx context.Context, s *session, wanted uint64) error {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	var last fleetStatus
	var missing string
	for {
		fleet, err := d.target.fleet(ctx)
		if err == nil {
			last, missing = fleet, d.missing(fleet, wanted)
		} else if ctx.Err() == nil {
			missing = err.Error()
		}
		if err == nil && missing == "" {
			return s.print(last, func(w io.Writer) { printFleet(w, last, d.service) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if err := s.print(last, func(w io.Writer) { printFleet(w, last, d.service) }); err != nil {
				return err
			}
			return exitErrorf(ExitFailed, "not in effect everywhere after %v: %s", d.timeout, missing)
		}
	}
}

// missing describes what the fleet still lacks, or returns "".
func (d *documentStatus) missing(fleet fleetStatus, wanted uint64) string {
	if n := len(fleet.Instances); n < d.instances {
		return fmt.Sprintf("%d live instances, want %d", n, d.instances)
	}
	for i := range fleet.Instances {
		if instance := &fleet.Instances[i]; instance.Status == nil {
			return fmt.Sprintf("instance %s: %s", instance.Instance, instance.Problem)
		}
	}
	for _, service := range d.services(fleet) {
		highest := wanted
		for i := range fleet.Instances {
			highest = max(highest, revisionAt(&fleet.Instances[i], service))
		}
		if highest == 0 {
			return fmt.Sprintf("service %s has no document", service)
		}
		for i := range fleet.Instances {
			instance := &fleet.Instances[i]
			if got := revisionAt(instance, service); got < highest {
				return fmt.Sprintf("service %s: instance %s has revision %d, want %d", service, instance.Instance, got, highest)
			}
		}
	}
	return ""
}

// services returns the service of the command line, or all services that any
// instance knows.
func (d *documentStatus) services(fleet fleetStatus) []string {
	if d.service != "" {
		return []string{d.service}
	}
	seen := map[string]bool{}
	var names []string
	for _, instance := range fleet.Instances {
		if instance.Status == nil {
			continue
		}
		for _, service := range instance.Status.Services {
			if !seen[service.Name] {
				seen[service.Name] = true
				names = append(names, service.Name)
			}
		}
	}
	return names
}

func revisionAt(instance *instanceStatus, service string) uint64 {
	if s := findService(instance.Status, service); s != nil {
		return s.Revision
	}
	return 0
}

func printFleet(w io.Writer, fleet fleetStatus, service string) {
	for _, instance := range fleet.Instances {
		if instance.Status == nil {
			fmt.Fprintf(w, "instance=%s region=%s state=%s problem=%q\n", instance.Instance, instance.Region, instance.State, instance.Problem)
			continue
		}
		fmt.Fprintf(w, "instance=%s region=%s state=%s ready=%t\n", instance.Instance, instance.Region, instance.State, instance.Status.Ready)
		for _, s := range instance.Status.Services {
			if service == "" || s.Name == service {
				fmt.Fprintf(w, "  service=%s revision=%d served=%t healthy_slots=%d floor_slots=%d upstreams=%d\n",
					s.Name, s.Revision, s.Served, s.HealthySlots, s.FloorSlots, len(s.Upstreams))
			}
		}
	}
}
