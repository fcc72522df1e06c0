package platform

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/document"
	"knapweedreel/internal/store"
)

// DocumentPrefix is the prefix of the store keys of documents.
const DocumentPrefix = "documents/"

// ErrTooLarge means that a document does not fit in a value of the store.
var ErrTooLarge = errors.New("platform: document is too large for the store")

func documentKey(service string) string { return DocumentPrefix + service }

// EncodeEnvelope encodes an envelope for the store, as JSON of at most
// store.MaxValueBytes. It drops the oldest changes if the result would be larger.
// It returns ErrTooLarge if the text with its latest change does not fit.
func EncodeEnvelope(e document.Envelope) ([]byte, error) {
	for {
		var b bytes.Buffer
		enc := json.NewEncoder(&b)
		enc.SetEscapeHTML(false)
		if err := enc.Encode(e); err != nil {
			return nil, errors.Wrap(err, "encode envelope")
		}
		if b.Len() <= store.MaxValueBytes {
			return b.Bytes(), nil
		}
		if len(e.History) <= 1 {
			return nil, errors.Wrapf(ErrTooLarge, "%d bytes, limit %d", b.Len(), store.MaxValueBytes)
		}
		e.History = e.History[1:]
	}
}

// DecodeEnvelope decodes the value of a store key. For an absent key it returns
// an envelope with revision 0.
func DecodeEnvelope(key string, v store.Value) (document.Envelope, error) {
	service := strings.TrimPrefix(key, DocumentPrefix)
	if v.Version == 0 {
		return document.Envelope{Service: service}, nil
	}
	var e document.Envelope
	if err := json.Unmarshal(v.Data, &e); err != nil {
		return document.Envelope{}, errors.Wrapf(err, "decode %s", key)
	}
	if e.Service != service || e.Revision == 0 {
		return document.Envelope{}, errors.Newf("%s contains service %q at revision %d", key, e.Service, e.Revision)
	}
	return e, nil
}
