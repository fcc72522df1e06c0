package cli

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/adminclient"
	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/member"
)

const validDocument = `{"service": "entries", "hosts": ["entries.example"],
  "upstreams": [{"id": "e1", "address": "127.0.0.1:7001", "region": "south", "failure_domain": "a", "slots": 6}],
  "routes": [{"method": "POST", "path": "/entries"}]}`

// fakeInstance stands in for the admin server of one instance.
type fakeInstance struct {
	adminClient // nil: methods that are not overridden panic

	document    document.Envelope
	documentErr error
	result      platform.PutResult
	putErr      error
	puts        []uint64 // expected revisions

	mu          sync.Mutex
	statuses    []admin.Status // the last one is repeated
	unreachable bool
}

func (f *fakeInstance) Document(context.Context, string) (document.Envelope, error) {
	return f.document, f.documentErr
}

func (f *fakeInstance) Put(_ context.Context, _ string, _ []byte, revision uint64, _ string) (platform.PutResult, error) {
	f.puts = append(f.puts, revision)
	return f.result, f.putErr
}

func (f *fakeInstance) Status(context.Context) (admin.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return admin.Status{}, adminclient.ErrUnreachable
	}
	s := f.statuses[0]
	if len(f.statuses) > 1 {
		f.statuses = f.statuses[1:]
	}
	return s, nil
}

func fakeTarget(instances map[string]*fakeInstance) target {
	return target{admin: "a,b", dial: func(address string) adminClient { return instances[address] }}
}

// runPut puts validDocument and returns the exit code and the output.
func runPut(t *testing.T, p documentPut) (int, string) {
	t.Helper()
	p.file = writeFile(t, validDocument)
	var out bytes.Buffer
	s := &session{stdout: &out, stderr: &out, output: outputText}
	if err := p.run(t.Context(), s); err != nil {
		return s.fail(err), out.String()
	}
	return ExitOK, out.String()
}

// Guards against a report that misstates the result of a change.
func TestDocumentPutOutcomes(t *testing.T) {
	other := document.Change{Revision: 8, ChangeID: "x", Author: "show-office", Summary: "floor_slots: 1 -> 2"}
	cases := []struct {
		name   string
		result platform.PutResult
		err    error
		code   int
		prints string
	}{
		{"accepted", platform.PutResult{Outcome: platform.Accepted, Revision: 8}, nil, ExitOK, "outcome=accepted service=entries revision=8"},
		{"conflict", platform.PutResult{Outcome: platform.NotAccepted, Kind: errkind.Conflict, Other: other}, nil, ExitConflict, `by=show-office revision=8`},
		{"invalid", platform.PutResult{Outcome: platform.NotAccepted, Kind: errkind.InvalidDocument}, nil, ExitUsage, "not accepted"},
		{"store unavailable", platform.PutResult{Outcome: platform.NotAccepted, Kind: errkind.StoreUnavailable}, nil, ExitConflict, "not accepted"},
		{"unknown", platform.PutResult{Outcome: platform.Unknown}, nil, ExitUnknown, "ask again with: knapweedreel document status entries --change "},
		{"unreachable", platform.PutResult{}, adminclient.ErrUnreachable, ExitUnreachable, "not reachable"},
		{"not authorized", platform.PutResult{}, errkind.New(errkind.Unauthorized, "role"), ExitFailed, "unauthorized"},
	}
	for _, c := range cases {
		f := &fakeInstance{document: document.Envelope{Revision: 7}, result: c.result, putErr: c.err}
		code, out := runPut(t, documentPut{target: fakeTarget(map[string]*fakeInstance{"a": f, "b": f})})
		if code != c.code || !strings.Contains(out, c.prints) {
			t.Errorf("%s: exit code %d, want %d; output: %s", c.name, code, c.code, out)
		}
		if f.puts[0] != 7 {
			t.Errorf("%s: expected revision %d, want the one in effect, 7", c.name, f.puts[0])
		}
	}
}

// Guards against a change that is sent twice, and against giving up although
// another instance could accept it.
func TestDocumentPutUsesNextAddressOnlyWhenNothingWasSent(t *testing.T) {
	accepted := platform.PutResult{Outcome: platform.Accepted, Revision: 1}
	unknown := platform.PutResult{Outcome: platform.Unknown}
	notFound := errkind.New(errkind.NotFound, "no document")
	for _, c := range []struct {
		first *fakeInstance
		code  int
		puts  int // at the second instance
	}{
		{&fakeInstance{documentErr: adminclient.ErrUnreachable, putErr: errors.Wrap(adminclient.ErrUnreachable, "dial")}, ExitOK, 1},
		{&fakeInstance{documentErr: notFound, result: unknown}, ExitUnknown, 0},
	} {
		second := &fakeInstance{documentErr: notFound, result: accepted}
		code, out := runPut(t, documentPut{target: fakeTarget(map[string]*fakeInstance{"a": c.first, "b": second})})
		if code != c.code || len(second.puts) != c.puts {
			t.Errorf("exit code %d, %d puts at the second instance, want %d and %d; output: %s", code, len(second.puts), c.code, c.puts, out)
		}
		if c.puts > 0 && second.puts[0] != 0 {
			t.Errorf("expected revision %d for a new service", second.puts[0])
		}
	}
}

