package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/admin"
)

func explainRequestCommand() *command {
	var t target
	var id string
	return &command{
		name:        "explain request",
		description: "Explain the response to a request, from the records of the instance that handled it",
		examples:    []string{"knapweedreel explain request 9f86d081884c7d65 --admin 10.0.0.1:9443"},
		addArgs: func(sc *flaggy.Subcommand) {
			sc.AddPositionalValue(&id, "ID", 1, true, "Value of the Knapweedreel-Request-Id header")
			t.addFlags(sc)
		},
		run: func(ctx context.Context, s *session) error {
			found, err := findRequest(ctx, &t, id)
			if err != nil {
				return err
			}
			return s.print(found, func(w io.Writer) {
				for _, e := range found {
					printRequest(w, e)
				}
			})
		},
	}
}

// findRequest asks all live members, since a caller may have sent a request with
// the same ID to several.
func findRequest(ctx context.Context, t *target, id string) ([]admin.RequestExplanation, error) {
	status, err := t.status(ctx)
	if err != nil {
		return nil, err
	}
	found, failed := collect(t, liveMembers(status), func(c adminClient) (admin.RequestExplanation, error) {
		return c.ExplainRequest(ctx, id)
	})
	if len(found) > 0 {
		slices.SortFunc(found, func(a, b admin.RequestExplanation) int { return a.Time.Compare(b.Time) })
		return found, nil
	}
	if len(failed) > 0 {
		return nil, exitErrorf(ExitUnreachable, "no instance that responded has a record of request %s; no response from %s", id, formatErrors(failed))
	}
	return nil, exitErrorf(ExitFailed, "no live instance has a record of request %s; instances keep only their latest requests", id)
}

func printRequest(w io.Writer, e admin.RequestExplanation) {
	printRequestSummary(w, e)
	for i, a := range e.Attempts {
		fmt.Fprintf(w, "  attempt=%d upstream=%s home_slot=%t fresh_connection=%t bytes_sent=%t took=%v result=%s retry_cause=%s\n",
			i+1, a.Upstream, a.Home, a.Fresh, a.BytesSent, a.Took, a.Result, a.RetryCause)
	}
}

func printRequestSummary(w io.Writer, e admin.RequestExplanation) {
	fmt.Fprintf(w, "request=%s instance=%s time=%s service=%s revision=%d route=%q caller=%s\n",
		e.RequestID, e.Instance, e.Time.Format(time.RFC3339Nano), e.Service, e.Revision, e.Route, e.Caller)
	fmt.Fprintf(w, "  status=%d kind=%s run=%s queued=%v total=%v", e.Status, e.Kind, e.Run, e.Queued, e.Total)
	if e.Reason != "" {
		fmt.Fprintf(w, " reason=%s", e.Reason)
	}
	if e.RetryAfter > 0 {
		fmt.Fprintf(w, " retry_after=%v", e.RetryAfter)
	}
	if e.LimitVersion > 0 {
		fmt.Fprintf(w, " limit=%g limit_version=%d", e.Limit, e.LimitVersion)
	}
	fmt.Fprintln(w)
}

func explainUpstreamCommand() *command {
	var t target
	var service, upstream string
	return &command{
		name:        "explain upstream",
		description: "Print an upstream's state at each instance, and the decisions that led to it",
		examples:    []string{"knapweedreel explain upstream entries entries-3 --admin 10.0.0.1:9443"},
		addArgs: func(sc *flaggy.Subcommand) {
			addServiceArgument(sc, &service, true)
			sc.AddPositionalValue(&upstream, "UPSTREAM", 2, true, "ID of the upstream")
			t.addFlags(sc)
		},
		run: func(ctx context.Context, s *session) error {
			found, err := explainUpstream(ctx, &t, service, upstream)
			if err != nil {
				return err
			}
			return s.print(found, func(w io.Writer) {
				for _, e := range found {
					printUpstream(w, e)
				}
			})
		},
	}
}

// explainUpstream asks all live members of the service's shard, since each of
// them decides on its own.
func explainUpstream(ctx context.Context, t *target, service, upstream string) ([]admin.UpstreamExplanation, error) {
	status, err := t.status(ctx)
	if err != nil {
		return nil, err
	}
	members := liveMembers(status)
	if known := findService(&status, service); known != nil {
		members = slices.DeleteFunc(members, func(m admin.MemberStatus) bool { return m.Shard != known.Shard })
	}
	found, failed := collect(t, members, func(c adminClient) (admin.UpstreamExplanation, error) {
		return c.ExplainUpstream(ctx, service, upstream)
	})
	if len(found) == 0 && len(failed) > 0 {
		return nil, exitErrorf(ExitUnreachable, "no response from %s", formatErrors(failed))
	}
	if len(found) == 0 {
		return nil, errkind.New(errkind.NotFound, "no instance knows upstream %s of service %s", upstream, service)
	}
	slices.SortFunc(found, func(a, b admin.UpstreamExplanation) int { return strings.Compare(a.Instance, b.Instance) })
	return found, nil
}

func printUpstream(w io.Writer, e admin.UpstreamExplanation) {
	v := e.View
	fmt.Fprintf(w, "instance=%s service=%s upstream=%s state=%s weight=%.2f score=%.2f threshold=%.2f since=%s\n",
		e.Instance, v.Upstream.Service, v.Upstream.Upstream, v.State, v.Weight, v.Score, v.Threshold, v.Since.Format(time.RFC3339))
	for _, c := range e.Changes {
		printChange(w, c)
	}
}

func printChange(w io.Writer, c health.Change) {
	fmt.Fprintf(w, "  time=%s from=%s to=%s rule=%s revision=%d score=%.2f threshold=%.2f reporters=%s successes=%d failures=%d healthy_slots=%d floor_slots=%d detail=%q\n",
		c.Time.Format(time.RFC3339Nano), c.From, c.To, c.Rule, c.Revision, c.Score, c.Threshold, strings.Join(c.Reporters, ","),
		c.Successes, c.Failures, c.Healthy, c.Floor, c.Detail)
}

func formatErrors(failed map[string]error) string {
	var lines []string
	for id, err := range failed {
		lines = append(lines, fmt.Sprintf("%s (%v)", id, err))
	}
	slices.Sort(lines)
	return strings.Join(lines, ", ")
}
