package server

import (
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
	"time"
)

var recordCounters = flag.Bool("record-counters", false, "write testdata/counters.json instead of comparing with it")

// filler fills every field of a value with different content, in the order of declaration.
type filler struct{ n int64 }

func (f *filler) next() int64 {
	f.n++
	return f.n
}

func (f *filler) fill(t *testing.T, v reflect.Value) {
	t.Helper()
	switch value := v.Addr().Interface().(type) {
	case *netip.AddrPort:
		*value = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(f.next()))
		return
	case *netip.Addr:
		*value = netip.AddrFrom4([4]byte{127, 0, 0, byte(f.next())})
		return
	case *time.Time:
		*value = time.Unix(f.next(), 0).UTC()
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(t, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(t, v.Field(i))
			}
		}
	case reflect.Array:
		for i := range v.Len() {
			f.fill(t, v.Index(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			f.fill(t, v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(t, key)
		f.fill(t, value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("s" + strconv.FormatInt(f.next(), 10))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(f.next() % 128)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next() % 256))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) / 4)
	default:
		t.Fatalf("%v: filler does not support kind %v", v.Type(), v.Kind())
	}
}

// Operators and their programs read the counters as JSON. Names, order and format must stay those of commit 1a4b6be, at which this test wrote
// testdata/counters.json.
func TestCountersJSONIsUnchanged(t *testing.T) {
	var filled, empty Counters
	new(filler).fill(t, reflect.ValueOf(&filled).Elem())
	var got []byte
	for _, c := range []Counters{filled, empty} {
		text, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if c.String() != string(text) {
			t.Error("Counters.String differs from the JSON encoding")
		}
		got = append(append(got, text...), '\n')
	}
	file := filepath.Join("testdata", "counters.json")
	if *recordCounters {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
