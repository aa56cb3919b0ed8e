package cachedlist

// This file owns the forms of moments, states and entries of the book.

import (
	"net/netip"
	"time"
)

// Timestamp is a point in time in milliseconds of Unix time, as it is kept on disk. 0 stands for unknown.
type Timestamp int64

// TimestampOf makes a moment of a time.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Since is the time from another moment to this one.
func (m Timestamp) Since(o Timestamp) time.Duration { return time.Duration(m-o) * time.Millisecond }

// Time is the moment as a time.
func (m Timestamp) Time() time.Time { return time.UnixMilli(int64(m)) }

// State is what was last said of a node.
type State uint8

const (
	Ready State = iota
	Draining
	Ended
)

func (s State) String() string { return [...]string{"ready", "draining", "ended"}[min(s, Ended)] }

// Source tells whose word an entry is.
type Source uint8

const (
	SourceDiscovery     Source = iota
	SourceEndpoint             // the node answered a part
	SourceConfiguration        // the list in the broker's configuration
	SourceOperator             // an operator
)

func (b Source) String() string {
	return [...]string{"discovery", "itself", "configuration", "operator"}[min(b, SourceOperator)]
}

// Entry is what is known of one node.
type Entry struct {
	Name        string
	Address     netip.AddrPort
	Zone        string
	Cell        int
	State       State
	StartedAt   Timestamp // the node's last start; 0: long ago, or unknown
	ConfirmedAt Timestamp // when the entry was last known to be right
	ConfirmedBy Source    // who confirmed it
	StateSince  Timestamp // when its state was told first
	Generation  uint64    // of the list that told it
}

// same tells whether two entries say the same of a node, whenever they say it.
func (e *Entry) same(o *Entry) bool {
	return e.Address == o.Address && e.Zone == o.Zone && e.Cell == o.Cell && e.State == o.State && e.StartedAt == o.StartedAt
}

// Head is what is known of the list as a whole.
type Head struct {
	Service     string // the discovery that its generations count from
	Deployment  string // a fingerprint of the settings that it belongs to
	Generation  uint64
	ConfirmedAt Timestamp // when discovery last said that the list is complete
}