// statusWithRevision returns the status of an instance in a fleet with the live
// members a and b.
func statusWithRevision(revision uint64) admin.Status {
	members := []admin.MemberStatus{
		{Info: member.Info{ID: "a", AdminAddress: "a"}, Live: true},
		{Info: member.Info{ID: "b", AdminAddress: "b"}, Live: true},
		{Info: member.Info{ID: "lost", AdminAddress: "lost"}},
	}
	return admin.Status{Ready: true, Members: members, Services: []admin.ServiceStatus{{Name: "entries", Revision: revision}}}
}

func runStatus(t *testing.T, d documentStatus) (int, string) {
	t.Helper()
	var out bytes.Buffer
	s := &session{stdout: &out, stderr: &out, output: outputText}
	if err := d.run(t.Context(), s); err != nil {
		return s.fail(err), out.String()
	}
	return ExitOK, out.String()
}

// Guards against a wait that ends before all instances have the revision, or
// that includes members that are not live.
func TestDocumentStatusWaitsForAllLiveInstances(t *testing.T) {
	a := &fakeInstance{statuses: []admin.Status{statusWithRevision(3)}}
	b := &fakeInstance{statuses: []admin.Status{statusWithRevision(2), statusWithRevision(2), statusWithRevision(3)}}
	d := documentStatus{target: fakeTarget(map[string]*fakeInstance{"a": a, "b": b}), service: "entries", wait: true, instances: 2, timeout: 20 * time.Second}
	if code, out := runStatus(t, d); code != ExitOK || strings.Count(out, "revision=3") != 2 {
		t.Errorf("exit code %d, output: %s", code, out)
	}
	if len(b.statuses) != 1 {
		t.Errorf("ended while instance b had revision 2")
	}
}

// Guards against success although an instance lacks the revision or cannot be
// reached.
func TestDocumentStatusWaitEndsWithFailure(t *testing.T) {
	a := &fakeInstance{statuses: []admin.Status{statusWithRevision(3)}}
	for _, c := range []struct {
		b      *fakeInstance
		change func(*documentStatus)
		prints string
	}{
		{&fakeInstance{statuses: []admin.Status{statusWithRevision(2)}}, nil, "instance b has revision 2, want 3"},
		{&fakeInstance{unreachable: true}, nil, "instance b: instance is not reachable"},
		{&fakeInstance{statuses: []admin.Status{statusWithRevision(3)}}, func(d *documentStatus) { d.instances = 3 }, "2 live instances, want 3"},
		{&fakeInstance{statuses: []admin.Status{statusWithRevision(3)}}, func(d *documentStatus) { d.revision = "4" }, "has revision 3, want 4"},
	} {
		d := documentStatus{target: fakeTarget(map[string]*fakeInstance{"a": a, "b": c.b}), service: "entries", wait: true, timeout: 250 * time.Millisecond}
		if c.change != nil {
			c.change(&d)
		}
		if code, out := runStatus(t, d); code != ExitFailed || !strings.Contains(out, c.prints) {
			t.Errorf("exit code %d, output: %s, want %s", code, out, c.prints)
		}
	}
}

// Guards against keys that other commands cannot load, and against overwriting
// existing keys, which a running instance may use.
func TestKeysCommandsCreateKeysThatLoad(t *testing.T) {
	folder := t.TempDir()
	for _, c := range []struct {
		args string
		code int
	}{
		{"keys authority", ExitOK},
		{"keys authority", ExitFailed},
		{"keys operator show-office", ExitOK},
		{"keys instance i1", ExitOK},
		{"keys instance I1", ExitUsage},
		{"keys instance authority", ExitUsage},
		{"keys instance i2 --days 0", ExitUsage},
	} {
		args := append(strings.Fields(c.args), "--folder", folder)
		if code, _, stderr := runCommand(t, args...); code != c.code {
			t.Errorf("%s: exit code %d, want %d; stderr: %s", c.args, code, c.code, stderr)
		}
	}
	files := []string{"--certificate", folder + "/show-office.pem", "--key", folder + "/show-office.key", "--authority", folder + "/authority.pem"}
	code, _, stderr := runCommand(t, append([]string{"document", "get", "entries", "--admin", "127.0.0.1:1"}, files...)...)
	if code != ExitUnreachable {
		t.Errorf("exit code %d, want %d; stderr: %s", code, ExitUnreachable, stderr)
	}
}
