// Package jsonc is a strict decoder of JSON with comments. Unknown fields,
// duplicate fields, nulls and values of the wrong type are problems. Decoding
// continues after a problem, so that all problems of a text are reported at
// once, each with its line and field path, such as "upstreams[3].address".
package jsonc

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxDepth is the maximum nesting depth. The parser is recursive, and half a
// megabyte of opening brackets would take several hundred megabytes of stack.
// Documents and settings have at most four levels.
const maxDepth = 32

// Source is a decoded text with the line of each field and the problems found so
// far.
type Source struct {
	name     string
	lines    map[string]int
	invalid  map[string]bool // fields with a problem
	problems []Problem
}

// Read decodes text into the struct that target points to. Fields are matched by
// their json tags. The name is used in problems and is usually a file name. The
// problems are in the returned Source; see Err.
func Read(name string, text []byte, target any) *Source {
	s := &Source{name: name, lines: map[string]int{"": 1}, invalid: map[string]bool{}}
	if line := excessDepthLine(text); line > 0 {
		s.add(line, "", fmt.Sprintf("nested more than %d levels deep", maxDepth))
		return s
	}
	value, err := hujson.Parse(text)
	if err != nil {
		s.addSyntax(err)
		return s
	}
	d := decoder{source: s, lineEnds: lineEnds(text)}
	d.decodeValue("", &value, reflect.ValueOf(target).Elem())
	return s
}

// Add adds problems that were found after decoding, and fills in their file and
// line. A problem of a field that already has one is dropped, because it is
// usually a consequence of the first.
func (s *Source) Add(problems ...Problem) {
	for _, p := range problems {
		if s.hasProblem(p.Field) {
			continue
		}
		s.add(s.Line(p.Field), p.Field, p.Message)
	}
}

// hasProblem reports whether the field or an enclosing one has a problem.
func (s *Source) hasProblem(field string) bool {
	for {
		if s.invalid[field] {
			return true
		}
		if field == "" {
			return false
		}
		field = parent(field)
	}
}

// Line returns the line of a field. If the field is absent, it returns the line
// of the innermost enclosing field.
func (s *Source) Line(field string) int {
	for {
		if line, ok := s.lines[field]; ok {
			return line
		}
		if field == "" {
			return 1
		}
		field = parent(field)
	}
}

// Err returns all problems as an *Error ordered by line, or nil if there are
// none.
func (s *Source) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	return newError(s.problems)
}

func (s *Source) add(line int, field, message string) {
	if field != "" {
		s.invalid[field] = true
	}
	s.problems = append(s.problems, Problem{File: s.name, Line: line, Field: field, Message: message})
}

var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// addSyntax adds an error of hujson, which contains the line only in its
// message.
func (s *Source) addSyntax(err error) {
	line, message := 1, err.Error()
	if m := syntaxError.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1])
		message = fmt.Sprintf("column %s: %s", m[2], m[3])
	}
	s.add(line, "", message)
	s.invalid[""] = true // nothing was decoded, so missing fields are consequences
}

// parent returns the path of the enclosing field.
func parent(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

// decoder decodes one text.
type decoder struct {
	source   *Source
	lineEnds []int // offsets of line feeds
}

// lineEnds returns the offsets of all line feeds. It is called once per text:
// counting line feeds for each field would take quadratic time.
func lineEnds(text []byte) []int {
	var ends []int
	for i, b := range text {
		if b == '\n' {
			ends = append(ends, i)
		}
	}
	return ends
}

func (d *decoder) line(offset int) int { return 1 + sort.SearchInts(d.lineEnds, offset) }

func (d *decoder) addProblem(v *hujson.Value, path, format string, args ...any) {
	d.source.add(d.line(v.StartOffset), path, fmt.Sprintf(format, args...))
}

func (d *decoder) decodeValue(path string, v *hujson.Value, target reflect.Value) {
	d.source.lines[path] = d.line(v.StartOffset)
	switch value := v.Value.(type) {
	case *hujson.Object:
		switch {
		case target.Kind() == reflect.Struct:
			d.decodeObject(path, value, target)
		case target.Kind() == reflect.Pointer && target.Type().Elem().Kind() == reflect.Struct:
			target.Set(reflect.New(target.Type().Elem()))
			d.decodeObject(path, value, target.Elem())
		case target.Kind() == reflect.Map:
			d.decodeMap(path, value, target)
		default:
			d.addProblem(v, path, "is an object, want %s", describeType(target.Type()))
		}
	case *hujson.Array:
		if target.Kind() != reflect.Slice {
			d.addProblem(v, path, "is an array, want %s", describeType(target.Type()))
			return
		}
		d.decodeArray(path, value, target)
	case hujson.Literal:
		d.decodeLiteral(path, v, value, target)
	}
}

func (d *decoder) decodeObject(path string, object *hujson.Object, target reflect.Value) {
	fields := fieldsByTag(target)
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		fieldPath := join(path, name)
		field, known := fields[name]
		switch {
		case !known:
			d.addProblem(&m.Name, fieldPath, "unknown field")
		case seen[name]:
			d.addProblem(&m.Name, fieldPath, "duplicate field, first on line %d", d.source.lines[fieldPath])
		default:
			seen[name] = true
			d.decodeValue(fieldPath, &m.Value, field)
		}
	}
}

// decodeMap decodes an object with arbitrary names into a map with string keys.
func (d *decoder) decodeMap(path string, object *hujson.Object, target reflect.Value) {
	target.Set(reflect.MakeMapWithSize(target.Type(), len(object.Members)))
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		fieldPath := join(path, name)
		if target.MapIndex(reflect.ValueOf(name)).IsValid() {
			d.addProblem(&m.Name, fieldPath, "duplicate field, first on line %d", d.source.lines[fieldPath])
			continue
		}
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(fieldPath, &m.Value, element)
		target.SetMapIndex(reflect.ValueOf(name), element)
	}
}

func (d *decoder) decodeArray(path string, array *hujson.Array, target reflect.Value) {
	slice := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], slice.Index(i))
	}
	target.Set(slice)
}

func (d *decoder) decodeLiteral(path string, v *hujson.Value, literal hujson.Literal, target reflect.Value) {
	kind := literal.Kind()
	if kind == 'n' {
		d.addProblem(v, path, "is null, want %s", describeType(target.Type()))
		return
	}
	if err := json.Unmarshal(literal, target.Addr().Interface()); err != nil {
		d.addProblem(v, path, "is %s, want %s", abbreviate(string(literal)), describeType(target.Type()))
	}
}

// abbreviate shortens a long value for a message.
func abbreviate(literal string) string {
	const limit = 60 // bytes
	if len(literal) <= limit {
		return literal
	}
	return strings.ToValidUTF8(literal[:limit], "") + "..."
}

func fieldsByTag(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = v.Field(i)
	}
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// describeType returns the name of a type in the terms of JSON.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return describeType(t.Elem())
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
