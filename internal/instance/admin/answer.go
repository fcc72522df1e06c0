package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/store"
)

// maxChangeIDBytes bounds change IDs, of which each document keeps 32.
const maxChangeIDBytes = 128

// Failure is the body of an answer with an error kind.
type Failure struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
}

// operation runs a request and returns the value of its answer.
type operation func(r *http.Request) (any, error)

// serve answers with the operation's value as JSON, or with its error's kind.
// A put that was not accepted is answered with its whole result under the
// status of its kind.
func (s *Server) serve(op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, store.MaxValueBytes)
		answer, err := op(r)
		if err != nil {
			s.fail(w, r, err)
			return
		}
		status := http.StatusOK
		if result, ok := answer.(platform.PutResult); ok && result.Outcome != platform.Accepted {
			status = setKind(w, result.Kind)
		}
		writeJSON(w, status, answer)
	}
}

func (s *Server) fail(w http.ResponseWriter, r *http.Request, err error) {
	kind := errkind.Of(err)
	s.log.Info("admin_request_failed", zap.String("method", r.Method), zap.String("path", r.URL.Path),
		zap.String("kind", string(kind)), zap.Error(err))
	writeJSON(w, setKind(w, kind), Failure{Kind: kind, Message: strings.TrimPrefix(err.Error(), string(kind)+": ")})
}

// setKind sets the header fields of an error kind and returns its status.
func setKind(w http.ResponseWriter, kind errkind.Kind) int {
	a := errkind.Lookup(kind)
	w.Header().Set(errkind.HeaderError, string(a.Kind))
	w.Header().Set(errkind.HeaderRun, string(a.Run))
	return a.Status
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	data, err := json.Marshal(answer)
	if err != nil {
		errkind.WriteError(w, errkind.Internal, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// traceWriteLimit is the time for writing one event of a trace. A slower reader
// is cut off.
const traceWriteLimit = 10 * time.Second

// trace streams events, one JSON line each, until the client goes or stop ends.
func (s *Server) trace(stop context.Context, w http.ResponseWriter, r *http.Request) {
	events, err := s.control.Trace(r.Context())
	if err != nil {
		s.fail(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	_ = rc.SetWriteDeadline(time.Now().Add(traceWriteLimit))
	if rc.Flush() != nil {
		return
	}
	for {
		select {
		case e, ok := <-events:
			if !ok {
				return
			}
			_ = rc.SetWriteDeadline(time.Now().Add(traceWriteLimit))
			if enc.Encode(e) != nil || rc.Flush() != nil {
				return
			}
		case <-stop.Done():
			return
		case <-r.Context().Done():
			return
		}
	}
}
