package crowd

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// listenerDescriptors leaves 312 for sockets.
	listenerDescriptors = 512
	// listenerCrowd is larger than that.
	listenerCrowd = 400
	// largeHeader is the size of a request header that doesn't end.
	largeHeader = 900 << 10

	resolvePath = "/knapweedreel/resolve?name=" + host + "&region=south&zone=south-1"
	readyPath   = "/knapweedreel/readiness"
)

// Guards against crowds at the addresses beside the entry, whose servers have no part
// in the memory for callers: many connections, large headers, requests whose
// responses aren't read, and bodies that nobody asked for.
func TestCrowdsBesideTheEntry(t *testing.T) {
	for _, listener := range []struct {
		name, path string
		address    func(*process) string
	}{
		{"directory", resolvePath, func(p *process) string { return p.directory }},
		{"readiness", readyPath, func(p *process) string { return p.ready }},
		{"peers", "/", func(p *process) string { return p.peer }},
	} {
		request := "GET " + listener.path + " HTTP/1.1\r\nHost: a\r\n"
		// Built once: a crowd that is turned away sends thousands of them a second.
		unfinished := []byte(request + "X-Fill: " + strings.Repeat("x", largeHeader))
		pipeline := []byte(strings.Repeat(request+"\r\n", 100))
		for _, tc := range []struct {
			name string
			slow bool
			send func(c net.Conn) error
		}{
			{"idle connections", false, func(net.Conn) error { return nil }},
			{"large headers", false, func(c net.Conn) error {
				_, err := c.Write(unfinished)
				return err
			}},
			{"unread responses", true, func(c net.Conn) error {
				for {
					if _, err := c.Write(pipeline); err != nil {
						return err
					}
				}
			}},
			{"bodies", false, func(c net.Conn) error {
				if _, err := io.WriteString(c, request+"Content-Length: 67108864\r\n\r\n"); err != nil {
					return err
				}
				return sendPieces(64<<20, func(piece string) error {
					_, err := io.WriteString(c, piece)
					return err
				})
			}},
		} {
			t.Run(listener.name+"/"+tc.name, func(t *testing.T) {
				p := startProcess(t, listenerDescriptors)
				p.addUpstream(crowdService, slots, workTime)
				p.checkOrdinary(crowdService)
				m := p.watchTotal()
				c := &crowd{t: t, address: listener.address(p), slow: tc.slow, send: func(c net.Conn, _ string) error { return tc.send(c) }}
				c.gather(listenerCrowd)
				p.checkOrdinary(crowdService)
				p.checkGet("http://" + p.directory + resolvePath)
				p.checkGet("http://" + p.ready + readyPath)
				m.check(listenerDescriptors)
			})
		}
	}
}

// checkGet gets a page from the address of an ordinary client until it is answered.
func (p *process) checkGet(url string) {
	p.t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ordinaryAddress)}}
	client := http.Client{Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true}, Timeout: time.Second}
	eventually(p.t, url+" is answered", func() bool {
		resp, err := client.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}
