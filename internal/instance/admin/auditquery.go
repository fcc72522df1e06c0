package admin

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/member"
)

// AuditQuery selects records of one shard's audit trail. Empty fields match all
// records.
type AuditQuery struct {
	Service string // selects the records of this service
	Shard   *int   // default: the shard of Service if set, else of the instance
	Kind    audit.Kind
	Since   time.Time
	Limit   int // number of newest records; default and maximum 10,000
}

// Values returns the query as URL parameters.
func (q AuditQuery) Values() url.Values {
	v := url.Values{}
	if q.Service != "" {
		v.Set("service", q.Service)
	}
	if q.Shard != nil {
		v.Set("shard", strconv.Itoa(*q.Shard))
	}
	if q.Kind != "" {
		v.Set("kind", string(q.Kind))
	}
	if !q.Since.IsZero() {
		v.Set("since", q.Since.Format(time.RFC3339Nano))
	}
	if q.Limit > 0 {
		v.Set("limit", strconv.Itoa(q.Limit))
	}
	return v
}

// maxAuditRecords bounds the records of a response. It is more than the audit ring
// of a shard can hold.
const maxAuditRecords = 10_000

func (s *Server) getAudit(r *http.Request) (any, error) {
	q, err := parseAuditQuery(r)
	if err != nil {
		return nil, err
	}
	records, err := audit.Read(r.Context(), s.store, s.auditShard(q))
	if err != nil {
		return nil, errkind.Wrap(errkind.StoreUnavailable, err, "read the audit trail")
	}
	records = slices.DeleteFunc(records, func(a audit.Record) bool { return !q.matches(a) })
	slices.SortStableFunc(records, func(a, b audit.Record) int { return a.Time.Compare(b.Time) })
	return slices.Concat([]audit.Record{}, records[max(0, len(records)-q.Limit):]), nil
}

func (s *Server) auditShard(q AuditQuery) int {
	snapshot := s.control.Snapshot()
	shards := max(1, snapshot.Shards)
	switch {
	case q.Shard != nil:
		return *q.Shard
	case q.Service != "":
		return member.ShardOf(q.Service, shards)
	default:
		return member.ShardOf(snapshot.Self.ID, shards)
	}
}

func (q AuditQuery) matches(a audit.Record) bool {
	return (q.Service == "" || a.Service == q.Service) &&
		(q.Kind == "" || a.Kind == q.Kind) &&
		!a.Time.Before(q.Since)
}

func parseAuditQuery(r *http.Request) (AuditQuery, error) {
	v := r.URL.Query()
	q := AuditQuery{Service: v.Get("service"), Kind: audit.Kind(v.Get("kind")), Limit: maxAuditRecords}
	var err error
	if t := v.Get("shard"); t != "" {
		n, err := strconv.Atoi(t)
		if err != nil || n < 0 {
			return q, errkind.New(errkind.BadRequest, "parameter shard: %q is not a shard", t)
		}
		q.Shard = &n
	}
	if t := v.Get("since"); t != "" {
		if q.Since, err = time.Parse(time.RFC3339Nano, t); err != nil {
			return q, errkind.Wrap(errkind.BadRequest, err, "parameter since")
		}
	}
	if t := v.Get("limit"); t != "" {
		n, err := strconv.Atoi(t)
		if err != nil || n <= 0 {
			return q, errkind.New(errkind.BadRequest, "parameter limit: %q is not a positive number", t)
		}
		q.Limit = min(n, maxAuditRecords)
	}
	return q, nil
}
