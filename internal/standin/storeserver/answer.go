package storeserver

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// minCompressed is the size from which an answer is compressed.
const minCompressed = 4 << 10

// writeAnswer writes the answer to a call, compressed if the client accepts it.
func writeAnswer(w http.ResponseWriter, r *http.Request, answer any) {
	data, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	if len(data) >= minCompressed && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		data = compressed(data)
		h.Set("Content-Encoding", "gzip")
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func compressed(data []byte) []byte {
	var b bytes.Buffer
	gz, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed) // fails for unknown levels only
	_, _ = gz.Write(data)                            // a bytes.Buffer takes all
	_ = gz.Close()
	return b.Bytes()
}
