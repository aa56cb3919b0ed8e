package cachedlist

// This file owns the forms of moments, states and entries of the book.

import (
	"net/netip"
	"time"
)

// Moment is a point in time in milliseconds of Unix time, as it is kept on disk. 0 stands for unknown.
type Moment int64

// At makes a moment of a time.
func At(t time.Time) Moment { return Moment(t.UnixMilli()) }

// Since is the time from another moment to this one.
func (m Moment) Since(o Moment) time.Duration { return time.Duration(m-o) * time.Millisecond }

// Time is the moment as a time.
func (m Moment) Time() time.Time { return time.UnixMilli(int64(m)) }

// State is what was last said of a node.
type State uint8

const (
	Ready State = iota
	Draining
	Ended
)

func (s State) String() string { return [...]string{"ready", "draining", "ended"}[min(s, Ended)] }

// By tells whose word an entry is.
type By uint8

const (
	Discovery By = iota
	Itself       // the node answered a part
	Given        // the list in the broker's configuration
	Imported     // an operator
)

func (b By) String() string {
	return [...]string{"discovery", "itself", "configuration", "operator"}[min(b, Imported)]
}

// Entry is what is known of one node.
type Entry struct {
	Name       string
	Addr       netip.AddrPort
	Zone       string
	Cell       int
	State      State
	Started    Moment // the node's last start; 0: long ago, or unknown
	Confirmed  Moment // when the entry was last known to be right
	By         By     // who confirmed it
	Told       Moment // when its state was told first
	Generation uint64 // of the list that told it
}

// same tells whether two entries say the same of a node, whenever they say it.
func (e *Entry) same(o *Entry) bool {
	return e.Addr == o.Addr && e.Zone == o.Zone && e.Cell == o.Cell && e.State == o.State && e.Started == o.Started
}

// Head is what is known of the list as a whole.
type Head struct {
	Service    string // the discovery that its generations count from
	Deployment string // a fingerprint of the settings that it belongs to
	Generation uint64
	Confirmed  Moment // when discovery last said that the list is complete
}
