package gossip

// This file tells beliefs of an instance that doesn't know all that this one does.
//
// Beliefs are passed on as the sender's build understands them. A field that it doesn't know is
// left out, which is not the same as a field that says "none": a route without home regions may
// be served anywhere. JSON of this repository's builds writes each field that it knows, also empty
// ones, so that a missing name tells.

import (
	"bytes"
	"encoding/json"
	"reflect"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"ivyridge/belief"
	"ivyridge/catalog"
)

// ErrOlder says that another instance is of a build that doesn't know a field of what this one
// believes: it has nothing to tell here.
var ErrOlder = errors.New("an instance of an older build")

// schema names the fields that this build knows. Beliefs of a sender with the same need no look.
var schema = sync.OnceValue(func() uint64 {
	var names []string
	listFields(reflect.TypeFor[catalog.Document](), "", &names)
	listFields(reflect.TypeFor[belief.Record](), "", &names)
	sort.Strings(names)
	return xxhash.Sum64String(strings.Join(names, " "))
})

// listFields appends the paths of a type's fields.
func listFields(t reflect.Type, path string, names *[]string) {
	if t = element(t); t.Kind() != reflect.Struct {
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

// element returns what a pointer or a slice is of.
func element(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

// complete returns ErrOlder, with the field, if data lacks a field of t. Of a list the first
// element is looked at: one build has written all.
func complete(data []byte, t reflect.Type) error {
	data = first(data)
	if t = element(t); t.Kind() != reflect.Struct || data == nil || data[0] != '{' {
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
		value, told := fields[f.Name]
		if !told {
			return errors.Wrapf(ErrOlder, "%s.%s is not known there", t.Name(), f.Name)
		}
		if err := complete(value, f.Type); err != nil {
			return err
		}
	}
	return nil
}

// first returns the first element of a list, nil if it is empty, and data if it is none.
func first(data []byte) []byte {
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
