package proofs

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"bytes"
	"crypto/rand"

	"knapweedreel/internal/adminclient"
	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/keys"
	"knapweedreel/internal/settings"
	"knapweedreel/internal/store"
)

// keyFiles holds the certificate authority of a fleet and an operator's
// credentials.
type keyFiles struct {
	dir            string
	authorityFile  string
	authorityFiles keys.Files
	operator       *keys.Credentials
}

const validity = 24 * time.Hour

func newKeyFiles(t testing.TB, dir string) keyFiles {
	t.Helper()
	k := keyFiles{dir: dir}
	k.authorityFiles = k.paths("authority")
	k.authorityFile = k.authorityFiles.CertificateFile
	if err := keys.CreateAuthority(k.authorityFiles, "test authority", validity); err != nil {
		t.Fatal(err)
	}
	certificate, key := k.createCertificate(t, "operator", keys.RoleOperator)
	credentials, err := keys.LoadTLS(settings.Keys{CertificateFile: certificate, KeyFile: key, AuthorityFile: k.authorityFile})
	if err != nil {
		t.Fatal(err)
	}
	k.operator = credentials
	return k
}

func (k keyFiles) paths(name string) keys.Files {
	return keys.Files{
		CertificateFile: filepath.Join(k.dir, name+".pem"),
		KeyFile:         filepath.Join(k.dir, name+".key"),
	}
}

func (k keyFiles) createCertificate(t testing.TB, name string, role keys.Role) (certificate, key string) {
	t.Helper()
	out := k.paths(name)
	if err := keys.CreateCertificate(k.authorityFiles, out, name, role, validity); err != nil {
		t.Fatal(err)
	}
	return out.CertificateFile, out.KeyFile
}

// createInstanceCertificate creates an instance's certificate and key and returns
// their paths.
func (k keyFiles) createInstanceCertificate(t testing.TB, name string) (certificate, key string) {
	t.Helper()
	return k.createCertificate(t, name, keys.RoleInstance)
}

// operatorTimeout is the timeout of an operator's call to an instance.
const operatorTimeout = 15 * time.Second

func (f *fleet) operatorClient(in *instance) (*adminclient.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	return adminclient.New(in.admin, f.keys.operator.AdminClient()), ctx, cancel
}

// putResult is the result of a put.
type putResult string

const (
	putAccepted    putResult = putResult(platform.Accepted)
	putNotAccepted putResult = putResult(platform.NotAccepted)
	putUnknown     putResult = putResult(platform.Unknown)
	putFailed      putResult = "failed"
)

func (r putResult) String() string { return string(r) }

// put puts a document, based on the revision in effect at the instance.
func (f *fleet) put(in *instance, doc *document.Document) putResult {
	return f.putAt(in, doc, f.revision(in, doc.Service))
}

// putAt puts a document, based on the given revision.
func (f *fleet) putAt(in *instance, doc *document.Document, revision uint64) putResult {
	text, err := json.Marshal(dropZero(f.t, doc))
	if err != nil {
		f.t.Error(err)
		return putFailed
	}
	client, ctx, cancel := f.operatorClient(in)
	defer cancel()
	result, err := client.Put(ctx, doc.Service, text, revision, rand.Text())
	if err != nil {
		f.t.Logf("put at %s: %v", in.name, err)
		if kind := errkind.Of(err); kind == errkind.StoreUnavailable {
			return putNotAccepted
		}
		return putFailed
	}
	if putResult(result.Outcome) != putAccepted {
		f.t.Logf("put at %s: %s: %s %s", in.name, result.Outcome, result.Kind, result.Message)
	}
	return putResult(result.Outcome)
}

// putDocument puts a document at the first live instance, which must accept it.
func (f *fleet) putDocument(doc *document.Document) {
	f.t.Helper()
	if got := f.put(f.live()[0], doc); got != putAccepted {
		f.t.Fatalf("put %s: %s", doc.Service, got)
	}
	f.documents[doc.Service] = doc
}

// revision returns the revision in effect at an instance, or 0 if there is none.
func (f *fleet) revision(in *instance, service string) uint64 {
	client, ctx, cancel := f.operatorClient(in)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return 0
	}
	for _, s := range status.Services {
		if s.Name == service {
			return s.Revision
		}
	}
	return 0
}

// inEffect reports whether all instances have at least the revision in effect. If
// not, it returns the reason.
func (f *fleet) inEffect(service string, revision uint64, instances []*instance) (bool, string) {
	for _, in := range instances {
		if got := f.revision(in, service); got < revision {
			return false, fmt.Sprintf("%s has revision %d of %s", in.name, got, service)
		}
	}
	return true, ""
}

