package settings

import (
	"reflect"
	"slices"
	"strings"
)

// Diff returns the paths of the fields in which two settings differ, except
// those in ignore.
func Diff(a, b Settings, ignore ...string) []string {
	var paths []string
	diff("", reflect.ValueOf(a), reflect.ValueOf(b), &paths)
	return slices.DeleteFunc(paths, func(p string) bool { return slices.Contains(ignore, p) })
}

func diff(path string, a, b reflect.Value, paths *[]string) {
	if a.Kind() == reflect.Pointer && !a.IsNil() && !b.IsNil() {
		a, b = a.Elem(), b.Elem()
	}
	if a.Kind() != reflect.Struct {
		if !reflect.DeepEqual(a.Interface(), b.Interface()) {
			*paths = append(*paths, strings.TrimPrefix(path, "."))
		}
		return
	}
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		diff(path+"."+name, a.Field(i), b.Field(i), paths)
	}
}
