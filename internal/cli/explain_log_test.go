package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// hungLog has lines of two instances around a request that hung. They are out of
// order and have the prefix of a log collector.
const hungLog = `  1.1 i1 ts=2026-12-04T10:00:03.000Z level=info event=upstream_leaving instance=i1 id=u2 detail="s 10.0.0.2:80" revision=9
other text without a line
  1.2 i1 ts=2026-12-04T10:00:04.000Z level=warn event=request_failed instance=i1 request_id=hung service=s revision=3 route="* /a/*" caller=10.9.0.1 status=504 kind=deadline-exceeded run=unknown attempts=1 tries="u1,fails=0.14,load=2,kept,deadline-exceeded,1100ms,last:request-over" queued=0.0005 total=1.1
  1.3 i2 ts=2026-12-04T10:00:03.500Z level=info event=request instance=i2 request_id=fine service=s revision=3 route="* /a/*" caller=10.9.0.2 status=200 kind= run= attempts=2 tries="u1,fails=0.20,load=0,kept,upstream-silent,900ms u3,fails=0.04,load=0,fresh,200,200ms,late" queued=0 total=1.1
  1.4 i1 ts=2026-12-04T10:00:02.000Z level=info event=upstream_added instance=i1 id=u1 detail="s 10.0.0.1:80" revision=7
  1.5 i1 ts=2026-12-04T10:00:02.100Z level=warn event=store_lost instance=i1 revision=8 error="no answer"
  1.6 i2 ts=2026-12-04T10:00:02.200Z level=info event=planned_stop instance=i2
  1.7 i1 ts=2026-12-04T09:00:00.000Z level=info event=configuration_in_force instance=i1 detail="0 -> 3"
  1.8 i1 ts=2026-12-04T10:00:02.300Z level=info event=request instance=i1 tries=broken status=200
`

// Guards against a refusal whose reason, the limit of the account, is in the log
// but not in the explanation.
func TestExplainLogShowsTheLimit(t *testing.T) {
	const line = `ts=2026-12-04T10:00:04.000Z level=warn event=request_failed instance=i1 request_id=r service=s revision=3 route="* /a/*" caller=gauges status=429 kind=quota-exceeded run=not-run attempts=0 tries= queued=0 total=0.001 retry_after=0.35 limit=1.5 limit_version=9`
	l, err := parseLogLine(line)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	printRequestSummary(&out, *l.request)
	if !strings.Contains(out.String(), " retry_after=350ms limit=1.5 limit_version=9\n") {
		t.Errorf("%s", out.String())
	}
}

// Guards against an explanation of a failed request that omits other attempts at
// its upstream or what the instance had learned before, or that includes
// unrelated lines.
func TestExplainLog(t *testing.T) {
	file := filepath.Join(t.TempDir(), "all.log")
	if err := os.WriteFile(file, []byte(hungLog), 0o600); err != nil {
		t.Fatal(err)
	}
	code, stdout, stderr := runCommand(t, "explain", "log", "hung", "--file", file)
	if code != ExitOK {
		t.Fatalf("exit code %d: %s", code, stderr)
	}
	for _, want := range []string{
		"request=hung instance=i1 time=2026-12-04T10:00:02.9Z service=s revision=3",
		"status=504 kind=deadline-exceeded run=unknown queued=500µs total=1.1s",
		"upstream=u1 expected_failure=0.14 known_load=2 fresh_connection=false took=1.1s result=deadline-exceeded retry_cause= no_retry=request-over",
		"other attempts at u1 within 5s: here none; at other instances 1 upstream-silent",
		"2s before its end: upstream_added detail=s 10.0.0.1:80 id=u1 revision=7",
		"1.9s before its end: store_lost error=no answer revision=8",
	} {
		if !strings.Contains(stdout, want) {
			t.Errorf("%q is missing in:\n%s", want, stdout)
		}
	}
	for _, unrelated := range []string{"u2", "u3", "planned_stop", "configuration_in_force"} {
		if strings.Contains(stdout, unrelated) {
			t.Errorf("%s is unrelated to the request:\n%s", unrelated, stdout)
		}
	}
	if code, stdout, _ := runCommand(t, "explain", "log", "hung", "--file", file, "--output", "json"); code != ExitOK || !strings.Contains(stdout, `"upstream-silent": 1`) {
		t.Errorf("exit code %d: %s", code, stdout)
	}
	if code, _, stderr := runCommand(t, "explain", "log", "unknown", "--file", file); code != ExitFailed || !strings.Contains(stderr, "no line of request unknown") {
		t.Errorf("exit code %d: %s", code, stderr)
	}
	if code, _, _ := runCommand(t, "explain", "log", "hung", "--file", file+".missing"); code != ExitUsage {
		t.Errorf("exit code %d for a missing file", code)
	}
}

// Guards against a refusal whose explanation lacks when the caller was told to
// return.
func TestExplainLogShowsRetryAfter(t *testing.T) {
	const line = `ts=2026-12-04T10:00:04.000Z level=warn event=request_failed instance=i1 request_id=r service=s revision=3 route="* /a/*" caller=c status=503 kind=queue-full run=not-run attempts=0 tries= queued=0 total=0.001 retry_after=0.35`
	l, err := parseLogLine(line)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	printRequestSummary(&out, *l.request)
	if !strings.Contains(out.String(), " retry_after=350ms\n") {
		t.Error(out.String())
	}
}

// Guards against a refusal whose reason, the caller's key, is in the log but not in
// the explanation.
func TestExplainLogShowsTheReason(t *testing.T) {
	const line = `ts=2026-12-04T10:00:04.000Z level=warn event=request_failed instance=i1 reason=unknown-key request_id=r service=s revision=3 route="* /a/*" caller=10.0.0.1 status=401 kind=unauthenticated run=not-run attempts=0 tries= queued=0 total=0.001`
	l, err := parseLogLine(line)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	printRequestSummary(&out, *l.request)
	if !strings.Contains(out.String(), "kind=unauthenticated") || !strings.Contains(out.String(), " reason=unknown-key\n") {
		t.Errorf("%s", out.String())
	}
}
