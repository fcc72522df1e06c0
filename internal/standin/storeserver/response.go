package storeserver

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// minCompressedBytes is the size from which responses are compressed.
const minCompressedBytes = 4 << 10

// writeResponse writes the response to a call, compressed if the client accepts
// gzip.
func writeResponse(w http.ResponseWriter, r *http.Request, response any) {
	data, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	if len(data) >= minCompressedBytes && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		data = compress(data)
		h.Set("Content-Encoding", "gzip")
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func compress(data []byte) []byte {
	var b bytes.Buffer
	gz, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed) // fails only for unknown levels
	_, _ = gz.Write(data)                            // writes to a bytes.Buffer do not fail
	_ = gz.Close()
	return b.Bytes()
}
