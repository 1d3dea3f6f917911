package yamlfile

// This file lists what a file says, so that two can be compared field by field.

import (
	"fmt"
	"reflect"
	"strings"
)

// Flatten returns the values of v, a struct that Decode fills or a pointer to one, as text by
// the path of their field: "listen.gossip": "7020". Lists are one value; positions are left out.
func Flatten(v any) map[string]string {
	out := make(map[string]string)
	flatten(reflect.Indirect(reflect.ValueOf(v)), "", out)
	return out
}

func flatten(v reflect.Value, path string, out map[string]string) {
	if v.Kind() != reflect.Struct {
		out[path] = text(v)
		return
	}
	for name, field := range fieldsOf(v) {
		if path != "" {
			name = path + "." + name
		}
		flatten(field, name, out)
	}
}

// text returns a value that is not a struct on its own.
func text(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Slice:
		items := make([]string, v.Len())
		for i := range items {
			items[i] = text(v.Index(i))
		}
		return strings.Join(items, ", ")
	case reflect.Struct:
		var parts []string
		for i := range v.NumField() {
			if name := v.Type().Field(i).Tag.Get("yaml"); name != "" {
				parts = append(parts, name+": "+text(v.Field(i)))
			}
		}
		return "{" + strings.Join(parts, ", ") + "}"
	case reflect.Pointer:
		if v.IsNil() {
			return ""
		}
		return text(v.Elem())
	}
	return fmt.Sprint(v.Interface())
}
