package form

// This file prints a decoded struct: as a list of settings, and as the text of a file that decodes to the same struct.

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Setting is one field with its value in force and its description.
type Setting struct {
	Field, Value, Doc string
	Default           bool // the file does not contain it
}

// Settings returns all fields of a struct, in their order; named reports whether the file contains a field.
func Settings(of any, named func(field string) bool) (all []Setting) {
	var walk func(field string, v reflect.Value)
	walk = func(field string, v reflect.Value) {
		for i := range v.NumField() {
			t := v.Type().Field(i)
			if !t.IsExported() {
				continue
			}
			path := strings.TrimPrefix(field+"."+t.Tag.Get("json"), ".")
			if v.Field(i).Kind() == reflect.Struct {
				walk(path, v.Field(i))
				continue
			}
			value := fmt.Sprint(v.Field(i).Interface())
			if v.Field(i).Kind() == reflect.Slice {
				value = fmt.Sprintf("%q", v.Field(i).Interface())
			}
			if kind := v.Field(i).Kind(); kind == reflect.String || v.Field(i).Type() == reflect.TypeFor[time.Duration]() {
				value = strconv.Quote(value)
			}
			all = append(all, Setting{path, value, t.Tag.Get("doc"), !named(path)})
		}
	}
	walk("", reflect.ValueOf(of).Elem())
	return all
}

// Text returns a text that Decode decodes to the same struct, with one line for each field that differs from its default.
func Text(of any) string {
	var b strings.Builder
	writeStruct(&b, "", reflect.ValueOf(of).Elem())
	return b.String() + "\n"
}

func writeStruct(b *strings.Builder, indent string, v reflect.Value) {
	defaults := reflect.New(v.Type()).Elem()
	setDefaults(defaults) // Decode has checked the defaults
	b.WriteString("{\n")
	for i := range v.NumField() {
		t, at := v.Type().Field(i), v.Field(i)
		if !t.IsExported() || reflect.DeepEqual(at.Interface(), defaults.Field(i).Interface()) || at.Kind() == reflect.Slice && at.Len() == 0 {
			continue
		}
		fmt.Fprintf(b, "%s  %q: ", indent, t.Tag.Get("json"))
		writeValue(b, indent+"  ", at)
		b.WriteString(",\n")
	}
	b.WriteString(indent + "}")
}

func writeValue(b *strings.Builder, indent string, at reflect.Value) {
	switch {
	case at.Kind() == reflect.Struct:
		writeStruct(b, indent, at)
	case at.Type() == reflect.TypeFor[time.Duration]() || at.Kind() == reflect.String:
		text, _ := json.Marshal(fmt.Sprint(at.Interface())) // encoding a string cannot fail
		b.Write(text)
	case at.Kind() == reflect.Slice:
		b.WriteString("[")
		for i := range at.Len() {
			if i > 0 {
				b.WriteString(", ")
			}
			writeValue(b, indent, at.Index(i))
		}
		b.WriteString("]")
	default:
		fmt.Fprint(b, at.Interface())
	}
}
