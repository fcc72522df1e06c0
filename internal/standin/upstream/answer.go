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

// maxAnswerBytes bounds /bytes/N and /chunked/N.
const maxAnswerBytes = 1 << 30

// lateDuplicateDelay lets a client finish reading an answer, and keep its
// connection for another request, before the second answer arrives.
const lateDuplicateDelay = 20 * time.Millisecond

// hijackedTime is how long a connection that had a late duplicate stays open.
const hijackedTime = 10 * time.Second

// Echo is the body of an answer to an ordinary path.
type Echo struct {
	Upstream   string `json:"upstream"`
	RequestID  string `json:"request_id"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyBytes  int64  `json:"body_bytes"`
	BodySHA256 string `json:"body_sha256"` // hex
}

// requestBody is what is kept of a request's body.
type requestBody struct {
	bytes  int64
	sha256 string
}

func readBody(r *http.Request) (requestBody, error) {
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	return requestBody{bytes: n, sha256: hex.EncodeToString(h.Sum(nil))}, err
}

// answer is the answer to one request. Its body is written to a writer as
// often as needed, so that a large one is never held in memory.
type answer struct {
	requestID string
	kind      string // Content-Type
	length    int64
	chunked   bool
	checksum  string
	body      func(io.Writer, int64) error // writes the first n bytes
}

func (s *Server) newAnswer(r *http.Request, body requestBody) (*answer, error) {
	a := &answer{requestID: r.Header.Get(HeaderRequestID), kind: "application/octet-stream"}
	for prefix, chunked := range map[string]bool{"/bytes/": false, "/chunked/": true} {
		size, ok := strings.CutPrefix(r.URL.Path, prefix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(size, 10, 64)
		if err != nil || n < 0 || n > maxAnswerBytes {
			return nil, fmt.Errorf("%s must end with a number of bytes up to %d", prefix, maxAnswerBytes)
		}
		a.length, a.chunked, a.body = n, chunked, pattern(a.requestID)
		return a, a.sum()
	}
	text, err := json.Marshal(Echo{s.cfg.ID, a.requestID, r.Method, r.URL.Path, body.bytes, body.sha256})
	if err != nil {
		return nil, err
	}
	a.kind, a.length = "application/json", int64(len(text))
	a.body = func(w io.Writer, n int64) error { _, err := w.Write(text[:n]); return err }
	return a, a.sum()
}

// pattern returns a body that differs between requests.
func pattern(requestID string) func(io.Writer, int64) error {
	digest := sha256.Sum256([]byte(requestID))
	block := bytes.Repeat(digest[:], 1<<10)
	return func(w io.Writer, n int64) error {
		for n > 0 {
			part := block[:min(n, int64(len(block)))]
			if _, err := w.Write(part); err != nil {
				return err
			}
			n -= int64(len(part))
		}
		return nil
	}
}

func (a *answer) sum() error {
	h := sha256.New()
	if err := a.body(h, a.length); err != nil {
		return err
	}
	a.checksum = hex.EncodeToString(h.Sum(nil))
	return nil
}

// header sets the answer's header, without its framing.
func (a *answer) header(h http.Header, upstream string) {
	h.Set("Content-Type", a.kind)
	h.Set(HeaderRequestID, a.requestID)
	h.Set(HeaderUpstream, upstream)
	h.Set(HeaderChecksum, a.checksum)
}

// answer sends the answer of a request that was run, with its faults.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, body requestBody, fault Control) {
	if fault.failed {
		s.stats.count(outcomeFailed)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.Header().Set(HeaderUpstream, s.cfg.ID)
		http.Error(w, "failed on purpose", fault.Status)
		return
	}
	a, err := s.newAnswer(r, body)
	if err != nil {
		s.stats.count(outcomeFailed)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a, crossed := s.cross(a, fault.crossed)
	switch {
	case fault.Truncate:
		s.stats.count(outcomeTruncated)
		s.sendTruncated(w, a)
	case fault.NoFraming:
		s.stats.count(outcomeNoFraming)
		s.sendRaw(w, a, false)
	case fault.duplicated:
		s.stats.count(outcomeDuplicated)
		s.sendRaw(w, a, true)
	case crossed:
		s.stats.count(outcomeCrossed)
		s.send(w, a, a.length)
	default:
		s.stats.count(outcomeOK)
		s.send(w, a, a.length)
	}
}

// cross returns the answer of the request before when one is asked for, and
// keeps a for the next time.
func (s *Server) cross(a *answer, wanted bool) (*answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.previous
	s.previous = a
	if !wanted || previous == nil || previous.requestID == a.requestID {
		return a, false
	}
	return previous, true
}

func (s *Server) send(w http.ResponseWriter, a *answer, n int64) {
	a.header(w.Header(), s.cfg.ID)
	if !a.chunked {
		w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(http.StatusOK)
	if a.chunked {
		_ = http.NewResponseController(w).Flush() // without it a short body gets a length
	}
	_ = a.body(w, n) // fails only when the client is gone
}

// sendTruncated sends half of the body and closes the connection.
func (s *Server) sendTruncated(w http.ResponseWriter, a *answer) {
	s.send(w, a, a.length/2)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// sendRaw takes the connection over and writes the answer itself: twice with a
// length, or once without framing. The connection is closed afterwards; one
// with a duplicate stays open for a while, as a client may have kept it.
func (s *Server) sendRaw(w http.ResponseWriter, a *answer, duplicate bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	err = s.writeRaw(conn, a, duplicate)
	if err != nil || !duplicate {
		conn.Close()
		return
	}
	time.AfterFunc(lateDuplicateDelay, func() {
		defer conn.Close()
		if s.writeRaw(conn, a, true) == nil {
			waitForClose(conn)
		}
	})
}

func (s *Server) writeRaw(conn net.Conn, a *answer, framed bool) error {
	h := http.Header{}
	a.header(h, s.cfg.ID)
	if framed {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	b := bufio.NewWriter(conn)
	fmt.Fprintf(b, "HTTP/1.1 200 OK\r\n")
	if err := h.Write(b); err != nil {
		return err
	}
	fmt.Fprintf(b, "\r\n")
	if err := a.body(b, a.length); err != nil {
		return err
	}
	return b.Flush()
}

// waitForClose reads until the client closes the connection, for a limited
// time. Requests that arrive are never run.
func waitForClose(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(hijackedTime))
	_, _ = io.Copy(io.Discard, conn)
}
