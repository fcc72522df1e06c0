package jsonc

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is an error in a text.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`            // first line is 1; 0 if unknown
	Field   string `json:"field,omitempty"` // path, empty for the whole text
	Message string `json:"message"`
}

// String returns the problem as "file:line: field: message".
func (p Problem) String() string {
	message := p.Message
	if p.Field != "" {
		message = p.Field + ": " + message
	}
	if p.File == "" {
		return message
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, message)
}

// Problems collects the problems found by a validation.
type Problems []Problem

// Add adds a problem of a field.
func (p *Problems) Add(field, format string, args ...any) {
	*p = append(*p, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

// Error contains all problems of a text, ordered by line.
type Error struct {
	Problems []Problem
}

func newError(problems []Problem) *Error {
	sorted := slices.Clone(problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return a.Line - b.Line })
	return &Error{Problems: sorted}
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
