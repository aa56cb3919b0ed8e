package cachedlist

import (
	"net/netip"
	"time"
)

// Timestamp is a point in time in milliseconds of Unix time, as it is stored on disk. 0 stands for unknown.
type Timestamp int64

// TimestampOf converts a time.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Since returns the time from an earlier timestamp to this one; it is negative if that one is later.
func (ts Timestamp) Since(earlier Timestamp) time.Duration {
	return time.Duration(ts-earlier) * time.Millisecond
}

// Time converts back.
func (ts Timestamp) Time() time.Time { return time.UnixMilli(int64(ts)) }

// State is the last known state of an endpoint. Its numbers are stored on disk.
type State uint8

// States. A state that counts for more after an equal start has a higher number.
const (
	Ready State = iota
	Draining
	Ended
)

// String returns the state as operators read it.
func (s State) String() string { return [...]string{"ready", "draining", "ended"}[min(s, Ended)] }

// Source is who confirmed an entry. Its numbers are stored on disk.
type Source uint8

// Sources of entries.
const (
	SourceDiscovery     Source = iota
	SourceEndpoint             // it answered a shard request
	SourceConfiguration        // the list in the broker's configuration
	SourceOperator             // imported
)

// String returns the source as operators read it.
func (s Source) String() string {
	return [...]string{"discovery", "itself", "configuration", "operator"}[min(s, SourceOperator)]
}

// Entry is what is known of one endpoint.
type Entry struct {
	Name        string
	Address     netip.AddrPort
	Zone        string
	Cell        int
	State       State
	StartedAt   Timestamp // its last start; 0: long ago, or unknown
	ConfirmedAt Timestamp // when the entry was last known to be right
	ConfirmedBy Source
	StateSince  Timestamp // when this broker was first notified of what the entry says
	Generation  uint64    // of the list that said it
}

// sameContent reports whether two entries say the same of an endpoint, whenever and by whom it was said.
func (e *Entry) sameContent(other *Entry) bool {
	return e.Address == other.Address && e.Zone == other.Zone && e.Cell == other.Cell && e.State == other.State &&
		e.StartedAt == other.StartedAt
}

// Head is what is known of the list as a whole.
type Head struct {
	Service     string // the address of the discovery that its generations count from
	Deployment  string // a fingerprint of the settings that it belongs to
	Generation  uint64
	ConfirmedAt Timestamp // when discovery last said that the list is complete
}

// List is a full list or an update, from discovery or from the configuration.
type List struct {
	Service    string
	Generation uint64
	Full       bool
	Entries    []Entry // Name, Address, Zone, Cell, State and StartedAt count
}
