package routing

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// quoted is a piece of code on a page.
var quoted = regexp.MustCompile("`([^`]+)`")

// linePattern matches the lines of a log format, with NODE and Z in place of names.
func linePattern(format string) *regexp.Regexp {
	pattern := regexp.QuoteMeta(format)
	pattern = strings.ReplaceAll(pattern, `%\.2f`, `\d+\.\d\d`)
	pattern = strings.ReplaceAll(pattern, "%v", `\S+`)
	pattern = strings.ReplaceAll(pattern, "%d", `(\d+|Z)`)
	return regexp.MustCompile("^" + pattern + "$")
}

// Every line that a router may write stands whole in the table of modes of the on-call page, with an example of its figures.
func TestEveryLogLineIsOnTheOnCallPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "## Modes of the module\n")
	if !found {
		t.Fatal("the page has no section on the modes of the module")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	for _, format := range LogFormats() {
		line := linePattern(format)
		seen := false
		for _, code := range quoted.FindAllStringSubmatch(section, -1) {
			seen = seen || line.MatchString(code[1])
		}
		if !seen {
			t.Errorf("no line %q in the table", format)
		}
	}
}
