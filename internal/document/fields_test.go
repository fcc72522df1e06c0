package document

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"knapweedreel/internal/jsonc"
)

// visitLeaves calls visit for each field of a document that contains no other
// field. Paths have the same form as those of Validate.
func visitLeaves(path string, v reflect.Value, visit func(string, reflect.Value)) {
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			visitLeaves(strings.TrimPrefix(path+"."+name, "."), v.Field(i), visit)
		}
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		for i := range v.Len() {
			visitLeaves(fmt.Sprintf("%s[%d]", path, i), v.Index(i), visit)
		}
	case v.Kind() == reflect.Pointer:
		visitLeaves(path, v.Elem(), visit)
	default:
		visit(path, v)
	}
}

// modify changes the value of a field.
func modify(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + 1)
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	case reflect.Slice:
		v.Set(reflect.Append(v, reflect.Zero(v.Type().Elem())))
	}
}

// Guards against a field, such as one added later, whose changes are not
// reported.
func TestDiffReportsEachField(t *testing.T) {
	fields := 0
	visitLeaves("", reflect.ValueOf(parseValid(t)).Elem(), func(string, reflect.Value) { fields++ })
	for n := range fields {
		updated, i, changed := parseValid(t), 0, ""
		visitLeaves("", reflect.ValueOf(updated).Elem(), func(path string, v reflect.Value) {
			if i == n {
				modify(v)
				changed = path
			}
			i++
		})
		if lines := Diff(parseValid(t), updated); len(lines) == 0 {
			t.Errorf("the change of %s is not reported", changed)
		}
	}
}

// Guards against a number, such as one added later, that is not validated.
func TestValidateRejectsEachNegativeNumber(t *testing.T) {
	fields := 0
	visitLeaves("", reflect.ValueOf(parseValid(t)).Elem(), func(string, reflect.Value) { fields++ })
	for n := range fields {
		d, i, changed := parseValid(t), 0, ""
		visitLeaves("", reflect.ValueOf(d).Elem(), func(path string, v reflect.Value) {
			if i == n && v.CanInt() {
				v.SetInt(-1)
				changed = path
			}
			if i == n && v.CanFloat() {
				v.SetFloat(-1)
				changed = path
			}
			i++
		})
		if changed != "" && !hasProblem(d.Validate(), changed) {
			t.Errorf("-1 in %s is accepted", changed)
		}
	}
}

func hasProblem(problems []jsonc.Problem, field string) bool {
	for _, p := range problems {
		if p.Field == field {
			return true
		}
	}
	return false
}
