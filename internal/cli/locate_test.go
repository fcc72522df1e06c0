package cli

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"knapweedreel/internal/errkind"
)

// startEntry starts an entry that handles locate requests for the service
// entries, and returns its address.
func startEntry(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/.knapweedreel/locate" || r.URL.Query().Get("service") != "entries" {
			errkind.WriteError(w, errkind.UnknownService, "unknown-service: no service has this name")
			return
		}
		fmt.Fprintf(w, `{"service": "entries", "keep_ms": 1000, "revision": 7, "addresses": [{"address": "10.0.0.1:80", "instance": "i1", "region": %q}]}`, r.URL.Query().Get("region"))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against giving up after the first of several entries could not be
// reached, and against error responses that are taken for addresses.
func TestLocate(t *testing.T) {
	entry := startEntry(t)
	for _, c := range []struct {
		args   string
		code   int
		prints string
	}{
		{"entries --entry 127.0.0.1:1," + entry + " --region south", ExitOK, "10.0.0.1:80 instance=i1 region=south"},
		{"entries --entry " + entry + " --output json", ExitOK, `"revision": 7`},
		{"photos --entry " + entry, ExitFailed, "unknown-service: " + entry + ": no service"},
		{"entries --entry 127.0.0.1:1", ExitUnreachable, "refused"},
		{"entries", ExitUsage, "--entry"},
	} {
		code, stdout, stderr := runCommand(t, append([]string{"locate"}, strings.Fields(c.args)...)...)
		if code != c.code || !strings.Contains(stdout+stderr, c.prints) {
			t.Errorf("locate %s: exit code %d, want %d; output: %s%s", c.args, code, c.code, stdout, stderr)
		}
	}
}
