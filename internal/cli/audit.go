package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/instance/admin"
)

func auditCommand() *command {
	var t target
	var query admin.AuditQuery
	var kind string
	since, shard := time.Duration(0), -1
	return &command{
		name:        "audit",
		description: "Print the audit trail of a shard: ejections, reinstatements, documents, members and leases",
		examples: []string{
			"knapweedreel audit --admin 10.0.0.1:9443 --service entries --since 2h",
			"knapweedreel audit --kind member --limit 50",
		},
		addArgs: func(sc *flaggy.Subcommand) {
			t.addFlags(sc)
			sc.String(&query.Service, "", "service", "Only records of this service, read from its shard")
			sc.Int(&shard, "", "shard", "Shard to read; default: the service's, else that of the instance that responds")
			sc.String(&kind, "", "kind", "Only records of this kind: upstream, document, member or lease")
			sc.Duration(&since, "", "since", "Only records that are not older than this; 0 for all")
			sc.Int(&query.Limit, "", "limit", "Only this many of the newest records; 0 for no limit")
		},
		run: func(ctx context.Context, s *session) error {
			query.Kind = audit.Kind(kind)
			if since > 0 {
				query.Since = time.Now().Add(-since)
			}
			if shard >= 0 {
				query.Shard = &shard
			}
			return printAudit(ctx, s, &t, query)
		},
	}
}

func printAudit(ctx context.Context, s *session, t *target, query admin.AuditQuery) error {
	var records []audit.Record
	err := t.read(ctx, func(c adminClient) (err error) {
		records, err = c.Audit(ctx, query)
		return err
	})
	if err != nil {
		return err
	}
	return s.print(records, func(w io.Writer) {
		for _, r := range records {
			fmt.Fprintf(w, "time=%s instance=%s kind=%s service=%s subject=%s action=%s rule=%s revision=%d detail=%q\n",
				r.Time.Format(time.RFC3339Nano), r.Instance, r.Kind, r.Service, r.Subject, r.Action, r.Rule, r.Revision, r.Detail)
		}
	})
}
