package proofs

import (
	"fmt"
	"testing"
	"time"

	"knapweedreel/internal/health"
)

// Guards against links that stay in use after they went silent, and against
// holding a silent connection against a healthy upstream.
func TestSilentLinksAreReplaced(t *testing.T) {
	const service = "jars"
	f := newFleet(t, options{instances: 3, proxied: true, storeLink: true, services: []serviceSpec{{
		name: service, upstreams: 6, slots: 6, workMS: 2, change: shortDeadline,
	}}})
	c := newCaller("silent")
	c.load(t.Context(), 300, 12, f.lookups(service))

	t.Run("instance and upstream", func(t *testing.T) {
		for _, u := range f.upstreams[service] {
			u.link(t, proxyFaults{SilentExisting: true})
		}
		answers := c.load(t.Context(), 300, 12, f.lookups(service))
		if tally(answers)["200"] != len(answers) {
			t.Errorf("lookups right after the links went silent: %v, want all served", tally(answers))
		}
		eventually(t, "requests on fresh connections", 10*time.Second, func() (bool, string) {
			a := c.load(t.Context(), 60, 12, f.lookups(service))
			return tally(a)["200"] == len(a), fmt.Sprint(tally(a))
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
		post(t, "http://"+f.storeCtl+"/control", proxyFaults{SilentExisting: true})
		eventually(t, "put over fresh connections", 30*time.Second, func() (bool, string) {
			got := f.put(f.instances[0], withDeadline(f.documents[service], 2_900))
			return got == putAccepted, got.String()
		})
		f.mustBeInForce(t, service, 2, f.instances)
	})
	t.Run("caller and instance", func(t *testing.T) {
		listen, control := f.startProxy("proxy-caller", "tcp", f.instances[0].entry)
		through := request{address: listen, host: service + ".example", method: "GET", path: "/lookup"}
		if a := c.do(t.Context(), through); !a.served() {
			t.Fatalf("lookup through the proxy: status %d %v", a.status, a.err)
		}
		post(t, "http://"+control+"/control", proxyFaults{SilentExisting: true})
		fresh := newCaller("fresh")
		eventually(t, "lookup on a fresh connection", 10*time.Second, func() (bool, string) {
			a := fresh.do(t.Context(), through)
			return a.served(), fmt.Sprintf("status %d %v", a.status, a.err)
		})
	})
}
