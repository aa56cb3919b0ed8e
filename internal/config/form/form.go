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

// maxFile bounds the text. Danger: a wrong path, such as a device or a log, would be read without end.
const maxFile = 1 << 20

// fault is a wrong field with its place in the text.
type fault struct {
	offset int
	field  string
	why    string
}

// Doc is a text beside the struct that was filled from it.
type Doc struct {
	what, path string
	raw        []byte
	tree       hujson.Value
}

// Decode fills a struct: with its defaults, then with what the text says. What names the kind of file and path the file, for
// errors only.
func Decode(what, path string, raw []byte, into any) (*Doc, error) {
	d := &Doc{what: what, path: path, raw: raw}
	if len(raw) > maxFile {
		return nil, &Error{What: what, Path: path, Err: fmt.Errorf("%d bytes, %d at most", len(raw), maxFile)}
	}
	to := reflect.ValueOf(into).Elem()
	if err := fill(to); err != nil {
		return nil, err
	}
	var err error
	if d.tree, err = hujson.Parse(raw); err != nil {
		return nil, &Error{What: what, Path: path, Err: errors.New(strings.TrimPrefix(err.Error(), "hujson: "))}
	}
	if bad := read("", d.tree, to, ""); bad != nil {
		line := 1 + bytes.Count(raw[:min(bad.offset, len(raw))], []byte{'\n'})
		return nil, &Error{what, path, line, bad.field, errors.New(bad.why)}
	}
	return d, nil
}

// at finds a field in the text; nil: it is not named.
func (d *Doc) at(field string) *hujson.Value {
	return d.tree.Find("/" + strings.ReplaceAll(field, ".", "/"))
}

// Said tells whether the text names a field.
func (d *Doc) Said(field string) bool { return d.at(field) != nil }

// Fault is an error on a field that was read but makes no sense, with its place in the text.
func (d *Doc) Fault(field string, err error) error {
	return &Error{d.what, d.path, d.line(field), field, err}
}

// line finds the line of a field, or of the nearest object round it that the file names.
func (d *Doc) line(field string) int {
	for ; field != ""; field = field[:max(0, strings.LastIndexByte(field, '.'))] {
		if v := d.at(field); v != nil {
			return 1 + bytes.Count(d.raw[:v.StartOffset], []byte{'\n'})
		}
	}
	return 1
}

// fill sets the defaults.
func fill(v reflect.Value) error {
	for i := range v.NumField() {
		t, at := v.Type().Field(i), v.Field(i)
		if !t.IsExported() {
			continue
		}
		if at.Kind() == reflect.Struct {
			if err := fill(at); err != nil {
				return err
			}
		} else if text, ok := t.Tag.Lookup("default"); ok {
			if why := set(at, text, t.Tag); why != "" {
				return fmt.Errorf("default of %s: %s", t.Name, why)
			}
		}
	}
	return nil
}

// read fills a field with what the text says of it.
func read(field string, v hujson.Value, to reflect.Value, tag reflect.StructTag) *fault {
	bad := func(format string, args ...any) *fault {
		return &fault{v.StartOffset, field, fmt.Sprintf(format, args...)}
	}
	if to.Kind() == reflect.Struct {
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			return bad("an object is wanted, not %.40s", text(v))
		}
		return readObject(field, object, to)
	}
	if to.Kind() == reflect.Slice {
		list, ok := v.Value.(*hujson.Array)
		if !ok {
			return bad("a list %s is wanted, not %.40s", listed(to.Type().Elem()), text(v))
		}
		to.SetLen(0)
		for i, item := range list.Elements {
			one, path := reflect.New(to.Type().Elem()).Elem(), field
			if one.Kind() == reflect.Struct {
				path = fmt.Sprintf("%s.%d", field, i)
				if err := fill(one); err != nil {
					return bad("%v", err)
				}
			}
			if wrong := read(path, item, one, tag); wrong != nil {
				return wrong
			}
			to.Set(reflect.Append(to, one))
		}
		return nil
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		return bad("%s is wanted, not %.40s", kind(to), text(v))
	}
	plain := string(literal)
	stringly := to.Kind() == reflect.String || to.Type() == reflect.TypeFor[time.Duration]()
	if stringly != (literal.Kind() == '"') {
		return bad("%s is wanted, not %.40s", kind(to), plain)
	}
	if to.Kind() == reflect.Bool && literal.Kind() != 't' && literal.Kind() != 'f' {
		return bad("%s is wanted, not %.40s", kind(to), plain)
	}
	if stringly {
		if err := json.Unmarshal([]byte(plain), &plain); err != nil {
			return bad("%v", err)
		}
	}
	if why := set(to, plain, tag); why != "" {
		return bad("%s", why)
	}
	return nil
}

func readObject(field string, object *hujson.Object, to reflect.Value) *fault {
	seen := map[string]bool{}
	for _, m := range object.Members {
		name, _ := m.Name.Value.(hujson.Literal)
		key, path := name.String(), name.String()
		if field != "" {
			path = field + "." + key
		}
		at := slices.IndexFunc(reflect.VisibleFields(to.Type()), func(f reflect.StructField) bool {
			return f.IsExported() && f.Tag.Get("json") == key
		})
		switch {
		case at < 0:
			return &fault{m.Name.StartOffset, path, "unknown"}
		case seen[key]:
			return &fault{m.Name.StartOffset, path, "named twice"}
		}
		seen[key] = true
		if bad := read(path, m.Value, to.Field(at), to.Type().Field(at).Tag); bad != nil {
			return bad
		}
	}
	return nil
}
