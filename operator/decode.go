package operator

// This file owns the strict decoding, by the struct tags of File: json names a field, default, min and max bound it,
// doc tells what it is for. It must never let a value through that it did not check.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
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

// decoder walks a text beside the struct that it fills.
type decoder struct {
	said map[string]bool
}

// Decode reads the text of a file; path only names it in errors.
func Decode(path string, raw []byte) (*File, error) {
	f := &File{said: map[string]bool{}}
	if len(raw) > maxFile {
		return nil, fmt.Errorf("operators' file: %s: %d bytes, %d at most", path, len(raw), maxFile)
	}
	if err := fill(reflect.ValueOf(f).Elem()); err != nil {
		return nil, err
	}
	v, err := hujson.Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("operators' file: %s: %s", path, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	d := decoder{said: f.said}
	if bad := d.value("", v, reflect.ValueOf(f).Elem(), ""); bad != nil {
		line := 1 + bytes.Count(raw[:min(bad.offset, len(raw))], []byte{'\n'})
		return nil, fmt.Errorf("operators' file: %s:%d: %s: %s", path, line, bad.field, bad.why)
	}
	if field, err := f.check(); err != nil {
		return nil, fmt.Errorf("operators' file: %s:%d: %s: %w", path, d.line(raw, v, field), field, err)
	}
	return f, nil
}

// line finds the line of a field, or of the nearest object round it that the file names.
func (d *decoder) line(raw []byte, v hujson.Value, field string) int {
	at := 0
	for _, key := range strings.Split(field, ".") {
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			break
		}
		for _, m := range object.Members {
			if name, _ := m.Name.Value.(hujson.Literal); name.String() == key {
				at, v = m.Name.StartOffset, m.Value
			}
		}
	}
	return 1 + bytes.Count(raw[:at], []byte{'\n'})
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

func (d *decoder) value(field string, v hujson.Value, to reflect.Value, tag reflect.StructTag) *fault {
	bad := func(format string, args ...any) *fault {
		return &fault{v.StartOffset, field, fmt.Sprintf(format, args...)}
	}
	if to.Kind() == reflect.Struct {
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			return bad("an object is wanted, not %.40s", text(v))
		}
		return d.object(field, object, to)
	}
	d.said[field] = true
	if to.Kind() == reflect.Slice {
		list, ok := v.Value.(*hujson.Array)
		if !ok {
			return bad("a list of texts is wanted, not %.40s", text(v))
		}
		to.SetLen(0)
		for _, item := range list.Elements {
			one := reflect.New(to.Type().Elem()).Elem()
			if wrong := d.value(field, item, one, tag); wrong != nil {
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

func (d *decoder) object(field string, object *hujson.Object, to reflect.Value) *fault {
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
		if bad := d.value(path, m.Value, to.Field(at), to.Type().Field(at).Tag); bad != nil {
			return bad
		}
	}
	return nil
}

// kind says in words what a field takes.
func kind(v reflect.Value) string {
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		return `a time such as "30s"`
	case v.Kind() == reflect.String:
		return "a text"
	case v.Kind() == reflect.Bool:
		return "true or false"
	case v.Kind() == reflect.Int:
		return "a whole number"
	default:
		return "a number"
	}
}

// set gives a field its value; an answer says why it can't.
func set(to reflect.Value, text string, tag reflect.StructTag) string {
	var err error
	var low, high, is float64
	switch {
	case to.Type() == reflect.TypeFor[time.Duration]():
		var span time.Duration
		if span, err = time.ParseDuration(text); err == nil {
			to.SetInt(int64(span))
			is, low, high = float64(span), float64(duration(tag, "min", 0)), float64(duration(tag, "max", math.MaxInt64))
		}
	case to.Kind() == reflect.String:
		if to.SetString(text); strings.ContainsRune(text, 0) {
			return "holds a zero byte"
		}
		return ""
	case to.Kind() == reflect.Bool:
		var yes bool
		if yes, err = strconv.ParseBool(text); err == nil {
			to.SetBool(yes)
		}
	case to.Kind() == reflect.Int:
		var n int64
		if n, err = strconv.ParseInt(text, 10, 64); err == nil {
			to.SetInt(n)
			is, low, high = float64(n), number(tag, "min", 0), number(tag, "max", math.MaxInt32)
		}
	default:
		if is, err = strconv.ParseFloat(text, 64); err == nil {
			to.SetFloat(is)
			low, high = number(tag, "min", 0), number(tag, "max", math.MaxFloat64)
		}
	}
	if err != nil {
		return fmt.Sprintf("%s is wanted, not %.40q", kind(to), text)
	}
	if !(is >= low && is <= high) {
		return fmt.Sprintf("%s is out of range, which is %s to %s", text, tag.Get("min"), tag.Get("max"))
	}
	return ""
}

func duration(tag reflect.StructTag, key string, otherwise time.Duration) time.Duration {
	if span, err := time.ParseDuration(tag.Get(key)); err == nil {
		return span
	}
	return otherwise
}

func number(tag reflect.StructTag, key string, otherwise float64) float64 {
	if f, err := strconv.ParseFloat(tag.Get(key), 64); err == nil {
		return f
	}
	return otherwise
}

func text(v hujson.Value) string {
	v.Minimize()
	return string(v.Pack())
}

// Setting is one field with what is in force.
type Setting struct {
	Field, Value, Doc string
	Default           bool // the file does not name it
}

// Settings are all fields, in the order of the structs.
func (f *File) Settings() (all []Setting) {
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
			all = append(all, Setting{path, value, t.Tag.Get("doc"), !f.said[path]})
		}
	}
	walk("", reflect.ValueOf(f).Elem())
	return all
}
