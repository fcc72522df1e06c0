package httpstore

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/store"
)

// decodeItems decodes an ItemsResponse item by item. The complete body and all
// decoded values of a large list would not fit into an instance's memory
// together.
func decodeItems(r io.Reader) ([]store.KeyValue, uint64, error) {
	kvs := []store.KeyValue{}
	var index uint64
	err := decodeFields(json.NewDecoder(r), func(d *json.Decoder, field string) error {
		switch field {
		case "items":
			return decodeArray(d, func(it Item) {
				kvs = append(kvs, store.KeyValue{Key: it.Key, Value: store.Value{Data: it.Data, Version: it.Version}})
			})
		case "index":
			return d.Decode(&index)
		default:
			return skipValue(d)
		}
	})
	return kvs, index, err
}

func decodeFields(d *json.Decoder, field func(d *json.Decoder, name string) error) error {
	if err := expectDelim(d, '{'); err != nil {
		return err
	}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return err
		}
		name, ok := t.(string)
		if !ok {
			return errors.Newf("unexpected token %v", t)
		}
		if err := field(d, name); err != nil {
			return errors.Wrapf(err, "field %s", name)
		}
	}
	return expectDelim(d, '}')
}

func decodeArray[T any](d *json.Decoder, element func(T)) error {
	if err := expectDelim(d, '['); err != nil {
		return err
	}
	for d.More() {
		var e T
		if err := d.Decode(&e); err != nil {
			return err
		}
		element(e)
	}
	return expectDelim(d, ']')
}

func expectDelim(d *json.Decoder, want json.Delim) error {
	t, err := d.Token()
	if err != nil {
		return err
	}
	if t != want {
		return errors.Newf("got %v, want %v", t, want)
	}
	return nil
}

func skipValue(d *json.Decoder) error {
	var ignored json.RawMessage
	return d.Decode(&ignored)
}
