// Package form reads files of JSON with comments and trailing commas into structs, strictly, by the tags of their fields:
// json names a field, default, min and max bound it, doc tells what it is for. It owns the form, the defaults, the ranges
// and errors with line and field. It must never let a value through that it did not check, or know what one means.
//
// Comments, commas and the place of each field are hujson's. The rest stays by hand, after a second reading against libraries.
// Built on github.com/go-json-experiment/json, which refuses unknown and doubled names and tells where, it passed the same tests in
// 333 non-blank lines against 336 before: null, times, kinds in words and ranges with their line are by hand there too.
// github.com/creasty/defaults would replace the 18 lines of fill, and does not hold defaults against the ranges.
// github.com/go-playground/validator and github.com/go-viper/mapstructure were not tried: both work on values that were read
// already, in which the place of a field in the text is lost.
//
// Depends on no package of this module. Concurrency: it keeps no state and starts no goroutine, so that its
// functions may be called from any goroutine; what they return is the caller's.
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

// maxFileBytes bounds the text. Danger: a wrong path, such as a device or a log, would be read without end.
const maxFileBytes = 1 << 20

// fieldError is a wrong field with its place in the text.
type fieldError struct {
	offset int
	field  string
	reason string
}

// Document is a text beside the struct that was filled from it.
type Document struct {
	kind, path string
	raw        []byte
	tree       hujson.Value
}

// Decode fills a struct: with its defaults, then with what the text says. What names the kind of file and path the file, for
// errors only.
func Decode(kind, path string, raw []byte, into any) (*Document, error) {
	d := &Document{kind: kind, path: path, raw: raw}
	if len(raw) > maxFileBytes {
		return nil, &Error{Kind: kind, Path: path, Err: fmt.Errorf("%d bytes, %d at most", len(raw), maxFileBytes)}
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

// find finds a field in the text; nil: it is not named.
func (d *Document) find(field string) *hujson.Value {
	return d.tree.Find("/" + strings.ReplaceAll(field, ".", "/"))
}

// Has tells whether the text names a field.
func (d *Document) Has(field string) bool { return d.find(field) != nil }

// ErrorAt is an error on a field that was read but makes no sense, with its place in the text.
func (d *Document) ErrorAt(field string, err error) error {
	return &Error{d.kind, d.path, d.lineOf(field), field, err}
}

// lineOf finds the line of a field, or of the nearest object round it that the file names.
func (d *Document) lineOf(field string) int {
	for ; field != ""; field = field[:max(0, strings.LastIndexByte(field, '.'))] {
		if v := d.find(field); v != nil {
			return 1 + bytes.Count(d.raw[:v.StartOffset], []byte{'\n'})
		}
	}
	return 1
}

// setDefaults sets the defaults.
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
				return fmt.Errorf("default of %s: %s", t.Name, why)
			}
		}
	}
	return nil
}

// decodeValue fills a field with what the text says of it.
func decodeValue(field string, v hujson.Value, target reflect.Value, tag reflect.StructTag) *fieldError {
	fail := func(format string, args ...any) *fieldError {
		return &fieldError{v.StartOffset, field, fmt.Sprintf(format, args...)}
	}
	if target.Kind() == reflect.Struct {
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			return fail("an object is wanted, not %.40s", compactText(v))
		}
		return decodeObject(field, object, target)
	}
	if target.Kind() == reflect.Slice {
		list, ok := v.Value.(*hujson.Array)
		if !ok {
			return fail("a list %s is wanted, not %.40s", describeElements(target.Type().Elem()), compactText(v))
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
		return fail("%s is wanted, not %.40s", describeType(target), compactText(v))
	}
	plain := string(literal)
	quoted := target.Kind() == reflect.String || target.Type() == reflect.TypeFor[time.Duration]()
	if quoted != (literal.Kind() == '"') {
		return fail("%s is wanted, not %.40s", describeType(target), plain)
	}
	if target.Kind() == reflect.Bool && literal.Kind() != 't' && literal.Kind() != 'f' {
		return fail("%s is wanted, not %.40s", describeType(target), plain)
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
			return &fieldError{m.Name.StartOffset, path, "unknown"}
		case seen[key]:
			return &fieldError{m.Name.StartOffset, path, "named twice"}
		}
		seen[key] = true
		if bad := decodeValue(path, m.Value, target.Field(at), target.Type().Field(at).Tag); bad != nil {
			return bad
		}
	}
	return nil
}
