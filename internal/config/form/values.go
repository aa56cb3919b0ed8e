package form

// This file owns single values: what a field takes, and within which range.

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// listed says in words what a list holds.
func listed(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "of texts"
	case reflect.Struct:
		return "of objects"
	default:
		return "of numbers"
	}
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
