package readhint

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestParse(t *testing.T) {
	h, err := Parse("pin=session:abc; max-stale=250ms;not-before=3:10482,9:77 ;\tor-stale=yes")
	want := Hint{ScopeSession, "abc", 250 * time.Millisecond, []Position{{3, 10482}, {9, 77}}, true}
	if err != nil || !reflect.DeepEqual(h, want) {
		t.Fatalf("%+v, %v", h, err)
	}
	if h.MinOffset(9) != 77 || h.MinOffset(4) != 0 {
		t.Fatal("MinOffset is not that of the positions 3:10482 and 9:77")
	}
}

// TestInvalidHints checks that one fault makes Parse reject the whole hint, even if its other directives are valid.
func TestInvalidHints(t *testing.T) {
	for _, text := range []string{"", " ", ";", "pin", "pin=", "pin=abc", "pin=session:", "pin=Session:a", "pin=user:a", "pin=key:a b",
		"pin=key:" + strings.Repeat("a", 65), "pin=key:ä", "max-stale=5", "max-stale=0ms", "max-stale=05ms", "max-stale=+5ms",
		"max-stale=-5ms", "max-stale=1.5s", "max-stale=601s", "max-stale=600001ms", "max-stale=5 ms", "max-stale=1m", "not-before=",
		"not-before=3", "not-before=3:", "not-before=3:1,", "not-before=3:1,3:2", "not-before=9:1,3:2",
		"not-before=1048576:1", "not-before=3:18446744073709551616", "not-before=3:1, 4:1", "or-stale=yes", "or-stale=no;pin=key:a",
		"pin=key:a;pin=key:a", "pin=key:a;", "PIN=key:a", "pin =key:a", "pin=key:a;fresh=yes", "pin=key:a\n",
		"pin=key:a" + strings.Repeat(" ", MaxBytes), "not-before=" + strings.Repeat("1:1,", MaxPositions) + "1:1"} {
		h, err := Parse(text)
		var syntaxErr *SyntaxError
		if !errors.As(err, &syntaxErr) || !reflect.DeepEqual(h, Hint{}) || syntaxErr.Remedy() == "" || len(syntaxErr.Error()) > 250 {
			t.Errorf("%.60q: %+v, %v", text, h, err)
		}
	}
}

func drawHint(t *rapid.T) Hint {
	t.Helper()
	h := Hint{MaxStaleness: time.Duration(rapid.Int64Range(0, 600_000).Draw(t, "stale")) * time.Millisecond}
	h.Scope = rapid.SampledFrom([]Scope{ScopeNone, ScopeSession, ScopeKey}).Draw(t, "scope")
	if h.Scope != ScopeNone {
		h.Key = rapid.StringMatching(`[0-9A-Za-z._~-]{1,64}`).Draw(t, "key")
	}
	shard := -1
	for range rapid.IntRange(0, MaxPositions).Draw(t, "positions") {
		shard += rapid.IntRange(1, 1000).Draw(t, "step")
		h.NotBefore = append(h.NotBefore, Position{shard, rapid.Uint64().Draw(t, "at")})
	}
	h.AllowStale = !h.IsZero() && rapid.Bool().Draw(t, "or")
	return h
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHint(t)
		got, err := Parse(h.String())
		if h.IsZero() {
			if err == nil {
				t.Fatal("Parse accepts an empty hint")
			}
			return
		}
		if err != nil || !reflect.DeepEqual(got, h) {
			t.Fatalf("%q: %+v, %v", h.String(), got, err)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add("pin=session:abc; max-stale=250ms; not-before=3:10482,9:77; or-stale=yes")
	f.Fuzz(func(t *testing.T, text string) {
		h, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(h.String())
		if err != nil || !reflect.DeepEqual(h, again) || h.Validate() != nil {
			t.Fatalf("%q became %q: %v", text, h.String(), err)
		}
	})
}
