package yamlfile

// This file flattens decoded files for comparison field by field.

import (
	"fmt"
	"reflect"
	"strings"
)

// Flatten returns the values of v, a struct that Decode fills or a pointer to one, as text by
// field path, such as "listen.gossip": "7020". A list is one value. Positions are omitted.
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

// text formats a value. A struct, as a list item, lists its fields in braces.
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
