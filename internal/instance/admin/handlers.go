package admin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/keys"
	"knapweedreel/internal/store"
)

// handler returns the routes. Streams end with ctx.
func (s *Server) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/documents/{service}", s.serve(s.getDocument))
	mux.HandleFunc("PUT /v1/documents/{service}", s.serve(s.putDocument))
	mux.HandleFunc("GET /v1/documents/{service}/history", s.serve(s.getHistory))
	mux.HandleFunc("GET /v1/changes/{service}/{id}", s.serve(s.getChange))
	mux.HandleFunc("GET /v1/status", s.serve(s.getStatus))
	mux.HandleFunc("GET /v1/explain/upstreams/{service}/{upstream}", s.serve(s.explainUpstream))
	mux.HandleFunc("GET /v1/explain/requests/{id}", s.serve(s.explainRequest))
	mux.HandleFunc("GET /v1/audit", s.serve(s.getAudit))
	mux.Handle("GET /v1/metrics", s.config.Metrics)
	mux.HandleFunc("GET /v1/trace", func(w http.ResponseWriter, r *http.Request) { s.trace(ctx, w, r) })
	mux.HandleFunc("/", s.serve(func(r *http.Request) (any, error) {
		return nil, errkind.New(errkind.NotFound, "no such operation: %s %s", r.Method, r.URL.Path)
	}))
	return mux
}

func (s *Server) getDocument(r *http.Request) (any, error) {
	e, ok, err := s.control.Envelope(r.Context(), r.PathValue("service"))
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, errkind.New(errkind.NotFound, "service %s has no document", r.PathValue("service"))
	}
	return e, nil
}

// putDocument goes on when the operator's connection breaks: the write may have
// been sent, and its result has to be settled and put in force.
func (s *Server) putDocument(r *http.Request) (any, error) {
	id, err := operator(r)
	if err != nil {
		return nil, err
	}
	q := r.URL.Query()
	revision, err := strconv.ParseUint(q.Get("revision"), 10, 64)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "parameter revision")
	}
	if q.Get("change") == "" || len(q.Get("change")) > maxChangeIDBytes {
		return nil, errkind.New(errkind.BadRequest, "parameter change needs 1 to %d bytes", maxChangeIDBytes)
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, bodyError(err)
	}
	return s.putter.Put(context.WithoutCancel(r.Context()), platform.PutRequest{
		Service: r.PathValue("service"), Text: string(text), ExpectedRevision: revision,
		Author: id.Name, ChangeID: q.Get("change"),
	}), nil
}

func bodyError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return errkind.New(errkind.BodyTooLarge, "a document has at most %d bytes", store.MaxValueBytes)
	}
	return errkind.Wrap(errkind.BadRequest, err, "read body")
}

func (s *Server) getChange(r *http.Request) (any, error) {
	return s.putter.ChangeResult(r.Context(), r.PathValue("service"), r.PathValue("id")), nil
}

// getHistory reads the document in force, so that it also works without the
// store.
func (s *Server) getHistory(r *http.Request) (any, error) {
	e, ok, err := s.control.Envelope(r.Context(), r.PathValue("service"))
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, errkind.New(errkind.NotFound, "service %s has no document", r.PathValue("service"))
	}
	return History{Service: e.Service, Revision: e.Revision, Changes: e.History}, nil
}

func (s *Server) getStatus(*http.Request) (any, error) {
	st := newStatus(s.control.Snapshot(), s.control.Holder(), time.Now())
	if s.config.Counter != nil {
		st.PlatformCalls = s.config.Counter.Counts()
	}
	return st, nil
}

func (s *Server) explainUpstream(r *http.Request) (any, error) {
	key := health.Key{Service: r.PathValue("service"), Upstream: r.PathValue("upstream")}
	view, changes, err := s.control.ExplainUpstream(r.Context(), key)
	if err != nil {
		return nil, err
	}
	return UpstreamExplanation{Instance: s.control.Snapshot().Self.ID, View: view, Changes: changes}, nil
}

func (s *Server) explainRequest(r *http.Request) (any, error) {
	e, ok := s.requests.ExplainRequest(r.PathValue("id"))
	if !ok {
		return nil, errkind.New(errkind.NotFound, "this instance keeps no request %s", r.PathValue("id"))
	}
	return e, nil
}

// operator returns the identity behind a request that changes something.
func operator(r *http.Request) (keys.Identity, error) {
	if r.TLS == nil {
		return keys.Identity{}, errkind.New(errkind.Unauthorized, "no certificate")
	}
	id, err := keys.PeerIdentity(*r.TLS)
	if err != nil {
		return id, errkind.Wrap(errkind.Unauthorized, err, "certificate")
	}
	if id.Role != keys.RoleOperator {
		return id, errkind.New(errkind.Unauthorized, "%s has role %s; changes need role %s", id.Name, id.Role, keys.RoleOperator)
	}
	return id, nil
}
