package adminclient_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"knapweedreel/internal/adminclient"
	"knapweedreel/internal/audit"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/store"
)

const text = `{"service": "entries", "hosts": ["entries.example"], // comment
	"upstreams": [{"id": "u1", "address": "127.0.0.1:9001", "region": "south", "failure_domain": "s1", "slots": 6, "connections": 330}],
	"routes": [{"method": "POST", "path": "/entries", "idempotent": false, "deadline_ms": 2000, "max_body_bytes": 65536}]}`

// Guards against an author that the client can choose, a document text that is
// altered in transit, and a conflict that does not name the other change.
func TestPutAndRead(t *testing.T) {
	ctx := t.Context()
	ts := newTestServer(t)
	anna := ts.client("anna")
	r, err := anna.Put(ctx, "entries", []byte(text), 0, "c1")
	if err != nil || r.Outcome != platform.Accepted || r.Revision != 1 {
		t.Fatalf("Put = %+v, %v", r, err)
	}
	e, err := anna.Document(ctx, "entries")
	if err != nil || e.Text != text || e.Latest().Author != "anna" {
		t.Errorf("Document = %+v, %v", e, err)
	}
	r, err = anna.Put(ctx, "entries", []byte(text), 0, "c2")
	if err != nil || r.Outcome != platform.NotAccepted || r.Kind != errkind.Conflict || r.Other.ChangeID != "c1" {
		t.Errorf("conflicting Put = %+v, %v", r, err)
	}
	r, err = anna.Put(ctx, "entries", []byte("{"), 1, "c3")
	if err != nil || r.Outcome != platform.NotAccepted || r.Kind != errkind.InvalidDocument {
		t.Errorf("invalid Put = %+v, %v", r, err)
	}
	h, err := anna.History(ctx, "entries")
	if err != nil || h.Revision != 1 || len(h.Changes) != 1 {
		t.Errorf("History = %+v, %v", h, err)
	}
	if r, err = anna.ChangeResult(ctx, "entries", "c1"); err != nil || r.Outcome != platform.Accepted {
		t.Errorf("ChangeResult = %+v, %v", r, err)
	}
	if r, err = anna.ChangeResult(ctx, "entries", "c2"); err != nil || r.Outcome != platform.Unknown || r.Kind != errkind.NotFound {
		t.Errorf("ChangeResult of an absent change = %+v, %v", r, err)
	}
}

// Guards against a put with an instance's certificate, and against invalid or
// oversized puts that reach the store.
func TestRejectedRequests(t *testing.T) {
	ctx := t.Context()
	ts := newTestServer(t)
	for name, c := range map[string]struct {
		client, change string
		text           string
		want           errkind.Kind
	}{
		"role":      {"i2", "c1", text, errkind.Unauthorized},
		"no change": {"anna", "", text, errkind.BadRequest},
		"too large": {"anna", "c1", strings.Repeat("x", store.MaxValueBytes+1), errkind.BodyTooLarge},
	} {
		_, err := ts.client(c.client).Put(ctx, "entries", []byte(c.text), 0, c.change)
		if errkind.Of(err) != c.want {
			t.Errorf("%s: %v", name, err)
		}
	}
	i2 := ts.client("i2")
	if _, err := i2.Document(ctx, "absent"); errkind.Of(err) != errkind.NotFound || strings.Count(err.Error(), "not-found") != 1 {
		t.Errorf("absent document: %v", err)
	}
	if _, err := i2.ExplainRequest(ctx, "r2"); errkind.Of(err) != errkind.NotFound {
		t.Errorf("absent request: %v", err)
	}
	if _, err := i2.ExplainUpstream(ctx, "entries", "u9"); errkind.Of(err) != errkind.NotFound {
		t.Errorf("absent upstream: %v", err)
	}
	if kvs, err := ts.store.List(ctx, ""); err != nil || len(kvs) != 0 {
		t.Errorf("store holds %v, %v", kvs, err)
	}
}

