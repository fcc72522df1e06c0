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

// handler returns the handler for all routes. Trace streams end when ctx ends.
func (s *Server) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/documents/{service}", s.jsonHandler(s.getDocument))
	mux.HandleFunc("PUT /v1/documents/{service}", s.jsonHandler(s.putDocument))
	mux.HandleFunc("GET /v1/documents/{service}/history", s.jsonHandler(s.getHistory))
	mux.HandleFunc("GET /v1/changes/{service}/{id}", s.jsonHandler(s.getChange))
	mux.HandleFunc("GET /v1/status", s.jsonHandler(s.getStatus))
	mux.HandleFunc("GET /v1/explain/upstreams/{service}/{upstream}", s.jsonHandler(s.explainUpstream))
	mux.HandleFunc("GET /v1/explain/requests/{id}", s.jsonHandler(s.explainRequest))
	mux.HandleFunc("GET /v1/audit", s.jsonHandler(s.getAudit))
	mux.Handle("GET /v1/metrics", s.config.Metrics)
	mux.HandleFunc("GET /v1/trace", func(w http.ResponseWriter, r *http.Request) { s.trace(ctx, w, r) })
	mux.HandleFunc("/", s.jsonHandler(func(r *http.Request) (any, error) {
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

// putDocument continues when the operator's connection breaks. The write may have
// been sent, so its result has to be determined and the document applied.
func (s *Server) putDocument(r *http.Request) (any, error) {
	id, err := operatorIdentity(r)
	if err != nil {
		return nil, err
	}
	q := r.URL.Query()
	revision, err := strconv.ParseUint(q.Get("revision"), 10, 64)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "parameter revision")
	}
	if q.Get("change") == "" || len(q.Get("change")) > maxChangeIDBytes {
		return nil, errkind.New(errkind.BadRequest, "parameter change must have 1 to %d bytes", maxChangeIDBytes)
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
		return errkind.New(errkind.BodyTooLarge, "document exceeds %d bytes", store.MaxValueBytes)
	}
	return errkind.Wrap(errkind.BadRequest, err, "read body")
}

func (s *Server) getChange(r *http.Request) (any, error) {
	return s.putter.ChangeResult(r.Context(), r.PathValue("service"), r.PathValue("id")), nil
}

// getHistory uses the document in effect, so that it works while the store is
// unavailable.
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
		return nil, errkind.New(errkind.NotFound, "request %s is not recorded at this instance", r.PathValue("id"))
	}
	return e, nil
}

// operatorIdentity returns the identity of the operator who sent a change request.
func operatorIdentity(r *http.Request) (keys.Identity, error) {
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
