package entry

import (
	"net/http"
	"net/textproto"
	"strings"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/entry/upstream"
)

// Headers between callers, the fleet and upstreams.
const (
	headerCaller   = "Knapweedreel-Caller"
	headerDeadline = upstream.HeaderDeadline
)

// hopByHop are the headers that concern one connection only (RFC 9110,
// section 7.6.1), with the older ones that are still in use.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// reserved are the headers by which the fleet speaks for itself. An upstream's
// answer does not carry them to the caller.
var reserved = []string{errkind.HeaderError, errkind.HeaderRun, upstream.HeaderRefused}

// removeHopByHop removes the hop-by-hop headers and those that Connection
// names.
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