// Guards against a status or explanation that lacks what operators need for
// their decisions.
func TestStatusAndExplanations(t *testing.T) {
	ctx := t.Context()
	ts := newTestServer(t)
	if r, err := ts.client("anna").Put(ctx, "entries", []byte(text), 0, "c1"); err != nil || r.Outcome != platform.Accepted {
		t.Fatal(r, err)
	}
	c := ts.client("i2")
	s, err := c.Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	want := []admin.ServiceStatus{{Name: "entries", Revision: 1, Served: true, HealthySlots: 6, Upstreams: []admin.UpstreamStatus{
		{ID: "u1", State: health.InService, Weight: 1, Slots: 6}, {ID: "u2", State: health.Ejected, Slots: 6},
	}}}
	if diff := cmp.Diff(want, s.Services); diff != "" {
		t.Error(diff)
	}
	if !s.Ready || s.Self.ID != "i1" || s.Holder == nil || s.Holder.Instance != "i2" || s.PlatformCalls[store.CallPut].Calls != 1 {
		t.Errorf("Status = %+v", s)
	}
	if len(s.Members) != 2 || !s.Members[0].Live || s.Members[1].AdminAddress != "127.0.0.1:2" {
		t.Errorf("Members = %+v", s.Members)
	}
	if e, err := c.ExplainUpstream(ctx, "entries", "u1"); err != nil || len(e.Changes) != 1 {
		t.Errorf("ExplainUpstream = %+v, %v", e, err)
	}
	if e, err := c.ExplainRequest(ctx, "r1"); err != nil || e.Status != 200 {
		t.Errorf("ExplainRequest = %+v, %v", e, err)
	}
	if m, err := c.Metrics(ctx); err != nil || !strings.Contains(string(m), "knapweedreel_x") {
		t.Errorf("Metrics = %q, %v", m, err)
	}
}

// Guards against audit records of other services, kinds or times in a response,
// and against a response without a limit.
func TestAuditQuery(t *testing.T) {
	ctx := t.Context()
	ts := newTestServer(t)
	l, err := ts.store.AcquireLease(ctx, "leases/shard-0", "i1", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)
	records := []audit.Record{
		{Time: at.Add(2 * time.Second), Kind: audit.KindUpstream, Service: "entries", Subject: "late"},
		{Time: at, Kind: audit.KindUpstream, Service: "entries", Subject: "early"},
		{Time: at.Add(time.Second), Kind: audit.KindUpstream, Service: "photos", Subject: "other"},
		{Time: at.Add(time.Second), Kind: audit.KindDocument, Service: "entries", Subject: "document"},
	}
	if _, err := audit.NewWriter(ts.store, 0, l).Append(ctx, records); err != nil {
		t.Fatal(err)
	}
	for want, q := range map[string]admin.AuditQuery{
		"early document other late": {},
		"early document late":       {Service: "entries"},
		"early late":                {Service: "entries", Kind: audit.KindUpstream},
		"document other late":       {Since: at.Add(time.Second)},
		"late":                      {Limit: 1},
		"":                          {Shard: new(5)},
	} {
		got, err := ts.client("i2").Audit(ctx, q)
		var subjects []string
		for _, r := range got {
			subjects = append(subjects, r.Subject)
		}
		sorted := strings.Join(subjects, " ")
		sorted = strings.ReplaceAll(sorted, "other document", "document other")
		if err != nil || sorted != want {
			t.Errorf("%+v: got %q, %v; want %q", q, sorted, err, want)
		}
	}
}

