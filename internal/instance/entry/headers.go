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
