package proofs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// controlClient calls the control endpoints of stand-ins.
var controlClient = &http.Client{Timeout: 10 * time.Second}

// upstreamFaults is the control message to a stand-in upstream.
type upstreamFaults struct {
	FailFraction          float64 `json:"fail_fraction"`
	FailPath              string  `json:"fail_path"`
	FailCaller            string  `json:"fail_caller"`
	Status                int     `json:"status"`
	SlowFactor            float64 `json:"slow_factor"`
	Hang                  bool    `json:"hang"`
	Truncate              bool    `json:"truncate"`
	Draining              bool    `json:"draining"`
	Shed                  bool    `json:"shed"`
	FlapMS                int     `json:"flap_ms"`
	CrossedFraction       float64 `json:"crossed_fraction"`
	LateDuplicateFraction float64 `json:"late_duplicate_fraction"`
	NoFraming             bool    `json:"no_framing"`
}

// proxyFaults is the control message to a fault proxy.
type proxyFaults struct {
	CutToTarget            bool `json:"cut_to_target"`
	CutToClient            bool `json:"cut_to_client"`
	DelayMS                int  `json:"delay_ms"`
	SilentExisting         bool `json:"silent_existing"`
	ResetAfterRequestBytes int  `json:"reset_after_request_bytes"`
	ResetAfterAnswerBytes  int  `json:"reset_after_answer_bytes"`
	ResetOnAccept          bool `json:"reset_on_accept"`
	Refuse                 bool `json:"refuse"`
	DuplicateAnswers       bool `json:"duplicate_answers"`
}

// storeFaults is the control message to the stand-in store.
type storeFaults struct {
	Outage      bool `json:"outage"`
	DelayMS     int  `json:"delay_ms"`
	LoseAnswers int  `json:"lose_answers"`
	Stale       bool `json:"stale"`
	ListLagMS   int  `json:"list_lag_ms"`
}

// post sends a control message.
func post(t testing.TB, url string, message any) {
	t.Helper()
	body, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := controlClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatalf("control %s: %v", url, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		text, _ := io.ReadAll(resp.Body)
		t.Fatalf("control %s: status %d: %s", url, resp.StatusCode, text)
	}
}

// fetch decodes the JSON response to a GET request.
func fetch(url string, into any) error {
	resp, err := controlClient.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// standinUpstream is a stand-in upstream process. Instances reach it through a
// fault proxy if options.proxied is set.
type standinUpstream struct {
	*process
	id       string
	address  string // of the upstream itself
	endpoint string // address in the document: the proxy's or the upstream's
	control  string // control address of the proxy, empty without a proxy
	region   string
	domain   string
	slots    int
}

// setFaults replaces the upstream's faults.
func (u *standinUpstream) setFaults(t testing.TB, f upstreamFaults) {
	t.Helper()
	post(t, "http://"+u.address+"/.standin/control", f)
}

// setLinkFaults replaces the faults of the proxy in front of the upstream.
func (u *standinUpstream) setLinkFaults(t testing.TB, f proxyFaults) {
	t.Helper()
	post(t, "http://"+u.control+"/control", f)
}

// runs returns the number of runs by request ID.
func (u *standinUpstream) runs(t testing.TB) map[string]int {
	t.Helper()
	var r struct {
		ByID map[string]int `json:"by_id"`
	}
	if err := fetch("http://"+u.address+"/.standin/runs", &r); err != nil {
		t.Fatal(err)
	}
	return r.ByID
}

// countRuns returns the number of runs at all upstreams by request ID.
func countRuns(t testing.TB, upstreams []*standinUpstream) map[string]int {
	t.Helper()
	sum := make(map[string]int)
	for _, u := range upstreams {
		for id, n := range u.runs(t) {
			sum[id] += n
		}
	}
	return sum
}

// checkRuns fails the test for every request that ran more than once, and for
// every request that ran although its response says not-run.
func checkRuns(t testing.TB, responses []response, runs map[string]int) {
	t.Helper()
	for id, n := range runs {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
	for _, resp := range responses {
		if resp.run == "not-run" && runs[resp.id] > 0 {
			t.Errorf("request %s ran although its response is %s/not-run", resp.id, resp.kind)
		}
	}
}
