package gossip

// This file detects state from an instance whose build lacks fields that this build knows.
//
// Instances drop unknown fields from the state that they forward, and a dropped field differs from
// an empty one: a route without home regions may be served anywhere. The JSON encoding writes
// empty fields too, so a missing name shows that the sender doesn't know the field.

import (
	"bytes"
	"encoding/json"
	"reflect"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"ivyridge/catalog"
	"ivyridge/discovery"
)

// ErrOldBuild is returned if state comes from an instance whose build lacks a field that this build
// knows. Such state must not be used.
var ErrOldBuild = errors.New("sender runs an older build")

// schema returns a hash of the field names of this build. State with the same hash needs no check.
var schema = sync.OnceValue(func() uint64 {
	var names []string
	listFields(reflect.TypeFor[catalog.Document](), "", &names)
	listFields(reflect.TypeFor[discovery.Record](), "", &names)
	sort.Strings(names)
	return xxhash.Sum64String(strings.Join(names, " "))
})

// listFields appends the paths of t's exported fields, below path, to names.
func listFields(t reflect.Type, path string, names *[]string) {
	if t = elementType(t); t.Kind() != reflect.Struct {
		return
	}
	for _, f := range reflect.VisibleFields(t) {
		if f.Anonymous || !f.IsExported() {
			continue
		}
		*names = append(*names, path+"."+f.Name)
		listFields(f.Type, path+"."+f.Name, names)
	}
}

// elementType strips pointers and slices from t.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

// checkComplete returns ErrOldBuild, wrapped with the field name, if data lacks a field of t. Of a
// list only the first element is checked, since one build has written them all.
func checkComplete(data []byte, t reflect.Type) error {
	data = firstElement(data)
	if t = elementType(t); t.Kind() != reflect.Struct || data == nil || data[0] != '{' {
		return nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return errors.Wrap(err, "relay")
	}
	for _, f := range reflect.VisibleFields(t) {
		if f.Anonymous || !f.IsExported() {
			continue
		}
		value, present := fields[f.Name]
		if !present {
			return errors.Wrapf(ErrOldBuild, "field %s.%s is missing", t.Name(), f.Name)
		}
		if err := checkComplete(value, f.Type); err != nil {
			return err
		}
	}
	return nil
}

// firstElement returns the first element of a JSON array, if any, or data if it isn't an array.
func firstElement(data []byte) []byte {
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return nil
	}
	if data[0] != '[' {
		return data
	}
	list := json.NewDecoder(bytes.NewReader(data))
	if _, err := list.Token(); err != nil || !list.More() {
		return nil
	}
	var element json.RawMessage
	if list.Decode(&element) != nil {
		return nil
	}
	return element
}
