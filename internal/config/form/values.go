package form

// This file decodes single values and checks them against the type and range of their field.

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// describeElements returns what a list contains, in words.
func describeElements(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "of strings"
	case reflect.Struct:
		return "of objects"
	default:
		return "of numbers"
	}
}

// describeType returns what a field takes, in words.
func describeType(v reflect.Value) string {
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		return `a duration such as "30s"`
	case v.Kind() == reflect.String:
		return "a string"
	case v.Kind() == reflect.Bool:
		return "true or false"
	case v.Kind() == reflect.Int:
		return "a whole number"
	default:
		return "a number"
	}
}

// setValue decodes a value into a field, and returns why it cannot, or "".
func setValue(target reflect.Value, text string, tag reflect.StructTag) string {
	var err error
	var low, high, value float64
	switch {
	case target.Type() == reflect.TypeFor[time.Duration]():
		var duration time.Duration
		if duration, err = time.ParseDuration(text); err == nil {
			target.SetInt(int64(duration))
			value, low, high = float64(duration), float64(durationTag(tag, "min", 0)), float64(durationTag(tag, "max", math.MaxInt64))
		}
	case target.Kind() == reflect.String:
		if target.SetString(text); strings.ContainsRune(text, 0) {
			return "contains a zero byte"
		}
		return ""
	case target.Kind() == reflect.Bool:
		var yes bool
		if yes, err = strconv.ParseBool(text); err == nil {
			target.SetBool(yes)
		}
	case target.Kind() == reflect.Int:
		var n int64
		if n, err = strconv.ParseInt(text, 10, 64); err == nil {
			target.SetInt(n)
			value, low, high = float64(n), numberTag(tag, "min", 0), numberTag(tag, "max", math.MaxInt32)
		}
	default:
		if value, err = strconv.ParseFloat(text, 64); err == nil {
			target.SetFloat(value)
			low, high = numberTag(tag, "min", 0), numberTag(tag, "max", math.MaxFloat64)
		}
	}
	if err != nil {
		return fmt.Sprintf("expected %s, got %.40q", describeType(target), text)
	}
	if !(value >= low && value <= high) {
		return fmt.Sprintf("%s is out of range (%s to %s)", text, tag.Get("min"), tag.Get("max"))
	}
	return ""
}

func durationTag(tag reflect.StructTag, key string, fallback time.Duration) time.Duration {
	if span, err := time.ParseDuration(tag.Get(key)); err == nil {
		return span
	}
	return fallback
}

func numberTag(tag reflect.StructTag, key string, fallback float64) float64 {
	if f, err := strconv.ParseFloat(tag.Get(key), 64); err == nil {
		return f
	}
	return fallback
}

func compactText(v hujson.Value) string {
	v.Minimize()
	return string(v.Pack())
}
