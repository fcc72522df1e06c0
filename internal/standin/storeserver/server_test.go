package storeserver_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/standin/storeserver"
	"knapweedreel/internal/store"
	"knapweedreel/internal/store/httpstore"
)

func post(t *testing.T, url, body string) int {
	t.Helper()
	resp, err := http.Post(url+"/control", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against faults that have no effect, for example because of a
// misspelled field, and against faults that change others.
func TestControl(t *testing.T) {
	ctx := t.Context()
	server := storeserver.New()
	hs := httptest.NewServer(server)
	defer hs.Close()
	c := httpstore.New(httpstore.Config{StoreAddress: hs.Listener.Addr().String(), Timeout: 200 * time.Millisecond})
	defer c.Close()
	if status := post(t, hs.URL, `{"outtage": true}`); status != http.StatusBadRequest {
		t.Errorf("unknown field: status %d", status)
	}
	watched := make(chan error, 1)
	go func() {
		_, _, err := c.Watch(ctx, "documents/", 0)
		watched <- err
	}()
	for server.Calls()[store.CallWatch] == 0 {
		<-time.After(time.Millisecond)
	}
	if status := post(t, hs.URL, `{"outage": true, "lose_answers": 1}`); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if _, err := server.Memory().Put(ctx, "documents/a", nil, 0, ""); err != nil {
		t.Fatal(err)
	}
	if err := <-watched; !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("watch during the outage: %v", err)
	}
	post(t, hs.URL, `{"outage": false, "delay_ms": 1000}`)
	if _, err := c.Put(ctx, "k", []byte("late"), 0, ""); !errors.Is(err, store.ErrUnknownResult) {
		t.Errorf("delayed write: %v", err)
	}
	post(t, hs.URL, `{"delay_ms": 0}`)
	for deadline := time.Now().Add(10 * time.Second); ; <-time.After(time.Millisecond) {
		if v, _ := server.Memory().Get(ctx, "k"); v.Version == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the delayed write has no effect")
		}
	}
	resp, err := http.Get(hs.URL + "/control/calls")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var calls map[store.CallKind]int
	if err := json.NewDecoder(resp.Body).Decode(&calls); err != nil || calls[store.CallWatch] != 1 || calls[store.CallPut] != 1 {
		t.Errorf("calls %v, %v", calls, err)
	}
}
