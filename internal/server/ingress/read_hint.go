package ingress

import (
	"math"
	"strconv"
	"strings"
	"time"

	"flaxfront/internal/cluster/readhint"
	"flaxfront/internal/decision/readpin"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/httpwire"
)

// Headers of the answer to a query with a read hint.
const (
	headerPosition    = "X-Read-Position: "     // positions that the answer reflects; clients send them back as not-before
	headerStaleness   = "X-Read-Staleness: "    // the answer lacks no write older than this; or "unknown"
	headerBehind      = "X-Read-Behind: "       // shards that have not reached the position that the hint asks for, if it allows stale answers
	headerHintIgnored = "X-Read-Hint-Ignored: " // why the hint is ignored
)

// decodeReadHint decodes the read hint of a request into q, or sets why it is ignored.
func (in *Ingress) decodeReadHint(m *httpwire.Message, q *query.Request) {
	text, count := m.Get("x-read-hint")
	if count == 0 {
		return
	}
	h, err := readhint.Parse(text)
	switch {
	case count > 1:
		q.HintIgnored = "said twice"
	case err != nil:
		q.HintIgnored = err.Error()
	default:
		q.Hint = &h
		return
	}
	in.options.IgnoredReadHints.Add(1)
}

// readHintHeaders returns the headers that an answer carries because of a read hint.
func readHintHeaders(q *query.Request, r *query.Result) (headers []string) {
	if q.HintIgnored != "" {
		headers = append(headers, headerHintIgnored+q.HintIgnored)
	}
	if !r.Hinted {
		return headers
	}
	if len(r.Positions) > 0 {
		headers = append(headers, headerPosition+readhint.FormatPositions(r.Positions))
	}
	headers = append(headers, headerStaleness+formatStaleness(r.Staleness))
	if len(r.Behind) > 0 {
		shards := make([]string, len(r.Behind))
		for i, shard := range r.Behind {
			shards[i] = strconv.Itoa(shard)
		}
		headers = append(headers, headerBehind+strings.Join(shards, ","))
	}
	return headers
}

func formatStaleness(staleness time.Duration) string {
	if staleness == readpin.UnknownAge {
		return "unknown"
	}
	ms := math.Ceil(float64(staleness) / float64(time.Millisecond))
	return strconv.FormatInt(int64(ms), 10) + "ms"
}
