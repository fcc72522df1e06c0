package entry

import (
	"io"
	"net/http"
	"testing"
)

// BenchmarkRequest measures a small request through the entry to an upstream
// in the same process, callers and upstream included.
func BenchmarkRequest(b *testing.B) {
	for _, name := range []string{"/read/x", "/write/x"} {
		b.Run(name, func(b *testing.B) {
			c := &fakeControl{snap: snapshotOf(testDocument(), standin(b, "u1", succeed), standin(b, "u2", succeed))}
			_, url := startServer(b, c, nil)
			b.ReportAllocs()
			for b.Loop() {
				req, err := http.NewRequest(http.MethodGet, url+name, nil)
				if err != nil {
					b.Fatal(err)
				}
				req.Host = "svc"
				resp, err := callers.RoundTrip(req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
