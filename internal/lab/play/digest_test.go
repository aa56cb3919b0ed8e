package play

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/routing"
)

// sampleArguments returns a value for each verb of a format.
func sampleArguments(format string) []any {
	var values []any
	for i, verb := range formatVerb.FindAllString(format, -1) {
		switch {
		case verb == "%.2f":
			values = append(values, 0.25+float64(i))
		case verb == "%d":
			values = append(values, 3+i)
		case i == 0:
			values = append(values, decision.NodeID{Addr: [4]byte{10, 0, 0, 7}, Port: 9})
		default:
			values = append(values, 955*time.Millisecond)
		}
	}
	return values
}

// A log line is digested in the wording of its row, with its own values, and matches no other row.
func TestDigestedLines(t *testing.T) {
	for _, w := range digestWordings {
		if got, want := len(sampleArguments(w.digested)), len(sampleArguments(w.format)); got != want {
			t.Errorf("%q has %d values, its digested wording has %d", w.format, want, got)
			continue
		}
		line := fmt.Sprintf(w.format, sampleArguments(w.format)...)
		want := fmt.Sprintf(w.digested, sampleArguments(w.format)...)
		if got := digestedLine(line); got != want {
			t.Errorf("%q is digested as %q, want %q", line, got, want)
		}
		matches := 0
		for _, r := range digestRewordings {
			if r.lines.MatchString(line) {
				matches++
			}
		}
		if matches != 1 {
			t.Errorf("%q is matched by %d rows", line, matches)
		}
		if got := digestedLine(want); got != want {
			t.Errorf("the digested wording %q is digested as %q", want, got)
		}
	}
	if got := digestedLine("node listed"); got != "node listed" {
		t.Errorf("a line of no format is digested as %q", got)
	}
}

// The table has exactly one row for each log format of the router.
func TestEveryLogFormatHasADigestedWording(t *testing.T) {
	formats := routing.LogFormats()
	var rows []string
	for _, w := range digestWordings {
		rows = append(rows, w.format)
	}
	slices.Sort(formats)
	slices.Sort(rows)
	if !slices.Equal(formats, rows) {
		t.Errorf("formats of the router:\n%s\nrows of the table:\n%s", strings.Join(formats, "\n"), strings.Join(rows, "\n"))
	}
}
