package faultproxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
)

// maxResponseBytes is the size of the largest response that is duplicated.
const maxResponseBytes = 1 << 20

// duplicate returns what to send again after data, if anything. Over TCP this
// is a complete HTTP response: repeating a part of one would corrupt its body,
// which TCP rules out and no client could detect. The caller holds mu.
func (p *Proxy) duplicate(c *connection, d direction, data []byte) []byte {
	switch {
	case !p.control.DuplicateAnswers || d == toTarget:
		c.response = nil // a new request, or the fault is off
		return nil
	case p.cfg.Network == UDP:
		return data
	case len(c.response)+len(data) > maxResponseBytes:
		c.response = make([]byte, maxResponseBytes+1) // stays above the limit until the next request
		return nil
	}
	c.response = append(c.response, data...)
	if !isCompleteResponse(c.response) {
		return nil
	}
	response := c.response
	c.response = nil
	return response
}

// isCompleteResponse reports whether data is exactly one complete HTTP response
// whose end does not depend on the end of the connection.
func isCompleteResponse(data []byte) bool {
	reader := bytes.NewReader(data)
	buffered := bufio.NewReader(reader)
	resp, err := http.ReadResponse(buffered, nil)
	if err != nil || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false
	}
	return buffered.Buffered() == 0 && reader.Len() == 0
}