// waitRevision waits until all instances have at least the revision in effect.
func (f *fleet) waitRevision(service string, revision uint64, instances []*instance) {
	f.t.Helper()
	eventually(f.t, fmt.Sprintf("revision %d of %s", revision, service), waitTimeout, func() (bool, string) {
		return f.inEffect(service, revision, instances)
	})
}

// waitReady waits until the instances are ready and know all live instances.
func (f *fleet) waitReady(instances []*instance) {
	f.t.Helper()
	for _, in := range instances {
		eventually(f.t, in.name+" ready", waitTimeout, func() (bool, string) {
			if in.exited() {
				f.t.Fatalf("%s has exited:\n%s", in.name, in.tail(40))
			}
			client, ctx, cancel := f.operatorClient(in)
			defer cancel()
			status, err := client.Status(ctx)
			if err != nil {
				return false, err.Error()
			}
			live := countLive(status)
			return status.Ready && live >= len(f.live()), fmt.Sprintf("ready %v, %d live members", status.Ready, live)
		})
	}
}

func countLive(s admin.Status) int {
	live := 0
	for _, m := range s.Members {
		if m.Live {
			live++
		}
	}
	return live
}

// liveMembers returns the number of live members that an instance sees, including
// itself.
func (f *fleet) liveMembers(in *instance) int {
	client, ctx, cancel := f.operatorClient(in)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return 0
	}
	return countLive(status)
}

// leaseHolder waits until a live instance holds the shard's lease and returns its
// index.
func (f *fleet) leaseHolder() int {
	f.t.Helper()
	index := -1
	eventually(f.t, "a lease holder", waitTimeout, func() (bool, string) {
		client, ctx, cancel := f.operatorClient(f.live()[0])
		defer cancel()
		status, err := client.Status(ctx)
		if err != nil || status.Holder == nil {
			return false, "no holder known"
		}
		index = slices.IndexFunc(f.instances, func(in *instance) bool {
			return in.name == status.Holder.Instance && !in.exited()
		})
		return index >= 0, status.Holder.Instance + " has exited"
	})
	return index
}

// explain returns an instance's view of an upstream and the recorded state changes.
func (f *fleet) explain(in *instance, service, upstream string) (health.View, []health.Change, error) {
	client, ctx, cancel := f.operatorClient(in)
	defer cancel()
	e, err := client.ExplainUpstream(ctx, service, upstream)
	return e.View, e.Changes, err
}

// setStoreFaults replaces the faults of the stand-in store.
func (f *fleet) setStoreFaults(s storeFaults) {
	f.t.Helper()
	post(f.t, "http://"+f.store+"/control", s)
}

// storeCalls returns the number of calls to the store by kind.
func (f *fleet) storeCalls() map[string]any {
	calls := make(map[string]any)
	if err := fetch("http://"+f.store+"/control/calls", &calls); err != nil {
		f.t.Fatal(err)
	}
	return calls
}

// listLeaving marks an upstream as leaving in the instance list.
func (f *fleet) listLeaving(service string, u *standinUpstream) {
	f.t.Helper()
	body, err := json.Marshal(store.Instance{
		ID: u.id, Role: store.RoleUpstream, Service: service, Address: u.endpoint, Region: u.region,
		FailureDomain: u.domain, State: store.StateLeaving,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+f.store+"/v1/instances/"+u.id, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode >= 300 {
		f.t.Fatalf("instance list: status %d", resp.StatusCode)
	}
}

// documentLeaving marks an upstream as leaving in the service's document.
func (f *fleet) documentLeaving(service string, u *standinUpstream) {
	f.t.Helper()
	changed := *f.documents[service]
	changed.Upstreams = append([]document.Upstream(nil), changed.Upstreams...)
	for i := range changed.Upstreams {
		if changed.Upstreams[i].ID == u.id {
			changed.Upstreams[i].State = document.UpstreamLeaving
		}
	}
	f.putDocument(&changed)
}

// startedRuns returns the number of requests that the upstream has started to run.
func (u *standinUpstream) startedRuns(t testing.TB) int {
	t.Helper()
	var r struct {
		Total int `json:"total"`
	}
	if err := fetch("http://"+u.address+"/.standin/runs", &r); err != nil {
		t.Fatal(err)
	}
	return r.Total
}
