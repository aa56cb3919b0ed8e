package routing

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// quoted matches inline code in Markdown.
var quoted = regexp.MustCompile("`([^`]+)`")

// linePattern returns a pattern for the lines of a log format; Z may stand for a zone number.
func linePattern(format string) *regexp.Regexp {
	pattern := regexp.QuoteMeta(format)
	pattern = strings.ReplaceAll(pattern, `%\.2f`, `\d+\.\d\d`)
	pattern = strings.ReplaceAll(pattern, "%v", `\S+`)
	pattern = strings.ReplaceAll(pattern, "%d", `(\d+|Z)`)
	return regexp.MustCompile("^" + pattern + "$")
}

// Every log line that a router may write appears in full in the table of modes of the on-call page, with example values.
func TestEveryLogLineIsOnTheOnCallPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "## Modes of the module\n")
	if !found {
		t.Fatal("docs/oncall.md has no section \"Modes of the module\"")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	for _, format := range LogFormats() {
		line := linePattern(format)
		seen := false
		for _, code := range quoted.FindAllStringSubmatch(section, -1) {
			seen = seen || line.MatchString(code[1])
		}
		if !seen {
			t.Errorf("log line %q is missing from the table in docs/oncall.md", format)
		}
	}
}
