package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// oddEntries are values that other writers may leave among the upstreams'
// entries. All of them name a service in use and an address at which nobody
// listens.
func oddEntries() []string {
	entry := func(address, slots, status string) string {
		return fmt.Sprintf(`{"address":%s,"born":7,"info":{"service":"orders","version":"v1","zone":"south-1","slots":%s},"status":%s}`, address, slots, status)
	}
	const address, status = `"127.0.0.1:1"`, `{"state":"ready","sequence":1,"warmupLeft":"0ms"}`
	return []string{
		strings.Repeat("[", 300_000), strings.Repeat(`{"info":`, 100_000), "\xff\xfe\x00", "", "null", "7", `"servers"`,
		entry(address, "1e400", status), entry(address, "9223372036854775807", status), entry(address, "1000000000", status),
		entry(address, "-6", status), entry(`"127.0.0.1:0"`, "6", status), entry(`"127.0.0.1:70000"`, "6", status),
		entry(`"[fe80::1%x]:80"`, "6", status), entry(`["127.0.0.1:1"]`, "6", status),
		entry(address, "6", `{"state":"ready","sequence":1e999,"warmupLeft":"0ms"}`), entry(address, "6", `{"state":"ready","sequence":1,"warmupLeft":"NaNs"}`),
		entry(address, "6", `{"state":"resting","sequence":1,"warmupLeft":"0ms"}`),
		entry(address, "6", `{"state":"ready","sequence":1}`), entry(address, "6", `{"state":"ready","warmupLeft":"0ms"}`),
		`{"address":` + strings.Repeat("9", 1<<20) + `}`,
	}
}

// Guards against processes that end, or stop following the store, because of odd
// entries among those of the upstreams and members: such an entry costs no more
// than itself.
func TestOddEntriesAreIgnored(t *testing.T) {
	f := newFleet(t, 7)
	for _, i := range f.instances {
		f.eventually("ready after the start: "+i.name, i.isReady)
	}
	var started []<-chan struct{}
	for _, i := range f.instances {
		started = append(started, i.done())
	}
	c, stop := startCallers(t, f, 7)
	for range 3 {
		for n, text := range oddEntries() {
			f.store.Put(fmt.Sprint("servers/odd-", n), []byte(text))
			f.store.Put(fmt.Sprint("fleet/members/odd-", n), []byte(text))
		}
		f.store.Put("servers/", []byte(oddEntries()[7]))
		f.store.Put("servers/a\r\nX: y", []byte(`{"address":"127.0.0.1:1","born":7,"info":{"service":"orders","version":"v1","zone":"south-1","slots":6},"status":{"state":"ready","sequence":1,"warmupLeft":"0ms"}}`))
		wait(t.Context(), 700*time.Millisecond)
	}
	f.store.Compact() // the complete content is read again
	u := f.addUpstream("orders")
	f.eventually("an upstream added after odd entries runs requests", func() bool { return !u.LastRun().IsZero() })
	f.waitRecovered(c)
	stop()
	for n, i := range f.instances {
		select {
		case <-started[n]:
			t.Errorf("%s has ended", i.name)
		default:
		}
	}
	f.checkOutcomes(c.outcomes)
}
