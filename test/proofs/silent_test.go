package proofs

import (
	"fmt"
	"testing"
	"time"

	"knapweedreel/internal/health"
)

// Guards against links that stay in use after they became silent, and against
// ejecting a healthy upstream because of a silent connection.
func TestSilentLinksAreReplaced(t *testing.T) {
	const service = "jars"
	f := newFleet(t, options{instances: 3, proxied: true, storeLink: true, services: []serviceSpec{{
		name: service, upstreams: 6, slots: 6, workMS: 2, change: shortDeadline,
	}}})
	c := newCaller("silent")
	c.load(t.Context(), 300, 12, f.lookups(service))

	t.Run("instance and upstream", func(t *testing.T) {
		for _, u := range f.upstreams[service] {
			u.setLinkFaults(t, proxyFaults{SilentExisting: true})
		}
		responses := c.load(t.Context(), 300, 12, f.lookups(service))
		if countByResult(responses)["200"] != len(responses) {
			t.Errorf("lookups right after the links became silent: %v, want all served", countByResult(responses))
		}
		eventually(t, "requests on new connections", 10*time.Second, func() (bool, string) {
			responses := c.load(t.Context(), 60, 12, f.lookups(service))
			return countByResult(responses)["200"] == len(responses), fmt.Sprint(countByResult(responses))
		})
		for _, in := range f.instances {
			for _, change := range f.changes(in, service) {
				if change.To == health.Ejected {
					t.Errorf("%s ejected healthy upstream %s by %s", in.name, change.Upstream.Upstream, change.Rule)
				}
			}
		}
	})
	t.Run("instance and store", func(t *testing.T) {
		post(t, "http://"+f.storeControl+"/control", proxyFaults{SilentExisting: true})
		eventually(t, "put over new connections", 30*time.Second, func() (bool, string) {
			got := f.put(f.instances[0], withDeadline(f.documents[service], 2_900))
			return got == putAccepted, got.String()
		})
		f.mustBeInEffect(t, service, 2, f.instances)
	})
	t.Run("caller and instance", func(t *testing.T) {
		listen, control := f.startProxy("proxy-caller", "tcp", f.instances[0].entry)
		through := request{address: listen, host: service + ".example", method: "GET", path: "/lookup"}
		if resp := c.do(t.Context(), through); !resp.served() {
			t.Fatalf("lookup through the proxy: status %d %v", resp.status, resp.err)
		}
		post(t, "http://"+control+"/control", proxyFaults{SilentExisting: true})
		fresh := newCaller("fresh")
		eventually(t, "lookup on a new connection", 10*time.Second, func() (bool, string) {
			resp := fresh.do(t.Context(), through)
			return resp.served(), fmt.Sprintf("status %d %v", resp.status, resp.err)
		})
	})
}
