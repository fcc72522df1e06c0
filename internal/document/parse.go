package document

import (
	"fmt"

	"knapweedreel/internal/jsonc"
)

// MaxTextBytes is the maximum size of a document's text. The text and its
// history must fit into one value of the platform's store, at most 1 MB.
const MaxTextBytes = 512 << 10

// Parse decodes the text of a document, fills in defaults and validates the
// result. The name, such as a file name, is used in problems. The error is a
// *jsonc.Error with all problems of the text.
func Parse(name string, text []byte) (*Document, error) {
	if len(text) > MaxTextBytes {
		message := fmt.Sprintf("is %d bytes long, at most %d are allowed", len(text), MaxTextBytes)
		return nil, &jsonc.Error{Problems: []jsonc.Problem{{File: name, Line: 1, Message: message}}}
	}
	d := new(Document)
	source := jsonc.Read(name, text, d)
	d.Normalize()
	source.Add(d.Validate()...)
	if err := source.Err(); err != nil {
		return nil, err
	}
	return d, nil
}
