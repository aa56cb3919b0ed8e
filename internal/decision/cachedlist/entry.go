package cachedlist

import (
	"net/netip"
	"time"
)

// Timestamp is a point in time in milliseconds of Unix time, as stored on disk. 0 means unknown.
type Timestamp int64

// TimestampOf converts a time to a Timestamp.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Since returns the time elapsed from earlier to ts; it is negative if earlier is the later one.
func (ts Timestamp) Since(earlier Timestamp) time.Duration {
	return time.Duration(ts-earlier) * time.Millisecond
}

// Time converts a Timestamp to a time.
func (ts Timestamp) Time() time.Time { return time.UnixMilli(int64(ts)) }

// State is the last known state of an endpoint. The numeric values are stored on disk.
type State uint8

// States. Of two states after the same start of an endpoint, the higher one prevails.
const (
	Ready State = iota
	Draining
	Ended
)

// String returns the state as it is shown to operators.
func (s State) String() string { return [...]string{"ready", "draining", "ended"}[min(s, Ended)] }

// Source says who confirmed an entry. The numeric values are stored on disk.
type Source uint8

// Sources of entries.
const (
	SourceDiscovery     Source = iota
	SourceEndpoint             // the endpoint itself: it answered a shard request
	SourceConfiguration        // the list in the broker's configuration
	SourceOperator             // an operator imported the entry
)

// String returns the source as it is shown to operators.
func (s Source) String() string {
	return [...]string{"discovery", "itself", "configuration", "operator"}[min(s, SourceOperator)]
}

// Entry holds what is known of one endpoint.
type Entry struct {
	Name        string
	Address     netip.AddrPort
	Zone        string
	Cell        int
	State       State
	StartedAt   Timestamp // the endpoint's last start; 0: long ago, or unknown
	ConfirmedAt Timestamp // when the entry was last known to be right
	ConfirmedBy Source
	StateSince  Timestamp // when this broker first learned the content of the entry
	Generation  uint64    // of the list that the content came from
}

// sameContent reports whether two entries have the same content, whenever and by whomever it was confirmed.
func (e *Entry) sameContent(other *Entry) bool {
	return e.Address == other.Address && e.Zone == other.Zone && e.Cell == other.Cell && e.State == other.State &&
		e.StartedAt == other.StartedAt
}

// Head holds what is known of the list as a whole.
type Head struct {
	Service     string // address of the discovery service that numbers the generations
	Deployment  string // fingerprint of the settings that the list belongs to
	Generation  uint64
	ConfirmedAt Timestamp // when discovery last confirmed that the list is complete
}

// List is a full list or an update, from discovery or from the configuration.
type List struct {
	Service    string
	Generation uint64
	Full       bool
	Entries    []Entry // only Name, Address, Zone, Cell, State and StartedAt are used
}
