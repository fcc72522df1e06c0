package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
)

// Guards against connections that are counted after they were closed, against a
// service that takes the connections of others, or their idle ones, and against a
// lack of connections that is held against the upstream.
func TestLimitOfAllConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := newPools(t, func(cfg *Config) { cfg.MaxConnections = 4 }) // three for one service
	var all []*conn
	get := func(service string) (*pool, *conn) {
		t.Helper()
		a := Attempt{
			Target:    Target{Key: health.Key{Service: service, Upstream: "u"}, Address: l.Addr().String(), MaxConnections: 9},
			Request:   &http.Request{Header: http.Header{}},
			FreshOnly: true,
		}
		pl, c, err := p.get(context.Background(), a)
		if err != nil && (errkind.Of(err) != errkind.ConnectFailed || !isResourceError(err)) {
			t.Errorf("service %s: %v", service, err)
		}
		if c != nil {
			all = append(all, c)
		}
		return pl, c
	}
	aPool, first := get("a")
	get("a")
	get("a")
	bPool, other := get("b")
	bPool.put(other)
	if _, c := get("a"); c != nil || len(bPool.idle) != 1 {
		t.Errorf("service a has a fourth connection, or an idle one of b was closed (%d idle)", len(bPool.idle))
	}
	if _, c := get("c"); c == nil || len(bPool.idle) != 0 {
		t.Errorf("no connection in place of an idle one (%d idle)", len(bPool.idle))
	}
	if _, c := get("b"); c != nil {
		t.Error("a fifth connection was opened")
	}
	aPool.discard(first)
	if _, c := get("b"); c == nil {
		t.Error("no connection in place of a closed one")
	}
	for _, c := range all {
		c.close()
	}
	if n := p.limit.Open(); n != 0 {
		t.Errorf("%d connections are counted after all were closed", n)
	}
}
