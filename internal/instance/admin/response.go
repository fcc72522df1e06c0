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

// maxChangeIDBytes bounds change IDs. Each document stores up to 32 of them.
const maxChangeIDBytes = 128

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
}

// operation handles a request and returns the value for the response.
type operation func(r *http.Request) (any, error)

// jsonHandler returns a handler that responds with the operation's value as JSON,
// or with the kind of its error. For a put that was not accepted, it responds with
// the complete result and the status of the result's kind.
func (s *Server) jsonHandler(op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, store.MaxValueBytes)
		value, err := op(r)
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		status := http.StatusOK
		if result, ok := value.(platform.PutResult); ok && result.Outcome != platform.Accepted {
			status = setErrorHeaders(w, result.Kind)
		}
		writeJSON(w, status, value)
	}
}

func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	kind := errkind.Of(err)
	s.log.Info("admin_request_failed", zap.String("method", r.Method), zap.String("path", r.URL.Path),
		zap.String("kind", string(kind)), zap.Error(err))
	writeJSON(w, setErrorHeaders(w, kind), ErrorResponse{Kind: kind, Message: strings.TrimPrefix(err.Error(), string(kind)+": ")})
}

// setErrorHeaders sets the header fields for an error kind and returns its status
// code.
func setErrorHeaders(w http.ResponseWriter, kind errkind.Kind) int {
	description := errkind.Lookup(kind)
	w.Header().Set(errkind.HeaderError, string(description.Kind))
	w.Header().Set(errkind.HeaderRun, string(description.Run))
	return description.Status
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		errkind.WriteError(w, errkind.Internal, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// traceWriteTimeout bounds the write of one trace event. A reader that is slower is
// disconnected.
const traceWriteTimeout = 10 * time.Second

// trace streams events as JSON lines until the client disconnects or the shutdown
// context ends.
func (s *Server) trace(shutdown context.Context, w http.ResponseWriter, r *http.Request) {
	events, err := s.control.Trace(r.Context())
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	_ = rc.SetWriteDeadline(time.Now().Add(traceWriteTimeout))
	if rc.Flush() != nil {
		return
	}
	for {
		select {
		case e, ok := <-events:
			if !ok {
				return
			}
			_ = rc.SetWriteDeadline(time.Now().Add(traceWriteTimeout))
			if enc.Encode(e) != nil || rc.Flush() != nil {
				return
			}
		case <-shutdown.Done():
			return
		case <-r.Context().Done():
			return
		}
	}
}
