package faultproxy

import (
	"encoding/json"
	"net/http"
)

// Handler returns the handler for GET and POST /control. A POST replaces all
// faults with those in its body.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) { p.writeStatus(w) })
	mux.HandleFunc("POST /control", p.postControl)
	return mux
}

func (p *Proxy) postControl(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	d.DisallowUnknownFields()
	var c Control
	if err := d.Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.SetControl(c); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	p.writeStatus(w)
}

func (p *Proxy) writeStatus(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Status()) // fails only if the client has disconnected
}
