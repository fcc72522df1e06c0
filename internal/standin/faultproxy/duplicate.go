package faultproxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
)

// maxAnswerBytes is the largest answer that is duplicated.
const maxAnswerBytes = 1 << 20

// duplicate returns what to send again after data. Over TCP this is a whole
// HTTP answer: repeating a part of one would corrupt its body, which TCP does
// not do and no client could notice. The caller holds mu.
func (p *Proxy) duplicate(c *connection, d direction, data []byte) []byte {
	switch {
	case !p.control.DuplicateAnswers || d == toTarget:
		c.answer = nil // a request begins, or the fault has ended
		return nil
	case p.cfg.Network == UDP:
		return data
	case len(c.answer)+len(data) > maxAnswerBytes:
		c.answer = make([]byte, maxAnswerBytes+1) // too large until the next request
		return nil
	}
	c.answer = append(c.answer, data...)
	if !isWholeAnswer(c.answer) {
		return nil
	}
	whole := c.answer
	c.answer = nil
	return whole
}

// isWholeAnswer reports whether data is exactly one HTTP answer whose end does
// not depend on the connection's.
func isWholeAnswer(data []byte) bool {
	rest := bytes.NewReader(data)
	buffered := bufio.NewReader(rest)
	answer, err := http.ReadResponse(buffered, nil)
	if err != nil || answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		return false
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return false
	}
	return buffered.Buffered() == 0 && rest.Len() == 0
}
