package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/routing"
)

// awaitUnread waits until the operating system holds bytes that were not read. The
// connection is then reset when it is closed.
func awaitUnread(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
}

// resetUploads starts an upstream that responds at once, without a length, sends a
// part of its response and resets the connection with unread bytes of the request.
func resetUploads(t *testing.T, part int) routing.Upstream {
	return rawStandin(t, "u1", func(c net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", upstream.HeaderRequestID, req.Header.Get(upstream.HeaderRequestID), strings.Repeat("x", part))
		awaitUnread(c)
	})
}

// startUnframedServer starts a server whose upstreams may send responses without a
// length.
func startUnframedServer(t *testing.T, ups ...routing.Upstream) string {
	_, url := startServer(t, &fakeControl{snap: snapshotOf(testDocument(), ups...)}, func(cfg *Config) {
		cfg.Upstreams.Protocol = upstream.DefaultProtocol()
		cfg.Upstreams.Protocol.Unframed = true
	})
	return url
}

// Guards against a part of a response that the caller gets as complete, because the
// upstream has responded to an upload before its end, without a length, and has
// reset the connection: while nothing was passed on the caller gets a 502, and an
// aborted connection afterwards. The uploads are shorter and longer than what is kept
// for a retry.
func TestEarlyResponseToUploadIsNotCompletedByReset(t *testing.T) {
	for _, path := range []string{"/read/x", "/write/x"} {
		for _, part := range []int{10, 300 << 10} {
			for _, upload := range []int{20 << 10, 8 << 20} {
				t.Run(fmt.Sprintf("%s/part of %d bytes/upload of %d bytes", path, part, upload), func(t *testing.T) {
					url := startUnframedServer(t, resetUploads(t, part))
					for range 10 {
						resp, err := callers.RoundTrip(request(t, http.MethodPost, url+path, make([]byte, upload)))
						if err != nil {
							continue // the connection was aborted before the response was read
						}
						data, err := io.ReadAll(resp.Body)
						_ = resp.Body.Close()
						kind := resp.Header.Get(errkind.HeaderError)
						if resp.StatusCode == http.StatusOK && err == nil {
							t.Errorf("%d bytes count as the complete response", len(data))
						} else if resp.StatusCode != http.StatusOK && (resp.StatusCode != http.StatusBadGateway || kind == "") {
							t.Errorf("status %d, kind %q", resp.StatusCode, kind)
						}
					}
				})
			}
		}
	}
}

// Guards against a caller who gets a status that HTTP doesn't have: upstreams that
// send one, or any number of announcements of a response, have not responded.
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, head := range []string{
		"000 S", "099 S", "600 S", "999 S", "101 S", "OK", "20 S", strings.Repeat("103 S\r\n\r\nHTTP/1.1 ", 10_000) + "200 OK",
	} {
		for _, path := range []string{"/read/x", "/write/x"} {
			up := rawStandin(t, "u1", func(c net.Conn, req *http.Request) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", head, upstream.HeaderRequestID, req.Header.Get(upstream.HeaderRequestID))
				_, _ = io.Copy(io.Discard, c) // until the connection is closed
			})
			resp, _ := roundTrip(t, request(t, http.MethodGet, startUnframedServer(t, up)+path, nil))
			if kind := resp.Header.Get(errkind.HeaderError); resp.StatusCode != http.StatusBadGateway || kind != string(errkind.BadAnswer) {
				t.Errorf("%.20q, %s: status %d, kind %q", head, path, resp.StatusCode, kind)
			}
		}
	}
}