// Guards against idle connections of clients, such as scripts, that prevent an
// operator from connecting.
func TestIdleConnectionsDoNotBlockNewOnes(t *testing.T) {
	ts := newTestServer(t)
	// Shorter than the 30 s after which the server closes idle connections
	// anyway.
	const timeout = 25 * time.Second
	for range 100 { // more than the server accepts at a time
		transport := &http.Transport{TLSClientConfig: ts.credentials["i2"].AdminClient()}
		t.Cleanup(transport.CloseIdleConnections)
		resp, err := (&http.Client{Transport: transport, Timeout: timeout}).Get("https://" + ts.address + "/v1/metrics")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if _, err := ts.client("anna").Status(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against a trace that ends while events arrive, and against a shutdown
// that waits for traces to end.
func TestTraceEndsWithServer(t *testing.T) {
	ts := newTestServer(t)
	ts.control.traced <- admin.TracedEvent{Event: health.Event{Tick: &health.Tick{}}}
	seen := make(chan admin.TracedEvent, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- ts.client("i2").Trace(t.Context(), func(e admin.TracedEvent) error {
			seen <- e
			return nil
		})
	}()
	select {
	case e := <-seen:
		if e.Event.Tick == nil {
			t.Errorf("event %+v", e)
		}
	case err := <-ended:
		t.Fatalf("trace ended: %v", err)
	}
	ts.stop()
	if err := <-ended; err != nil {
		t.Errorf("trace: %v", err)
	}
}

// slowPutter blocks in Put until it is released.
type slowPutter struct {
	admin.Putter
	started, release chan struct{}
	ctxErr           chan error // the context's error after the release
}

func (p *slowPutter) Put(ctx context.Context, _ platform.PutRequest) platform.PutResult {
	close(p.started)
	<-p.release
	p.ctxErr <- ctx.Err()
	return platform.PutResult{Outcome: platform.Accepted}
}

// Guards against a put that is canceled after it wrote the document and before
// the document takes effect, because the operator's connection broke or the
// instance shuts down.
func TestPutSurvivesDisconnectAndShutdown(t *testing.T) {
	p := &slowPutter{started: make(chan struct{}), release: make(chan struct{}), ctxErr: make(chan error, 1)}
	ts := newTestServer(t, p)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan platform.PutResult, 1)
	go func() {
		r, err := ts.client("anna").Put(ctx, "entries", []byte(text), 0, "c1")
		if err != nil {
			t.Error(err)
		}
		result <- r
	}()
	<-p.started
	cancel()
	if r := <-result; r.Outcome != platform.Unknown {
		t.Errorf("result after the connection broke: %+v", r)
	}
	stopped := make(chan struct{})
	go func() { ts.stop(); close(stopped) }()
	// The context of a request ends shortly after its connection breaks. That
	// has happened by the time the server refuses other connections.
	for refused := false; !refused; {
		_, err := ts.client("anna").Status(t.Context())
		refused = errors.Is(err, adminclient.ErrUnreachable)
	}
	close(p.release)
	if err := <-p.ctxErr; err != nil {
		t.Errorf("the put was canceled: %v", err)
	}
	<-stopped
}

// Guards against a lost response that the client reports as a failure, and
// against an unreachable instance that it reports as an unknown result.
func TestPutWithoutResponse(t *testing.T) {
	ctx := t.Context()
	m := loadCredentials(t)
	var puts int
	hs := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		puts++
		panic(http.ErrAbortHandler)
	}))
	hs.TLS = m["i1"].AdminServer()
	hs.StartTLS()
	address := hs.Listener.Addr().String()
	c := adminclient.New(address, m["anna"].AdminClient())
	r, err := c.Put(ctx, "entries", []byte(text), 0, "c1")
	if err != nil || r.Outcome != platform.Unknown || !strings.Contains(r.Message, "c1") {
		t.Errorf("lost response: %+v, %v", r, err)
	}
	hs.Close()
	if puts != 1 {
		t.Errorf("the put was sent %d times", puts)
	}
	if _, err = c.Put(ctx, "entries", []byte(text), 0, "c1"); !errors.Is(err, adminclient.ErrUnreachable) {
		t.Errorf("closed address: %v", err)
	}
}
