package lookahead

// This file records when bytes arrived.

import "time"

// arrival is the time by which the bytes before an offset had arrived. Too early a time would make a request count as older
// than it is, so bytes that arrived together all have the time of the last of them.
type arrival struct {
	endOffset uint64
	first, at time.Duration // of the first and the last of the bytes that arrived together
}

// recordArrival records that the bytes before an offset have arrived by now.
func (r *Reader) recordArrival(endOffset uint64) {
	at := r.now()
	if last := len(r.arrivals) - 1; last >= 0 && at-r.arrivals[last].first < coalesceInterval {
		r.arrivals[last].endOffset, r.arrivals[last].at = endOffset, at
		return
	}
	expired := 0
	for expired < len(r.arrivals) && r.arrivals[expired].endOffset+maxParserBuffer < r.consumed {
		expired++
	}
	r.arrivals = append(r.arrivals[:copy(r.arrivals, r.arrivals[expired:])], arrival{endOffset, at, at})
}

// ArrivalTime returns the time by which the last byte that the parser has used had arrived. unused is the number of bytes that Read has
// returned and that the parser still holds.
func (r *Reader) ArrivalTime(unused int) time.Duration {
	end := r.consumed - uint64(unused)
	for _, m := range r.arrivals {
		if m.endOffset >= end {
			return m.at
		}
	}
	return r.now()
}
