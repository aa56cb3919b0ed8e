package readpin

import (
	"strconv"
	"strings"
	"time"
)

// Report is what a replica says in an answer of how far it has come.
type Report struct {
	Offset  uint64        // the last write of the part's shard that it has applied
	HeadAge time.Duration // all that was acknowledged so long before it read is in, by its own measure; Unknown: it does not say
}

// UnknownAge stands in Report.Head where a replica does not know, or does not say, when it was last current.
const UnknownAge = time.Duration(-1)

const maxHeadAge = time.Hour // what is older is as good as unknown

// ParseReport reads the report of an answer: fields NAME=VALUE between semicolons, of which p is the position and h the head's age
// in milliseconds, rounded up. Other fields are another's. ok tells whether there is a position; a field that makes no sense
// makes the whole report none.
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

// AppendReport writes a report as replicas do. The age is rounded up.
func AppendReport(b []byte, r Report) []byte {
	b = strconv.AppendUint(append(b, "p="...), r.Offset, 10)
	if r.HeadAge != UnknownAge {
		b = strconv.AppendInt(append(b, ";h="...), int64((r.HeadAge+time.Millisecond-1)/time.Millisecond), 10)
	}
	return b
}
