package document

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// key identifies an upstream in a comparison of documents.
func (u Upstream) key() string { return u.ID }

// key identifies a route in a comparison of documents.
func (r Route) key() string { return r.Method + " " + r.Path }

// keyed is an element of a list that is matched by key, not by position.
type keyed interface{ key() string }

// Diff returns the changes from one document to another, one line for each
// with the path of its field. Upstreams are matched by id, routes by method
// and path. A nil document counts as absent.
func Diff(old, updated *Document) []string {
	switch {
	case old == nil && updated == nil:
		return nil
	case old == nil:
		return []string{fmt.Sprintf("document created: service %s, %d upstreams, %d routes", updated.Service, len(updated.Upstreams), len(updated.Routes))}
	case updated == nil:
		return []string{"document removed"}
	}
	return diffStruct("", reflect.ValueOf(*old), reflect.ValueOf(*updated))
}

func diffStruct(prefix string, old, updated reflect.Value) []string {
	var lines []string
	for i := range old.NumField() {
		name, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("json"), ",")
		lines = append(lines, diffField(prefix+name, old.Field(i), updated.Field(i))...)
	}
	return lines
}

func diffField(path string, old, updated reflect.Value) []string {
	t := old.Type()
	if t.Kind() == reflect.Struct {
		return diffStruct(path+".", old, updated)
	}
	if t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct {
		return diffList(path, old, updated)
	}
	before, after := encode(old), encode(updated)
	if before == after {
		return nil
	}
	return []string{fmt.Sprintf("%s: %s -> %s", path, before, after)}
}

// diffList compares lists whose elements are keyed.
func diffList(path string, old, updated reflect.Value) []string {
	oldByKey, oldKeys := index(old)
	newByKey, newKeys := index(updated)
	var lines []string
	for _, k := range oldKeys {
		if _, ok := newByKey[k]; !ok {
			lines = append(lines, fmt.Sprintf("%s[%s]: removed", path, k))
		}
	}
	for _, k := range newKeys {
		before, ok := oldByKey[k]
		if !ok {
			lines = append(lines, fmt.Sprintf("%s[%s]: added %s", path, k, encode(newByKey[k])))
			continue
		}
		lines = append(lines, diffStruct(fmt.Sprintf("%s[%s].", path, k), before, newByKey[k])...)
	}
	if reordered(oldKeys, newKeys, oldByKey, newByKey) {
		lines = append(lines, path+": order changed")
	}
	return lines
}

func index(list reflect.Value) (map[string]reflect.Value, []string) {
	byKey := make(map[string]reflect.Value, list.Len())
	var keys []string
	for i := range list.Len() {
		k := list.Index(i).Interface().(keyed).key()
		byKey[k] = list.Index(i)
		keys = append(keys, k)
	}
	return byKey, keys
}

// reordered reports whether the keys that both lists have come in another
// order. The order of routes decides which one matches.
func reordered(oldKeys, newKeys []string, oldByKey, newByKey map[string]reflect.Value) bool {
	common := func(keys []string, other map[string]reflect.Value) string {
		var both []string
		for _, k := range keys {
			if _, ok := other[k]; ok {
				both = append(both, k)
			}
		}
		return strings.Join(both, "\n")
	}
	return common(oldKeys, newByKey) != common(newKeys, oldByKey)
}

// encode returns a value as it stands in a document.
func encode(v reflect.Value) string {
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface()) // no type of a document gets here
	}
	return string(text)
}
