package jsonc

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

type item struct {
	ID    string `json:"id"`
	Slots int    `json:"slots"`
}

type sample struct {
	Name  string   `json:"name"`
	Items []item   `json:"items"`
	Inner item     `json:"inner"`
	Share *float64 `json:"share,omitempty"`
	On    bool     `json:"on"`
}

// Guards against a problem that hides another, and against wrong lines.
func TestReadReportsEveryProblemWithLineAndField(t *testing.T) {
	text := `{
  // comment with a bracket [
  "name": 5,
  "items": [{"id": "a", "slots": "six"}, {"ID": "b"}, 7],
  "inner": [],
  "name": "x",
  "on": null,
  "share": 0.5, "extra": {"deep": [1]},
}`
	var got sample
	err := Read("f.jsonc", []byte(text), &got).Err()
	want := strings.Join([]string{
		`f.jsonc:3: name: is 5, want a string`,
		`f.jsonc:4: items[0].slots: is "six", want a whole number`,
		`f.jsonc:4: items[1].ID: unknown field`,
		`f.jsonc:4: items[2]: is 7, want an object`,
		`f.jsonc:5: inner: is an array, want an object`,
		`f.jsonc:6: name: duplicate field, first on line 3`,
		`f.jsonc:7: on: is null, want true or false`,
		`f.jsonc:8: extra: unknown field`,
	}, "\n")
	if err == nil {
		t.Fatal("no error")
	}
	if diff := cmp.Diff(want, err.Error()); diff != "" {
		t.Error(diff)
	}
}

// Guards against values that are not decoded.
func TestReadDecodesAllKinds(t *testing.T) {
	var got sample
	text := `{"name": "n", "items": [{"id": "a", "slots": 2}], "inner": {"id": "i"}, "share": 0.25, "on": true}`
	if err := Read("f", []byte(text), &got).Err(); err != nil {
		t.Fatal(err)
	}
	share := 0.25
	want := sample{Name: "n", Items: []item{{"a", 2}}, Inner: item{ID: "i"}, Share: &share, On: true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against an optional object or a map whose content is not decoded, or
// whose problems are not reported.
func TestReadDecodesOptionalObjectsAndMaps(t *testing.T) {
	type outer struct {
		Optional *item             `json:"optional,omitempty"`
		Table    map[string]string `json:"table"`
	}
	var got outer
	if err := Read("f", []byte(`{"optional": {"id": "a"}, "table": {"x": "1", "y": "2"}}`), &got).Err(); err != nil {
		t.Fatal(err)
	}
	want := outer{Optional: &item{ID: "a"}, Table: map[string]string{"x": "1", "y": "2"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	err := Read("f", []byte("{\"optional\": {\"slots\": \"six\"},\n\"table\": {\"x\": 1, \"y\": \"2\", \"y\": \"3\"}}"), &got).Err()
	problems := "f:1: optional.slots: is \"six\", want a whole number\n" +
		"f:2: table.x: is 1, want a string\nf:2: table.y: duplicate field, first on line 2"
	if err == nil || err.Error() != problems {
		t.Errorf("got %v, want %s", err, problems)
	}
}

// Guards against consequential problems that hide the original one, and against
// problems of absent fields without a line.
func TestAddLocatesProblemsAndDropsFollowUps(t *testing.T) {
	var got sample
	s := Read("f", []byte("{\n\"items\": [\n{\"slots\": \"x\"}]}"), &got)
	s.Add(Problem{Field: "items[0].slots", Message: "must be at least 1"}, Problem{Field: "items[0].id", Message: "is missing"})
	want := "f:3: items[0].slots: is \"x\", want a whole number\nf:3: items[0].id: is missing"
	if got := s.Err().Error(); got != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

// Guards against a syntax error without its line, and against reporting the
// fields that are missing as a consequence.
func TestSyntaxErrorIsTheOnlyProblem(t *testing.T) {
	var got sample
	s := Read("f", []byte("{\n\"name\": \"a\"\n\"on\": true}"), &got)
	s.Add(Problem{Field: "inner.id", Message: "is missing"})
	var e *Error
	if !errors.As(s.Err(), &e) || len(e.Problems) != 1 || e.Problems[0].Line != 3 {
		t.Errorf("got %v, want one problem on line 3", s.Err())
	}
}

// Guards against a text whose nesting exhausts the stack.
func TestDeepNestingIsRejected(t *testing.T) {
	var got sample
	err := Read("f", []byte(strings.Repeat("[", 1<<19)), &got).Err()
	if err == nil || !strings.Contains(err.Error(), "levels deep") {
		t.Errorf("got %v", err)
	}
}

// Guards against panics on arbitrary texts.
func TestReadNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.SampledFrom([]string{"{", "}", "[", "]", ",", ":", `"name"`, `"items"`, `"inner"`, "1", "null", "//", "\n", "/*", "*/", `"`, `\`, "é"})).Draw(t, "parts")
		var got sample
		_ = Read("f", []byte(strings.Join(parts, "")), &got).Err()
	})
}
