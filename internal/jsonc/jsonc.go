// Package jsonc reads JSON with comments strictly: unknown fields, duplicate
// fields, nulls and values of the wrong type are mistakes. A reading goes on
// after a mistake, so that all of a text's mistakes are reported at once, each
// with its line and field path such as "upstreams[3].address".
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

// maxDepth bounds the nesting of a text. The parser is recursive, and a text of
// half a megabyte of opening brackets would take several hundred megabytes of
// stack. Documents and settings nest four levels deep.
const maxDepth = 32

// Source is a text that has been read, with the line of each field and the
// mistakes found so far.
type Source struct {
	name     string
	lines    map[string]int
	bad      map[string]bool // fields with a mistake
	problems []Problem
}

// Read decodes text into the struct that into points to. Fields are matched by
// their json tags. The name is used in problems and is usually a file name.
// Mistakes are kept in the returned Source; see Err.
func Read(name string, text []byte, into any) *Source {
	s := &Source{name: name, lines: map[string]int{"": 1}, bad: map[string]bool{}}
	if line := tooDeep(text); line > 0 {
		s.add(line, "", fmt.Sprintf("nested more than %d levels deep", maxDepth))
		return s
	}
	value, err := hujson.Parse(text)
	if err != nil {
		s.addSyntax(err)
		return s
	}
	r := reader{source: s, lineEnds: lineEnds(text)}
	r.value("", &value, reflect.ValueOf(into).Elem())
	return s
}

// Add adds problems that were found after reading. Their file and line are
// filled in from the field. A problem of a field that already has one is
// dropped, because it usually follows from the first.
func (s *Source) Add(problems ...Problem) {
	for _, p := range problems {
		if s.badField(p.Field) {
			continue
		}
		s.add(s.Line(p.Field), p.Field, p.Message)
	}
}

// badField reports whether the field or one that contains it has a problem.
func (s *Source) badField(field string) bool {
	for {
		if s.bad[field] {
			return true
		}
		if field == "" {
			return false
		}
		field = parent(field)
	}
}

// Line returns the line of a field, or that of the nearest field around it
// when the field is absent.
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

// Err returns all problems as an *Error in the order of their lines, or nil
// when there are none.
func (s *Source) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	return newError(s.problems)
}

func (s *Source) add(line int, field, message string) {
	if field != "" {
		s.bad[field] = true
	}
	s.problems = append(s.problems, Problem{File: s.name, Line: line, Field: field, Message: message})
}

var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// addSyntax adds an error of hujson, which gives the line only in its message.
func (s *Source) addSyntax(err error) {
	line, message := 1, err.Error()
	if m := syntaxError.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1])
		message = fmt.Sprintf("column %s: %s", m[2], m[3])
	}
	s.add(line, "", message)
	s.bad[""] = true // nothing was decoded, so all that is missing follows from this
}

// parent returns the path of the field around field.
func parent(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

// reader decodes one text.
type reader struct {
	source   *Source
	lineEnds []int // offsets of line feeds
}

// lineEnds is computed once: counting line feeds for each field would take
// time quadratic in the length of a text.
func lineEnds(text []byte) []int {
	var ends []int
	for i, b := range text {
		if b == '\n' {
			ends = append(ends, i)
		}
	}
	return ends
}

func (r *reader) line(offset int) int { return 1 + sort.SearchInts(r.lineEnds, offset) }

func (r *reader) fail(v *hujson.Value, path, format string, args ...any) {
	r.source.add(r.line(v.StartOffset), path, fmt.Sprintf(format, args...))
}

func (r *reader) value(path string, v *hujson.Value, into reflect.Value) {
	r.source.lines[path] = r.line(v.StartOffset)
	switch value := v.Value.(type) {
	case *hujson.Object:
		switch {
		case into.Kind() == reflect.Struct:
			r.object(path, value, into)
		case into.Kind() == reflect.Pointer && into.Type().Elem().Kind() == reflect.Struct:
			into.Set(reflect.New(into.Type().Elem()))
			r.object(path, value, into.Elem())
		case into.Kind() == reflect.Map:
			r.table(path, value, into)
		default:
			r.fail(v, path, "is an object, want %s", describe(into.Type()))
		}
	case *hujson.Array:
		if into.Kind() != reflect.Slice {
			r.fail(v, path, "is an array, want %s", describe(into.Type()))
			return
		}
		r.array(path, value, into)
	case hujson.Literal:
		r.literal(path, v, value, into)
	}
}

func (r *reader) object(path string, object *hujson.Object, into reflect.Value) {
	fields := fieldsByTag(into)
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		fieldPath := join(path, name)
		field, known := fields[name]
		switch {
		case !known:
			r.fail(&m.Name, fieldPath, "unknown field")
		case seen[name]:
			r.fail(&m.Name, fieldPath, "duplicate field, first on line %d", r.source.lines[fieldPath])
		default:
			seen[name] = true
			r.value(fieldPath, &m.Value, field)
		}
	}
}

// table reads an object with arbitrary names into a map with string keys.
func (r *reader) table(path string, object *hujson.Object, into reflect.Value) {
	into.Set(reflect.MakeMapWithSize(into.Type(), len(object.Members)))
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		fieldPath := join(path, name)
		if into.MapIndex(reflect.ValueOf(name)).IsValid() {
			r.fail(&m.Name, fieldPath, "duplicate field, first on line %d", r.source.lines[fieldPath])
			continue
		}
		element := reflect.New(into.Type().Elem()).Elem()
		r.value(fieldPath, &m.Value, element)
		into.SetMapIndex(reflect.ValueOf(name), element)
	}
}

func (r *reader) array(path string, array *hujson.Array, into reflect.Value) {
	slice := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		r.value(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], slice.Index(i))
	}
	into.Set(slice)
}

func (r *reader) literal(path string, v *hujson.Value, literal hujson.Literal, into reflect.Value) {
	kind := literal.Kind()
	if kind == 'n' {
		r.fail(v, path, "is null, want %s", describe(into.Type()))
		return
	}
	if err := json.Unmarshal(literal, into.Addr().Interface()); err != nil {
		r.fail(v, path, "is %s, want %s", shorten(string(literal)), describe(into.Type()))
	}
}

// shorten keeps a long value from filling the operator's screen.
func shorten(literal string) string {
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

// describe names a type as the author of a text knows it.
func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return describe(t.Elem())
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
