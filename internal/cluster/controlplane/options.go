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

// component is the attribute of this package's log lines.
const component = "control-plane"

// Voter is a broker with a vote, by the name in its certificate.
type Voter struct {
	Name string
	Addr string // host and port
}

// Options say who a broker is and how it takes part.
type Options struct {
	Keys              *keys.Keyring
	Voters            []Voter      // the same on every broker, in the same order
	Sources           []string     // addresses of brokers to follow; none: the voters
	Listener          net.Listener // nil: nobody can connect to this broker
	ListenAddr        string       // as other brokers are told
	Dial              func(ctx context.Context, addr string) (net.Conn, error)
	Storage           consensus.Storage // of a voter
	Slot              statemachine.Slot
	Incarnation       uint64 // greater than that of any earlier process in this slot
	Version           string // of the program
	Zone              string
	LeaseDuration     time.Duration // of sessions
	MaxClockDrift     float64       // by which the rates of two brokers' clocks differ, as a share
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration // of raft
	MaxFollowers      int           // that follow this broker
	ReportInterval    time.Duration
	ReleaseGates      release.Settings
	Seed              uint64
	OnView            func(*View)          // is handed views in their order, perhaps not each; may block
	CollectReport     func() Report        // what this broker has served; called in the participant's loop, must not block
	Now               func() time.Duration // monotonic; goes on while the process is stopped
}

// withDefaults fills in what may be left out.
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

// Counts are figures of the control plane's own work.
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
