package upstream

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxResponseBytes limits N in /bytes/N and /chunked/N.
const maxResponseBytes = 1 << 30

// lateDuplicateDelay gives a client time to read a response and return the
// connection to its pool before the duplicate arrives.
const lateDuplicateDelay = 20 * time.Millisecond

// hijackedTimeout is how long a connection stays open after a late duplicate.
const hijackedTimeout = 10 * time.Second

// Echo is the body of the response to all paths except /bytes/N and /chunked/N.
type Echo struct {
	Upstream   string `json:"upstream"`
	RequestID  string `json:"request_id"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyBytes  int64  `json:"body_bytes"`
	BodySHA256 string `json:"body_sha256"` // hex
}

// requestBody holds the size and checksum of a request body.
type requestBody struct {
	bytes  int64
	sha256 string
}

func readBody(r *http.Request) (requestBody, error) {
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	return requestBody{bytes: n, sha256: hex.EncodeToString(h.Sum(nil))}, err
}

// response is the response to one request. writeBody generates the body each
// time it is needed, so that large bodies are not kept in memory.
type response struct {
	requestID   string
	contentType string
	length      int64
	chunked     bool
	checksum    string
	writeBody   func(io.Writer, int64) error // writes the first n bytes
}

func (s *Server) newResponse(r *http.Request, body requestBody) (*response, error) {
	resp := &response{requestID: r.Header.Get(HeaderRequestID), contentType: "application/octet-stream"}
	for prefix, chunked := range map[string]bool{"/bytes/": false, "/chunked/": true} {
		size, ok := strings.CutPrefix(r.URL.Path, prefix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(size, 10, 64)
		if err != nil || n < 0 || n > maxResponseBytes {
			return nil, fmt.Errorf("%s must end with a number of bytes up to %d", prefix, maxResponseBytes)
		}
		resp.length, resp.chunked, resp.writeBody = n, chunked, bodyWriter(resp.requestID)
		return resp, resp.computeChecksum()
	}
	text, err := json.Marshal(Echo{s.cfg.ID, resp.requestID, r.Method, r.URL.Path, body.bytes, body.sha256})
	if err != nil {
		return nil, err
	}
	resp.contentType, resp.length = "application/json", int64(len(text))
	resp.writeBody = func(w io.Writer, n int64) error { _, err := w.Write(text[:n]); return err }
	return resp, resp.computeChecksum()
}

// bodyWriter returns a function that writes n bytes that depend on the request
// ID.
func bodyWriter(requestID string) func(io.Writer, int64) error {
	digest := sha256.Sum256([]byte(requestID))
	block := bytes.Repeat(digest[:], 1<<10)
	return func(w io.Writer, n int64) error {
		for n > 0 {
			chunk := block[:min(n, int64(len(block)))]
			if _, err := w.Write(chunk); err != nil {
				return err
			}
			n -= int64(len(chunk))
		}
		return nil
	}
}

func (resp *response) computeChecksum() error {
	h := sha256.New()
	if err := resp.writeBody(h, resp.length); err != nil {
		return err
	}
	resp.checksum = hex.EncodeToString(h.Sum(nil))
	return nil
}

// setHeader sets the response header, except Content-Length.
func (resp *response) setHeader(h http.Header, upstream string) {
	h.Set("Content-Type", resp.contentType)
	h.Set(HeaderRequestID, resp.requestID)
	h.Set(HeaderUpstream, upstream)
	h.Set(HeaderChecksum, resp.checksum)
}

// respond sends the response to a request that was run, with its faults.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, body requestBody, fault Control) {
	if fault.failed {
		s.stats.countOutcome(outcomeFailed)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.Header().Set(HeaderUpstream, s.cfg.ID)
		http.Error(w, "failed on purpose", fault.Status)
		return
	}
	resp, err := s.newResponse(r, body)
	if err != nil {
		s.stats.countOutcome(outcomeFailed)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	resp, crossed := s.crossResponse(resp, fault.crossed)
	switch {
	case fault.Truncate:
		s.stats.countOutcome(outcomeTruncated)
		s.sendTruncated(w, resp)
	case fault.NoFraming:
		s.stats.countOutcome(outcomeNoFraming)
		s.sendRaw(w, resp, false)
	case fault.duplicated:
		s.stats.countOutcome(outcomeDuplicated)
		s.sendRaw(w, resp, true)
	case crossed:
		s.stats.countOutcome(outcomeCrossed)
		s.send(w, resp, resp.length)
	default:
		s.stats.countOutcome(outcomeOK)
		s.send(w, resp, resp.length)
	}
}

// crossResponse returns the response to the previous request and true if wanted
// is set and that request has another ID. Otherwise it returns resp and false.
// It keeps resp for the next call.
func (s *Server) crossResponse(resp *response, wanted bool) (*response, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.previous
	s.previous = resp
	if !wanted || previous == nil || previous.requestID == resp.requestID {
		return resp, false
	}
	return previous, true
}

func (s *Server) send(w http.ResponseWriter, resp *response, n int64) {
	resp.setHeader(w.Header(), s.cfg.ID)
	if !resp.chunked {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.length, 10))
	}
	w.WriteHeader(http.StatusOK)
	if resp.chunked {
		_ = http.NewResponseController(w).Flush() // otherwise a short body gets a Content-Length
	}
	_ = resp.writeBody(w, n) // fails only if the client has disconnected
}

// sendTruncated sends half of the body and closes the connection.
func (s *Server) sendTruncated(w http.ResponseWriter, resp *response) {
	s.send(w, resp, resp.length/2)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// sendRaw hijacks the connection and writes the response itself: twice with
// Content-Length if duplicate is set, otherwise once without framing. It then
// closes the connection; after a duplicate it first waits up to
// hijackedTimeout, as the client may have returned the connection to its pool.
func (s *Server) sendRaw(w http.ResponseWriter, resp *response, duplicate bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	err = s.writeRaw(conn, resp, duplicate)
	if err != nil || !duplicate {
		conn.Close()
		return
	}
	time.AfterFunc(lateDuplicateDelay, func() {
		defer conn.Close()
		if s.writeRaw(conn, resp, true) == nil {
			waitForClose(conn)
		}
	})
}

func (s *Server) writeRaw(conn net.Conn, resp *response, framed bool) error {
	h := http.Header{}
	resp.setHeader(h, s.cfg.ID)
	if framed {
		h.Set("Content-Length", strconv.FormatInt(resp.length, 10))
	}
	b := bufio.NewWriter(conn)
	fmt.Fprintf(b, "HTTP/1.1 200 OK\r\n")
	if err := h.Write(b); err != nil {
		return err
	}
	fmt.Fprintf(b, "\r\n")
	if err := resp.writeBody(b, resp.length); err != nil {
		return err
	}
	return b.Flush()
}

// waitForClose discards input until the client closes the connection or
// hijackedTimeout has passed. Requests that arrive are not run.
func waitForClose(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(hijackedTimeout))
	_, _ = io.Copy(io.Discard, conn)
}
