package controlplane

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"flaxfront/internal/cluster/consensus"
	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/transport/keys"
)

// component is the value of the attribute "component" in this package's log lines.
const component = "control-plane"

// Voter is a broker that votes in raft, by the name in its certificate.
type Voter struct {
	Name string
	Addr string // host and port
}

// Options identify a broker and configure its part in the control plane.
type Options struct {
	Keys              *keys.Keyring
	Voters            []Voter      // the same on every broker and in the same order: the order determines raft's ids
	Sources           []string     // addresses of brokers to follow; empty: the voters
	Listener          net.Listener // nil: this broker accepts no connections
	ListenAddr        string       // announced to other brokers
	Dial              func(ctx context.Context, addr string) (net.Conn, error)
	Storage           consensus.Storage // required for a voter
	Slot              statemachine.Slot
	Incarnation       uint64 // greater than that of any earlier process in this slot
	Version           string // of the program
	Zone              string
	LeaseDuration     time.Duration // of session leases
	MaxClockDrift     float64       // bound of the difference between the rates of two brokers' clocks; 0.01: 1 %
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration // of raft
	MaxFollowers      int           // of this broker
	ReportInterval    time.Duration
	ReleaseGates      release.Settings
	Seed              uint64
	OnView            func(*View)          // receives views in order, but may miss some; may block
	CollectReport     func() Report        // returns this broker's counts of queries; called in the participant's loop, must not block
	Now               func() time.Duration // monotonic; must go on while the process is suspended
}

// withDefaults returns the options with defaults for those that may be left out.
func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	if len(o.Sources) == 0 {
		for _, v := range o.Voters {
			o.Sources = append(o.Sources, v.Addr)
		}
	}
	return o
}

// Counts are counters of the control plane's own work.
type Counts struct {
	FramesIn      atomic.Uint64
	FramesOut     atomic.Uint64
	BytesIn       atomic.Uint64
	BytesOut      atomic.Uint64
	Proposed      atomic.Uint64
	Retried       atomic.Uint64 // proposals sent again
	Refused       atomic.Uint64 // connections and proposals
	Snapshots     atomic.Uint64 // sent to followers
	SourceChanges atomic.Uint64
}
