package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedreel/internal/jsonc"
)

const valid = `{
  "instance": "i1", "region": "south", "failure_domain": "south-a",
  "entry_address": "127.0.0.1:7101",
  "peer_address": "127.0.0.1:7101", // UDP
  "admin_address": "127.0.0.1:7102",
  "store_address": "127.0.0.1:7000",
  "keys": {"certificate_file": "i1.pem", "key_file": "i1.key", "authority_file": "authority.pem"},
  "times": {"keep_ms": 4000},
}`

// Guards against a default that differs from its doc comment.
func TestLoadFillsInDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(path, []byte(valid), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{
		Instance: "i1", Region: "south", FailureDomain: "south-a",
		EntryAddress: "127.0.0.1:7101", PeerAddress: "127.0.0.1:7101", PeerListenAddress: "127.0.0.1:7101", AdminAddress: "127.0.0.1:7102",
		StoreAddress: "127.0.0.1:7000", ListAddress: "127.0.0.1:7000",
		Keys:   Keys{CertificateFile: "i1.pem", KeyFile: "i1.key", AuthorityFile: "authority.pem"},
		Limits: Limits{CallerConnections: 4096, HeaderBytes: 32 << 10, BufferedAnswerBytes: 64 << 10, BufferedBodyBytes: 64 << 10, CallerMemoryBytes: 256 << 20, Explanations: 1024},
		Times: Times{HeaderMS: 30_000, StallMS: 1_000, SlotStallMS: 4_000, MemoryWaitMS: 2_000, ConnectMS: 1_000, StoreMS: 2_000, HeartbeatMS: 1_000, PeerTimeoutMS: 3_000,
			LeaseMS: 15_000, KeepMS: 4_000, DrainMS: 6_000, QuietLimitMS: 6_000, StopLimitMS: 120_000},
		LogLevel: "info",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a rule that is not checked or that reports the wrong field.
func TestParseReportsEachProblem(t *testing.T) {
	cases := []struct{ old, updated, problem string }{
		{`"i1", "region"`, `"I1", "region"`, `s:2: instance: is "I1"`},
		{`"127.0.0.1:7102"`, `"127.0.0.1:7101"`, `s:5: admin_address: is the same as entry_address`},
		{`"127.0.0.1:7000"`, `"store:7000"`, `s:6: store_address: is "store:7000", want IP:port`},
		{`"127.0.0.1:7102"`, `"0.0.0.0:7102"`, `s:5: admin_address: is "0.0.0.0:7102", nobody can connect`},
		{`"key_file": "i1.key", `, ``, `s:7: keys.key_file: is missing`},
		{`"keep_ms": 4000`, `"keep_ms": 4000, "drain_ms": 3999`, `s:8: times.drain_ms: is 3999, must be at least keep_ms (4000)`},
		{`"keep_ms": 4000`, `"peer_timeout_ms": 1999`, `s:8: times.peer_timeout_ms: is 1999, must be at least twice heartbeat_ms`},
		{`"keep_ms": 4000`, `"lease_ms": 3999`, `s:8: times.lease_ms: is 3999`},
		{`"keep_ms": 4000`, `"connect_ms": -1`, `s:8: times.connect_ms: is -1, want 1 to`},
		{`"times": {"keep_ms": 4000}`, `"log_level": "loud"`, `s:8: log_level: is "loud"`},
		{`"times": {"keep_ms": 4000}`, `"limits": {"header_bytes": 10}`, `s:8: limits.header_bytes: is 10`},
		{`"times"`, `"timers"`, `s:8: timers: unknown field`},
	}
	for _, c := range cases {
		if !strings.Contains(valid, c.old) {
			t.Fatalf("%s is not in the valid settings", c.old)
		}
		_, err := Parse("s", []byte(strings.Replace(valid, c.old, c.updated, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), c.problem) {
			t.Errorf("%s: got %v, want %s", c.updated, err, c.problem)
		}
	}
}

// Guards against a validation that stops at the first problem.
func TestParseReportsAllProblemsOfEmptySettings(t *testing.T) {
	_, err := Parse("s", []byte("{}"))
	if err == nil || strings.Count(err.Error(), "\n")+1 != 10 {
		t.Errorf("got %v, want 10 problems", err)
	}
}

// Guards against a limit or time, such as one added later, that has no default
// or is not validated.
func TestEachLimitAndTimeHasDefaultAndRange(t *testing.T) {
	for _, group := range []string{"Limits", "Times"} {
		fields := reflect.TypeOf(Settings{})
		structure, _ := fields.FieldByName(group)
		for i := range structure.Type.NumField() {
			s, err := Parse("s", []byte(valid))
			if err != nil {
				t.Fatal(err)
			}
			field := reflect.ValueOf(&s).Elem().FieldByName(group).Field(i)
			if field.Int() <= 0 {
				t.Errorf("%s has no default", structure.Type.Field(i).Name)
			}
			field.SetInt(-1)
			path := structure.Tag.Get("json") + "." + structure.Type.Field(i).Tag.Get("json")
			if !slices.ContainsFunc(s.Validate(), func(p jsonc.Problem) bool { return p.Field == path }) {
				t.Errorf("-1 in %s is accepted", path)
			}
		}
	}
}

// Guards against a graceful shutdown that gives up requests at work although the
// platform would wait for them, or that does not end before the process is killed.
func TestStopLimitFollowsStopTime(t *testing.T) {
	for _, c := range []struct {
		stopTime string
		want     time.Duration
	}{
		{"", 2650 * time.Millisecond}, {"6s", 2650 * time.Millisecond}, {"10s", 6650 * time.Millisecond},
		{"6000ms", 2650 * time.Millisecond}, {"1s", minStopLimit},
	} {
		s := Settings{Times: Times{DrainMS: 2900, StopLimitMS: 2650}, Platform: &Platform{StopTime: c.stopTime}}
		if got := s.StopLimit(); got != c.want {
			t.Errorf("%q: %v, want %v", c.stopTime, got, c.want)
		}
	}
	if got := (&Settings{Times: Times{StopLimitMS: 120_000}}).StopLimit(); got != 2*time.Minute {
		t.Errorf("without a platform %v", got)
	}
}

// Guards against a stop time that is ignored because it cannot be parsed.
func TestInvalidStopTimeIsReported(t *testing.T) {
	for _, text := range []string{"10", "-1s", "soon", "0s"} {
		p := new(jsonc.Problems)
		(&Platform{StopTime: text}).validate(p)
		if !slices.ContainsFunc(*p, func(problem jsonc.Problem) bool { return problem.Field == "platform.stop_time" }) {
			t.Errorf("%q was accepted", text)
		}
	}
}
