package entry

import (
	"net/http"
	"net/textproto"
	"strings"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/entry/upstream"
)

// Headers exchanged with callers and upstreams.
const (
	headerCaller   = "Knapweedreel-Caller"
	headerDeadline = upstream.HeaderDeadline
)

// hopByHop are the hop-by-hop headers (RFC 9110, section 7.6.1), including older
// ones that are still in use.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// reserved are the headers that only the fleet itself may send to callers. They
// are removed from upstream responses.
var reserved = []string{errkind.HeaderError, errkind.HeaderRun, upstream.HeaderRefused}

// headerTooLarge reports whether the request header exceeds the configuration's
// limit.
func (e *exchange) headerTooLarge() bool {
	limit := e.s.headerLimits().bytes
	return limit > 0 && headerSize(e.r) > limit
}

// headerSize returns the size of a request header in bytes with the shortest
// notation that the caller may have used: net/http doesn't keep the original.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(" ") + len(r.RequestURI) + len(" HTTP/1.1\r\n") + len("Host:\r\n") + len(r.Host) + len("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(":") + len(v) + len("\r\n")
		}
	}
	return size
}

// removeHopByHop removes the hop-by-hop headers and those listed in Connection.
func removeHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
