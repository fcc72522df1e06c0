package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runCommand runs a command line and returns its exit code and output.
func runCommand(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code = run(t.Context(), args, &out, &errOut)
	return code, out.String(), errOut.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file.jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against wrong usage with exit code 0, which scripts take for success.
func TestUsageExitCodes(t *testing.T) {
	cases := []struct {
		args string
		code int
	}{
		{"", ExitOK},
		{"--help", ExitOK},
		{"document check --help", ExitOK},
		{"version", ExitOK},
		{"version --output json", ExitOK},
		{"version --output xml", ExitUsage},
		{"version --colour", ExitUsage},
		{"nonsense", ExitUsage},
		{"document", ExitUsage},
		{"document check", ExitUsage},
		{"document check /nowhere/file.jsonc", ExitUsage},
		{"settings check /nowhere/file.jsonc", ExitUsage},
		{"serve /nowhere/file.jsonc", ExitUsage},
	}
	for _, c := range cases {
		if code, _, stderr := runCommand(t, strings.Fields(c.args)...); code != c.code {
			t.Errorf("%q: exit code %d, want %d; stderr: %s", c.args, code, c.code, stderr)
		}
	}
}

// Guards against a command without description or example in its help.
func TestEveryCommandHasHelpWithExample(t *testing.T) {
	for _, c := range commands() {
		code, stdout, _ := runCommand(t, append(strings.Fields(c.name), "--help")...)
		title, usage, example := "\nknapweedreel "+c.name+" - "+c.description, "\n    knapweedreel "+c.name, "Examples:\n    knapweedreel "+c.name
		if code != ExitOK || !strings.Contains(stdout, title) || strings.Count(stdout, usage) < 2 && usageShown(stdout) || !strings.Contains(stdout, example) {
			t.Errorf("%s: exit code %d, help: %s", c.name, code, stdout)
		}
	}
}

// usageShown reports whether a help text has a usage line. flaggy omits it for
// commands without positional values.
func usageShown(help string) bool { return strings.Contains(help, "  Usage:") }

// Guards against invalid documents that reach an instance.
func TestDocumentCheckReportsErrors(t *testing.T) {
	file := writeFile(t, "{\n\"service\": \"S\"}")
	code, _, stderr := runCommand(t, "document", "check", file)
	if code != ExitUsage || !strings.Contains(stderr, file+":2: service: ") || !strings.Contains(stderr, "routes: ") {
		t.Errorf("exit code %d, stderr: %s", code, stderr)
	}
}
