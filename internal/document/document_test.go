package document

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"knapweedreel/internal/jsonc"
)

const valid = `{
  "service": "entries", // the service
  "hosts": ["entries.example"],
  "upstreams": [
    {"id": "e1", "address": "127.0.0.1:7001", "region": "south", "failure_domain": "south-a", "slots": 6},
    {"id": "e2", "address": "127.0.0.1:7002", "region": "north", "failure_domain": "north-a", "slots": 6, "state": "leaving"},
  ],
  "routes": [{"method": "POST", "path": "/entries", "retries": 1, "priority": 2}, {"method": "GET", "path": "/entries/*", "idempotent": true, "retries": 3, "deadline_ms": 500}],
  "floor_slots": 6,
}`

func parseValid(t *testing.T) *Document {
	t.Helper()
	d, err := Parse("entries.jsonc", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a default that differs from its doc comment.
func TestParseFillsInDefaults(t *testing.T) {
	d := parseValid(t)
	retries, factor, sensitivity, cold := 2, 2.5, 0.5, 10_000
	few, many := 1, 3
	want := &Document{
		Service: "entries",
		Hosts:   []string{"entries.example"},
		Upstreams: []Upstream{
			{ID: "e1", Address: "127.0.0.1:7001", Region: "south", FailureDomain: "south-a", Slots: 6, Connections: 330, State: UpstreamActive},
			{ID: "e2", Address: "127.0.0.1:7002", Region: "north", FailureDomain: "north-a", Slots: 6, Connections: 330, State: UpstreamLeaving},
		},
		Unhealthy: Unhealthy{Statuses: []int{500, 502, 503, 504}, SlowFactor: &factor, Sensitivity: &sensitivity, ColdStartMS: &cold},
		Routes: []Route{
			{Method: "POST", Path: "/entries", DeadlineMS: 10_000, Retries: &few, ObjectiveMS: 10_000, Priority: 2, MaxBodyBytes: 16 << 20},
			{Method: "GET", Path: "/entries/*", Idempotent: true, DeadlineMS: 500, Retries: &many, ObjectiveMS: 500, MaxBodyBytes: 16 << 20},
		},
		FloorSlots: 6, DeadlineMS: 10_000, Retries: &retries,
		Queue: Queue{Length: 64, TimeoutMS: 1_000}, IdleTimeoutMS: 10_000,
	}
	if diff := cmp.Diff(want, d); diff != "" {
		t.Error(diff)
	}
}

// Guards against a rule that is not checked or that reports the wrong field: each
// case violates one rule.
func TestParseReportsEachProblem(t *testing.T) {
	cases := []struct{ old, updated, problem string }{
		{`"entries", //`, `"Entries", //`, `entries.jsonc:2: service: is "Entries", want only a-z`},
		{`"service": "entries",`, ``, `entries.jsonc:1: service: is missing`},
		{`"entries.example"`, `"Entries.example"`, `entries.jsonc:3: hosts[0]: "Entries.example" must be lower case`},
		{`"entries.example"`, `"a.example", "a.example"`, `entries.jsonc:3: hosts[1]: "a.example" is the same as in hosts[0]`},
		{`"127.0.0.1:7001"`, `"localhost:7001"`, `entries.jsonc:5: upstreams[0].address: is "localhost:7001", want IP:port`},
		{`"127.0.0.1:7001"`, `"127.0.0.1:0"`, `entries.jsonc:5: upstreams[0].address: is "127.0.0.1:0", the port`},
		{`"127.0.0.1:7002"`, `"[::ffff:127.0.0.1]:7001"`, `entries.jsonc:6: upstreams[1].address: "127.0.0.1:7001" is the same`},
		{`"e2"`, `"e1"`, `entries.jsonc:6: upstreams[1].id: "e1" is the same as in upstreams[0].id`},
		{`"slots": 6}`, `"slots": 0}`, `entries.jsonc:5: upstreams[0].slots: is 0, want 1 to`},
		{`"leaving"`, `"gone"`, `entries.jsonc:6: upstreams[1].state: is "gone"`},
		{`"floor_slots": 6`, `"floor_slots": 7`, `entries.jsonc:9: floor_slots: is 7, want 0 to 6`},
		{`"floor_slots": 6`, `"floor_slots": -1`, `entries.jsonc:9: floor_slots: is -1`},
		{`"floor_slots": 6`, `"unhealthy": {"sensitivity": 1.5}`, `entries.jsonc:9: unhealthy.sensitivity: is 1.5, want 0 to 1`},
		{`"floor_slots": 6`, `"retries": -1`, `entries.jsonc:9: retries: is -1`},
		{`"floor_slots": 6`, `"queue": {"length": -1}`, `entries.jsonc:9: queue.length: is -1`},
		{`"/entries/*"`, `"/entries/*/x"`, `entries.jsonc:8: routes[1].path: is "/entries/*/x"`},
		{`"POST"`, `"post"`, `entries.jsonc:8: routes[0].method: is "post"`},
		{`{"method": "POST", "path": "/entries",`, `{"method": "GET", "path": "/entries/*",`, `entries.jsonc:8: routes[1]: "GET /entries/*" is the same as in routes[0]`},
		{`"retries": 3`, `"retries": -3`, `entries.jsonc:8: routes[1].retries: is -3`},
		{`"priority": 2`, `"priority": 101`, `entries.jsonc:8: routes[0].priority: is 101`},
		{`"deadline_ms": 500`, `"deadline_ms": -500`, `entries.jsonc:8: routes[1].deadline_ms: is -500`},
	}
	for _, c := range cases {
		if !strings.Contains(valid, c.old) {
			t.Fatalf("%s is not in the valid document", c.old)
		}
		_, err := Parse("entries.jsonc", []byte(strings.Replace(valid, c.old, c.updated, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), c.problem) {
			t.Errorf("%s: got %v, want %s", c.updated, err, c.problem)
		}
	}
}

// Guards against a validation that stops at the first problem.
func TestParseReportsAllProblemsOfEmptyDocument(t *testing.T) {
	_, err := Parse("d", []byte(`{"hosts": 5, "colour": "green"}`))
	var e *jsonc.Error
	if !errors.As(err, &e) {
		t.Fatalf("got %v", err)
	}
	var fields []string
	for _, p := range e.Problems {
		fields = append(fields, p.Field)
	}
	if diff := cmp.Diff([]string{"hosts", "colour", "service", "upstreams", "routes"}, fields); diff != "" {
		t.Error(diff)
	}
}

// Guards against documents that don't fit into the store together with their
// history.
func TestParseRejectsLongText(t *testing.T) {
	if _, err := Parse("d", make([]byte, MaxTextBytes+1)); err == nil || !strings.Contains(err.Error(), "at most 524288") {
		t.Errorf("got %v", err)
	}
}

// Guards against changes that are missed, reported twice, or matched by position
// instead of key.
func TestDiffListsEachChange(t *testing.T) {
	old, updated := parseValid(t), parseValid(t)
	updated.Upstreams[0], updated.Upstreams[1] = updated.Upstreams[1], updated.Upstreams[0]
	updated.Upstreams[0].Slots = 3
	updated.Upstreams[1].ID = "e3"
	updated.Queue.Length = 10
	updated.Routes[0], updated.Routes[1] = updated.Routes[1], updated.Routes[0]
	updated.Hosts = []string{"b.example"}
	got := strings.Join(Diff(old, updated), "\n")
	want := `hosts: ["entries.example"] -> ["b.example"]
upstreams[e1]: removed
upstreams[e2].slots: 6 -> 3
upstreams[e3]: added {"id":"e3","address":"127.0.0.1:7001","region":"south","failure_domain":"south-a","slots":6,"connections":330,"state":"active"}
routes: order changed
queue.length: 64 -> 10`
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if lines := Diff(old, parseValid(t)); len(lines) != 0 {
		t.Errorf("equal documents differ: %v", lines)
	}
}
