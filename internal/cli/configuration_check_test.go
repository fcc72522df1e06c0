package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"knapweedreel/platform/standin"
)

func configurationFile(t *testing.T, version uint64, replacements ...string) string {
	t.Helper()
	text := string(standin.Configuration(version, "5rjvz48wuakn2ftimaj3"))
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(text, replacements[i]) {
			t.Fatalf("%s is not in the configuration", replacements[i])
		}
		text = strings.Replace(text, replacements[i], replacements[i+1], 1)
	}
	return writeFile(t, text)
}

// Guards against exit codes by which a script takes a configuration with findings
// for one without, and against differences that are taken for findings.
func TestConfigurationCheckExitCodes(t *testing.T) {
	sound, late := configurationFile(t, 7), configurationFile(t, 8, `"1s"`, `"9s"`)
	changed := configurationFile(t, 8, `"3s"`, `"2s"`, `"5rjvz48wuakn2ftimaj3"`, `"other-secret"`)
	broken := configurationFile(t, 7, `"4s"`, `"4"`, `"3s"`, `"3"`)
	note := configurationFile(t, 7, `"public": true`, `"priority": 2`)
	settingsFile := writeFile(t, `{"instance": "i1", "region": "south", "failure_domain": "south-a", "entry_address": "127.0.0.1:7101", "peer_address": "127.0.0.1:7101",
		"admin_address": "127.0.0.1:7102", "store_address": "127.0.0.1:1", "keys": {"certificate_file": "c", "key_file": "k", "authority_file": "a"}, "limits": {"header_bytes": 8192}}`)
	for _, c := range []struct {
		args   string
		code   int
		stdout string // contained
		stderr string
	}{
		{sound, ExitOK, "version=7 errors=0 warnings=0 notes=0\n", ""},
		{note, ExitOK, ": note: services.b: ", ""},
		{late, ExitWarnings, late + ":9: warning: routes.r1.aim: ", "has warnings: 1"},
		{broken, ExitUsage, broken + ":9: error: routes.r1.timeout: ", "has errors: 2"},
		{broken, ExitUsage, ": error: limits.headerTimeout: ", ""},
		{broken + " --against " + sound, ExitUsage, ": error: ", "it was not compared"},
		{changed + " --against " + sound, ExitOK, "changed limits headerTimeout=\"3s\"->\"2s\"\nversion=8 errors=0 warnings=0 notes=0 in_force=7 differences=2\n", ""},
		{changed + " --against " + sound, ExitOK, "sese880", ""},
		{sound + " --against " + sound, ExitOK, "in_force=7 differences=0\n", ""},
		{sound + " --against " + changed, ExitUsage, ": error: version: version 7 is not above 8", ""},
		{sound + " --against " + broken, ExitUsage, "", "cannot be read: " + broken},
		{sound + " --against /nowhere", ExitUsage, "", "/nowhere"},
		{sound + " --against " + sound + " --against-current", ExitUsage, "", "exclude"},
		{sound + " --against-current", ExitUsage, "", "--store"},
		{sound + " --store 127.0.0.1:1", ExitUsage, "", "--against-current"},
		{sound + " --against-current --store 127.0.0.1:1", ExitUnreachable, "", "127.0.0.1:1"},
		{sound + " --against-current --settings " + settingsFile, ExitUnreachable, "", "127.0.0.1:1"},
		{sound + " --settings " + settingsFile, ExitWarnings, ": warning: limits.maxHeaderBytes: ", ""},
		{sound + " --settings /nowhere", ExitUsage, "", "/nowhere"},
		{"/nowhere", ExitUsage, "", "/nowhere"},
		{"", ExitUsage, "", ""},
	} {
		code, stdout, stderr := runCommand(t, append([]string{"configuration", "check"}, strings.Fields(c.args)...)...)
		if code != c.code || !strings.Contains(stdout, c.stdout) || !strings.Contains(stderr, c.stderr) {
			t.Errorf("%s: exit code %d, want %d\n%s%s", c.args, code, c.code, stdout, stderr)
		}
		if strings.Contains(stdout+stderr, "5rjvz48wuakn2ftimaj3") || strings.Contains(stdout+stderr, "other-secret") {
			t.Errorf("%s: a key is printed\n%s%s", c.args, stdout, stderr)
		}
	}
}

