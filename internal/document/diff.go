package document

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// key returns the key by which Diff matches an upstream.
func (u Upstream) key() string { return u.ID }

// key returns the key by which Diff matches a route.
func (r Route) key() string { return r.Method + " " + r.Path }

// keyed is a list element that is matched by key, not by position.
type keyed interface{ key() string }

// Diff returns the changes from one document to another, one line per change
// with the path of the field. Upstreams are matched by ID, routes by method and
// path. A nil document stands for an absent one.
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
	oldByKey, oldKeys := indexByKey(old)
	newByKey, newKeys := indexByKey(updated)
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

func indexByKey(list reflect.Value) (map[string]reflect.Value, []string) {
	byKey := make(map[string]reflect.Value, list.Len())
	var keys []string
	for i := range list.Len() {
		k := list.Index(i).Interface().(keyed).key()
		byKey[k] = list.Index(i)
		keys = append(keys, k)
	}
	return byKey, keys
}

// reordered reports whether the keys that are in both lists have a different
// order. The order of routes is significant: the first match applies.
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

// encode returns a value in the syntax of a document.
func encode(v reflect.Value) string {
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface()) // not reached for the types of a document
	}
	return string(text)
}
