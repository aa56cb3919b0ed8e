package play

import (
	"regexp"
	"strings"
)

// digestWordings maps each format of the router's log lines to the wording that the digest of a run hashes: the one that was in use
// when the expected digests were recorded. So digests stay the same when a log line is reworded: change its format in this table,
// and keep the values and their order.
var digestWordings = []struct{ format, digested string }{
	{"%v ejected: unresponsive (no answer for %.2f s)", "%v shut: silent (%.2f)"},
	{"%v ejected: errors (error rate %.2f)", "%v shut: errors (%.2f)"},
	{"%v ejected: rejects attempts (error rate %.2f)", "%v shut: refuses (%.2f)"},
	{"%v ejected: unreachable (error rate %.2f)", "%v shut: unreachable (%.2f)"},
	{"%v reinstated: error rate %.2f", "%v trusted: doubt %.2f"},
	{"%v warming up: started %v ago", "%v cold: started %v ago"},
	{"%v warmed up", "%v warm"},
	{"zone %d avoided: error rate %.2f", "zone %d shunned true: doubt %.2f"},
	{"zone %d used again: error rate %.2f", "zone %d shunned false: doubt %.2f"},
	{"attempts fail at all nodes alike: error rate %.2f", "parts fail at all nodes alike true: %.2f"},
	{"attempts no longer fail at all nodes alike: error rate %.2f", "parts fail at all nodes alike false: %.2f"},
	{"idle connections are cut: error rate %.2f after %v idle, %.2f over fresh connections",
		"idle connections are cut: %.2f fail after %v, %.2f of fresh"},
	{"shedding load: expected wait %.2f of the time left, %v", "refusing true: wait %.2f of the time left, %v"},
	{"shedding ended: expected wait %.2f of the time left, %v", "refusing false: wait %.2f of the time left, %v"},
	{"query of unknown type %d failed", "search of unknown type %d failed"},
}

// formatVerb matches a verb of the formats above.
var formatVerb = regexp.MustCompile(`%(\.2f|v|d)`)

// rewording matches the log lines of one format, with their values as groups, and holds the replacement that is hashed.
type rewording struct {
	lines       *regexp.Regexp
	replacement string
}

var digestRewordings = rewordings()

func rewordings() []rewording {
	var all []rewording
	for _, w := range digestWordings {
		constant := formatVerb.Split(w.format, -1)
		for i := range constant {
			constant[i] = regexp.QuoteMeta(constant[i])
		}
		group := 0
		replacement := formatVerb.ReplaceAllStringFunc(w.digested, func(string) string {
			group++
			return "${" + string(rune('0'+group)) + "}"
		})
		lines := regexp.MustCompile("^" + strings.Join(constant, "(.+?)") + "$")
		all = append(all, rewording{lines: lines, replacement: replacement})
	}
	return all
}

// digestedLine returns a log line in the wording that is hashed. A line of no known format is returned unchanged.
func digestedLine(line string) string {
	for _, r := range digestRewordings {
		if r.lines.MatchString(line) {
			return r.lines.ReplaceAllString(line, r.replacement)
		}
	}
	return line
}
