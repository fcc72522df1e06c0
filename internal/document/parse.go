package document

import (
	"fmt"

	"knapweedreel/internal/jsonc"
)

// MaxTextBytes is the largest text of a document. With its history it has to
// fit into one value of the platform's store, which is at most 1 MB.
const MaxTextBytes = 512 << 10

// Parse reads, completes and validates the text of a document. The name, such
// as a file name, is used in problems. The error is a *jsonc.Error that holds
// every mistake of the text.
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
