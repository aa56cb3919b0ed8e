// Package form decodes JSON files with comments and trailing commas strictly into structs, by the tags of the struct fields: json is the
// key, default the default value, min and max are the bounds, and doc describes the field. It checks each value by its type and range and
// reports errors with line and field; what a value means is for the caller to check.
//
// hujson parses comments and commas and gives the position of each field. The rest is written by hand, because libraries save little:
// a version on github.com/go-json-experiment/json, which rejects unknown and duplicate names with their position, passed the same
// tests in 333 non-blank lines instead of 336: null, durations, names of types in errors, and ranges with their line need own code there
// too.
// github.com/creasty/defaults would replace the 18 lines of setDefaults, but does not check defaults against the ranges.
// github.com/go-playground/validator and github.com/go-viper/mapstructure were not tried: both work on decoded values, which no longer
// have the position of a field in the text.
//
// Depends on no package of this module. Its functions keep no state and start no goroutine, may be called from any goroutine, and return
// values that the caller owns.
package form

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// maxFileBytes bounds the text. A wrong path, such as that of a log or a device, could lead to a file of any size.
const maxFileBytes = 1 << 20

// fieldError is an invalid field with its position in the text.
type fieldError struct {
	offset int
	field  string
	reason string
}

// Document is the parsed text of a file, in which the fields of the decoded struct can be located.
type Document struct {
	kind, path string
	raw        []byte
	tree       hujson.Value
}

// Decode fills the struct that into points to, first with its defaults, then with the values of the text. Kind, the kind of file in words,
// and path are used only in errors.
func Decode(kind, path string, raw []byte, into any) (*Document, error) {
	d := &Document{kind: kind, path: path, raw: raw}
	if len(raw) > maxFileBytes {
		return nil, &Error{Kind: kind, Path: path, Err: fmt.Errorf("the file has %d bytes, at most %d are allowed", len(raw), maxFileBytes)}
	}
	target := reflect.ValueOf(into).Elem()
	if err := setDefaults(target); err != nil {
		return nil, err
	}
	var err error
	if d.tree, err = hujson.Parse(raw); err != nil {
		return nil, &Error{Kind: kind, Path: path, Err: errors.New(strings.TrimPrefix(err.Error(), "hujson: "))}
	}
	if bad := decodeValue("", d.tree, target, ""); bad != nil {
		line := 1 + bytes.Count(raw[:min(bad.offset, len(raw))], []byte{'\n'})
		return nil, &Error{kind, path, line, bad.field, errors.New(bad.reason)}
	}
	return d, nil
}

// find returns the value of a field in the text, or nil if the text does not contain the field.
func (d *Document) find(field string) *hujson.Value {
	return d.tree.Find("/" + strings.ReplaceAll(field, ".", "/"))
}

// Has reports whether the text contains a field.
func (d *Document) Has(field string) bool { return d.find(field) != nil }

// ErrorAt returns err, about a field that was decoded but is not valid, with the position of the field in the text.
func (d *Document) ErrorAt(field string, err error) error {
	return &Error{d.kind, d.path, d.lineOf(field), field, err}
}

// lineOf returns the line of a field, or, if the text does not contain it, of the innermost enclosing object that the text contains.
func (d *Document) lineOf(field string) int {
	for ; field != ""; field = field[:max(0, strings.LastIndexByte(field, '.'))] {
		if v := d.find(field); v != nil {
			return 1 + bytes.Count(d.raw[:v.StartOffset], []byte{'\n'})
		}
	}
	return 1
}

// setDefaults sets the fields of a struct, and of the structs in it, to their defaults.
func setDefaults(v reflect.Value) error {
	for i := range v.NumField() {
		t, at := v.Type().Field(i), v.Field(i)
		if !t.IsExported() {
			continue
		}
		if at.Kind() == reflect.Struct {
			if err := setDefaults(at); err != nil {
				return err
			}
		} else if text, ok := t.Tag.Lookup("default"); ok {
			if why := setValue(at, text, t.Tag); why != "" {
				return fmt.Errorf("default value of %s: %s", t.Name, why)
			}
		}
	}
	return nil
}

// decodeValue decodes a value of the text into a field.
func decodeValue(field string, v hujson.Value, target reflect.Value, tag reflect.StructTag) *fieldError {
	fail := func(format string, args ...any) *fieldError {
		return &fieldError{v.StartOffset, field, fmt.Sprintf(format, args...)}
	}
	if target.Kind() == reflect.Struct {
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			return fail("expected an object, got %.40s", compactText(v))
		}
		return decodeObject(field, object, target)
	}
	if target.Kind() == reflect.Slice {
		list, ok := v.Value.(*hujson.Array)
		if !ok {
			return fail("expected a list %s, got %.40s", describeElements(target.Type().Elem()), compactText(v))
		}
		target.SetLen(0)
		for i, item := range list.Elements {
			element, path := reflect.New(target.Type().Elem()).Elem(), field
			if element.Kind() == reflect.Struct {
				path = fmt.Sprintf("%s.%d", field, i)
				if err := setDefaults(element); err != nil {
					return fail("%v", err)
				}
			}
			if itemErr := decodeValue(path, item, element, tag); itemErr != nil {
				return itemErr
			}
			target.Set(reflect.Append(target, element))
		}
		return nil
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		return fail("expected %s, got %.40s", describeType(target), compactText(v))
	}
	plain := string(literal)
	quoted := target.Kind() == reflect.String || target.Type() == reflect.TypeFor[time.Duration]()
	if quoted != (literal.Kind() == '"') {
		return fail("expected %s, got %.40s", describeType(target), plain)
	}
	if target.Kind() == reflect.Bool && literal.Kind() != 't' && literal.Kind() != 'f' {
		return fail("expected %s, got %.40s", describeType(target), plain)
	}
	if quoted {
		if err := json.Unmarshal([]byte(plain), &plain); err != nil {
			return fail("%v", err)
		}
	}
	if why := setValue(target, plain, tag); why != "" {
		return fail("%s", why)
	}
	return nil
}

// decodeObject decodes the members of an object into the fields of a struct.
func decodeObject(field string, object *hujson.Object, target reflect.Value) *fieldError {
	seen := map[string]bool{}
	for _, m := range object.Members {
		name, _ := m.Name.Value.(hujson.Literal)
		key, path := name.String(), name.String()
		if field != "" {
			path = field + "." + key
		}
		at := slices.IndexFunc(reflect.VisibleFields(target.Type()), func(f reflect.StructField) bool {
			return f.IsExported() && f.Tag.Get("json") == key
		})
		switch {
		case at < 0:
			return &fieldError{m.Name.StartOffset, path, "unknown key"}
		case seen[key]:
			return &fieldError{m.Name.StartOffset, path, "duplicate key"}
		}
		seen[key] = true
		if bad := decodeValue(path, m.Value, target.Field(at), target.Type().Field(at).Tag); bad != nil {
			return bad
		}
	}
	return nil
}
