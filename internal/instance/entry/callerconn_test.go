package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/settings"
)

// Guards against a header over the configuration's limit that reaches an upstream,
// is buffered on and on, or gets another response than 431, and against refusing
// one within the limit. The settings allow more.
func TestHeaderLimitOfConfiguration(t *testing.T) {
	const limit = 8 << 10
	c := &fakeControl{snap: snapshotOf(testDocument(), standin(t, "u1", succeed))}
	c.snap.CallerHeaderBytes = limit
	_, url := startServer(t, c, func(cfg *Config) { cfg.Limits.HeaderBytes = 128 << 10 })
	const format = "GET /read/x HTTP/1.1\r\nHost: svc\r\nConnection: close\r\nFill: %s\r\n%s"
	base := len(fmt.Sprintf(format, "", "\r\n"))
	for _, tc := range []struct {
		name   string
		size   int
		end    string
		status int
	}{
		{"at the limit", limit, "\r\n", http.StatusOK},
		{"over", limit + 100, "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"far over", 10 * limit, "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"without end", 10 * limit, "", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := len(c.reported())
			data, err := roundTripRaw(t, url, fmt.Sprintf(format, strings.Repeat("x", tc.size-base), tc.end))
			if err != nil || !strings.HasPrefix(data, fmt.Sprintf("HTTP/1.1 %d ", tc.status)) {
				t.Fatalf("%.200q, %v", data, err)
			}
			if tc.status != http.StatusOK && (!strings.Contains(data, string(errkind.HeaderTooLarge)) || len(c.reported()) != before) {
				t.Errorf("%.200q, %d attempts", data, len(c.reported())-before)
			}
		})
	}
}

// Guards against a header that takes longer than the configuration allows, also if
// bytes keep coming, on new and on reused connections; against a response to it;
// and against applying that limit to an idle connection or to the body.
func TestHeaderTimeoutOfConfiguration(t *testing.T) {
	const timeout = 300 * time.Millisecond
	c := &fakeControl{snap: snapshotOf(testDocument(), standin(t, "u1", succeed))}
	c.snap.CallerHeaderTimeout, c.snap.CallerIdle = timeout, time.Minute
	_, url := startServer(t, c, func(cfg *Config) { cfg.Times = settings.Times{HeaderMS: 30_000} })
	for _, reused := range []bool{false, true} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		if reused {
			if _, err := io.WriteString(conn, "POST /write/x HTTP/1.1\r\nHost: svc\r\nContent-Length: 4\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * timeout) // in the body
			_, _ = io.WriteString(conn, "body")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("%v, %v", resp, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			time.Sleep(2 * timeout) // idle
		}
		closed := make(chan string, 1)
		go func() {
			data, _ := io.ReadAll(conn)
			closed <- string(data)
		}()
		tick := time.NewTicker(timeout / 10)
		_, err = io.WriteString(conn, "GET /read/x HTTP/1.1\r\nHost: svc\r\nFill: ")
		for open := true; open; {
			select {
			case data := <-closed:
				open = false
				if data != "" {
					t.Errorf("reused %t: response %q", reused, data)
				}
			case <-tick.C:
				_, _ = io.WriteString(conn, "x")
			}
		}
		tick.Stop()
		if err != nil {
			t.Errorf("reused %t: %v", reused, err)
		}
		_ = conn.Close()
	}
}
