package readpin

import (
	"strconv"
	"strings"
	"time"
)

// Report is a replica's statement of its position, which it sends with an answer.
type Report struct {
	Offset  uint64        // position of the last write to the shard that the replica has applied
	HeadAge time.Duration // by its own measure, the answer contains all writes acknowledged this long before the read; or UnknownAge
}

// UnknownAge is the value of Report.HeadAge if a replica does not know, or does not report, when it was last current.
const UnknownAge = time.Duration(-1)

const maxHeadAge = time.Hour // a greater age counts as unknown

// ParseReport parses the report of an answer: NAME=VALUE fields separated by semicolons. p is the position, h the head's age in
// milliseconds, rounded up; other fields are ignored. ok is false if there is no position, or if p or h is malformed or repeated.
func ParseReport(text string) (r Report, ok bool) {
	r.HeadAge = UnknownAge
	for len(text) > 0 {
		field, rest, _ := strings.Cut(text, ";")
		text = rest
		name, value, _ := strings.Cut(field, "=")
		if name != "p" && name != "h" {
			continue
		}
		n, err := strconv.ParseUint(value, 10, 64)
		switch {
		case err != nil || name == "p" && ok || name == "h" && r.HeadAge != UnknownAge:
			return Report{HeadAge: UnknownAge}, false
		case name == "p":
			r.Offset, ok = n, true
		case n <= uint64(maxHeadAge/time.Millisecond):
			r.HeadAge = time.Duration(n) * time.Millisecond
		}
	}
	return r, ok
}

// AppendReport appends a report in the format that replicas use. The age is rounded up to a millisecond.
func AppendReport(b []byte, r Report) []byte {
	b = strconv.AppendUint(append(b, "p="...), r.Offset, 10)
	if r.HeadAge != UnknownAge {
		b = strconv.AppendInt(append(b, ";h="...), int64((r.HeadAge+time.Millisecond-1)/time.Millisecond), 10)
	}
	return b
}