// Guards against JSON output that scripts cannot read, or that contains keys.
func TestConfigurationCheckJSON(t *testing.T) {
	old := configurationFile(t, 7)
	updated := configurationFile(t, 8, `"1s"`, `"9s"`, `"5rjvz48wuakn2ftimaj3"`, `"other-secret"`, `"b": {`, `"c": {}, "b": {`)
	for _, format := range [][]string{{"--json"}, {"--output", "json"}} {
		code, stdout, _ := runCommand(t, append([]string{"configuration", "check", updated, "--against", old}, format...)...)
		var r configurationReport
		if err := json.Unmarshal([]byte(stdout), &r); err != nil || code != ExitWarnings {
			t.Fatalf("exit code %d, %v\n%s", code, err, stdout)
		}
		if r.Version != 8 || r.Errors != 0 || r.Warnings != 2 || len(r.Findings) != 2 || r.Findings[0].Place != "routes.r1.aim" || r.Findings[0].Line != 9 {
			t.Errorf("%+v", r)
		}
		if a := r.Against; a == nil || a.Source != old || a.Version != 7 || len(a.Differences) != 3 || a.Differences[1].Kind != "added" || a.Differences[2].Fields[0].Old != "1 (1 removed)" {
			t.Errorf("%+v", r.Against)
		}
		if strings.Contains(stdout, "secret") || strings.Contains(stdout, "5rjv") {
			t.Errorf("a key is printed\n%s", stdout)
		}
	}
	code, stdout, _ := runCommand(t, "configuration", "check", old, "--json")
	if code != ExitOK || !strings.Contains(stdout, `"findings": []`) || strings.Contains(stdout, "against") {
		t.Errorf("exit code %d\n%s", code, stdout)
	}
}

// Guards against more than one read of the store, whose calls are priced, and
// against a store without a configuration that is taken for a failure.
func TestConfigurationCheckAgainstCurrent(t *testing.T) {
	stored := standin.NewStore()
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		stored.ServeHTTP(w, r)
	}))
	defer server.Close()
	for i := range 20 {
		stored.Put(fmt.Sprintf("servers/i-%02d", i), []byte("{}"))
	}
	check := func(want int, contains string) {
		t.Helper()
		calls.Store(0)
		code, stdout, stderr := runCommand(t, "configuration", "check", configurationFile(t, 8), "--against-current", "--store", server.Listener.Addr().String())
		if code != want || !strings.Contains(stdout+stderr, contains) || calls.Load() != 1 {
			t.Errorf("exit code %d, %d calls\n%s%s", code, calls.Load(), stdout, stderr)
		}
	}
	check(ExitOK, "in_force=0 differences=6")
	stored.Put(standin.ConfigurationKey, standin.Configuration(7, "5rjvz48wuakn2ftimaj3", "other"))
	check(ExitOK, "\"2 (1 removed)\"->\"1\"\nversion=8 errors=0 warnings=0 notes=0 in_force=7 differences=1\n")
	stored.Put(standin.ConfigurationKey, standin.Configuration(9, "5rjvz48wuakn2ftimaj3"))
	check(ExitUsage, "version 8 is not above 9")
	stored.Put(standin.ConfigurationKey, []byte("{}"))
	check(ExitFailed, "configuration in the store: version is missing")
}

// Guards against progress in output that is not read by a person, and against
// progress that stays on the line of the result.
func TestProgress(t *testing.T) {
	for _, c := range []struct {
		size     int
		terminal bool
		want     string
	}{
		{progressBytes, true, "\rf: 2000 entries read\rf: 4000 entries read\r\x1b[K"}, {progressBytes - 1, true, ""}, {progressBytes, false, ""},
	} {
		var out strings.Builder
		p := newProgress(&out, "f", c.size, c.terminal)
		for i := range 5000 {
			p.report(i + 1)
		}
		p.end()
		if out.String() != c.want {
			t.Errorf("%+v: %q", c, out.String())
		}
	}
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if isTerminal(file) || isTerminal(new(strings.Builder)) {
		t.Error("a file that is not a terminal is taken for one")
	}
}
