// Package controlplane is the I/O of what the brokers of a tier agree on. It owns the connections between them by mutual TLS, the
// voters' packets, the feed that the other brokers follow, proposals on their way to the leader, sessions with their leases,
// reports, facts that are shared outside the log, and operators' requests. All runs in goroutines of its own. It must never make
// the search loop wait, act on a lease that its own clock does not show to be running, or take what one broker says for agreed.
//
// Depends on cluster/consensus, decision, decision/statemachine, decision/release, transport/keys.
// Concurrency: goroutines of its own, which the caller's context ends; what they share with callers is
// behind a lock or an atomic value.
package controlplane

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flaxfront/internal/cluster/consensus"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/transport/keys"
)

// Voter is one broker that agrees, by the name in its certificate.
type Voter struct{ Name, Addr string }

// Options say who this broker is and how it takes part.
type Options struct {
	Keys              *keys.Keyring
	Voters            []Voter      // the same on every broker, in the same order
	Sources           []string     // to follow
	Listener          net.Listener // nil: nobody comes
	ListenAddr        string       // as others are told
	Dial              func(ctx context.Context, addr string) (net.Conn, error)
	Storage           consensus.Storage // of a voter
	Slot              statemachine.Slot
	Incarnation       uint64 // greater than that of any earlier life
	Version           string
	Zone              string
	LeaseDuration     time.Duration
	MaxClockDrift     float64
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	MaxFollowers      int
	ReportInterval    time.Duration
	ReleaseGates      release.Settings
	Seed              uint64
	OnView            func(*View)          // takes a view over; may wait
	CollectReport     func() Report        // what this broker has served; called in the fleet's goroutine, must not wait
	Now               func() time.Duration // monotonic; goes on while the process is stopped
}

// Counts are figures of the fleet's own work.
type Counts struct {
	FramesIn, FramesOut, BytesIn, BytesOut atomic.Uint64
	Proposed, Resent, Refused              atomic.Uint64
	Snapshots, Sources                     atomic.Uint64
}

// Participant is this broker's part of the agreement.
type Participant struct {
	o       Options
	name    string
	id      uint64 // Raft's; 0: it follows without a vote
	calls   chan func()
	view    atomic.Pointer[View]
	fresh   chan struct{}
	topics  []Topic
	extras  []ReportSection
	duties  []LeaderTask
	find    func(string) (decision.NodeID, bool)
	nameOf  func(decision.NodeID) string
	compile func(text string, s *statemachine.State) (*statemachine.ConnectionPolicy, error) // nil: no budgets are divided

	serving, leaving atomic.Bool

	Counts Counts

	// What follows belongs to the goroutine of run.
	node       *consensus.Node
	state      *statemachine.State
	recent     recent
	halted     error
	follow     func() // starts to keep a source
	changed    bool
	nodesMoved bool // a line of the agreed list may stand otherwise
	conns      map[*conn]bool
	voters     map[string]*conn // dialled
	source     *conn            // followed
	upPath     []string
	upAt       time.Duration // when the source last had a path
	via        map[statemachine.Slot]*conn
	up         up // waits to be sent on
	upNow      bool
	inc        uint64
	pending    map[uint64]*proposal
	seq        uint64
	lease      lease
	lead       lead
	whole      whole
	joining    bool // a Register or Return is on its way
	reads      map[uint64]func(error)
	readID     uint64
	broken     bool // this voter has stopped; it follows from then on
	due        struct{ beat, report, renew, up, publish, join time.Duration }
}

// New makes it; nothing is opened yet. Which voter it is, if any, the certificate says.
func New(o Options) (*Participant, error) {
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	f := &Participant{o: o, name: o.Keys.ID().Broker, calls: make(chan func(), 256), fresh: make(chan struct{}, 1), state: statemachine.New(),
		conns: map[*conn]bool{}, voters: map[string]*conn{}, via: map[statemachine.Slot]*conn{}, inc: o.Incarnation,
		find: func(string) (id decision.NodeID, ok bool) { return id, false }, nameOf: decision.NodeID.String,
		pending: map[uint64]*proposal{}, reads: map[uint64]func(error){}}
	if len(f.o.Sources) == 0 {
		for _, v := range o.Voters {
			f.o.Sources = append(f.o.Sources, v.Addr)
		}
	}
	f.view.Store(&View{})
	i := slices.IndexFunc(o.Voters, func(v Voter) bool { return v.Name == f.name })
	if i < 0 {
		return f, nil
	}
	if o.Storage == nil || o.Listener == nil {
		return nil, &VoterConfigError{Name: f.name}
	}
	f.id = uint64(i + 1)
	var ids []uint64
	for i := range o.Voters {
		ids = append(ids, uint64(i+1))
	}
	var err error
	f.node, err = consensus.New(consensus.Config{ID: f.id, Voters: ids, ElectionTimeout: o.ElectionTimeout, HeartbeatInterval: o.HeartbeatInterval, Seed: o.Seed, Storage: o.Storage,
		StateMachine: machine{f}, MaxEntryBytes: maxEntry}, o.Now())
	return f, err
}

// SetPolicyCompiler gives the way from a policy's text to its entry, before Run.
func (f *Participant) SetPolicyCompiler(fn func(text string, s *statemachine.State) (*statemachine.ConnectionPolicy, error)) {
	f.compile = fn
}

// SetNodeNames gives nodes' names, as this broker's list has them: the node of a name or address, and the name of a node. Before Run.
func (f *Participant) SetNodeNames(find func(text string) (decision.NodeID, bool), name func(decision.NodeID) string) {
	f.find, f.nameOf = find, name
}

// Run takes part until ctx ends.
func (f *Participant) Run(ctx context.Context) error {
	var all sync.WaitGroup
	defer all.Wait()
	if f.o.Listener != nil {
		all.Go(func() { f.serve(ctx) })
	}
	f.follow = func() { all.Go(func() { f.keepSource(ctx) }) }
	if f.id == 0 {
		f.follow()
	}
	for _, v := range f.o.Voters {
		if f.id != 0 && v.Name != f.name {
			all.Go(func() { f.keepVoter(ctx, v) })
		}
	}
	all.Go(func() { f.publish(ctx) })
	slog.Info("fleet: taking part", "as", f.name, "slot", f.o.Slot, "votes", f.id != 0, "incarnation", f.inc)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case fn := <-f.calls:
			fn()
		case <-timer.C:
		case <-ctx.Done():
			f.stop()
			return nil
		}
		for range len(f.calls) {
			(<-f.calls)()
		}
		now := f.o.Now()
		timer.Reset(max(0, f.step(now)-now))
	}
}

// call has the core's goroutine do something; false: it has ended.
func (f *Participant) call(ctx context.Context, fn func()) bool {
	select {
	case f.calls <- fn:
		return true
	case <-ctx.Done():
		return false
	}
}

// stop ends what is in hand.
func (f *Participant) stop() {
	for _, p := range f.pending {
		p.done(statemachine.Result{}, &UncertainOutcomeError{Cause: context.Canceled})
	}
	clear(f.pending)
}

// step does what is due and tells when to come again.
func (f *Participant) step(now time.Duration) (next time.Duration) {
	next = now + time.Second
	if f.node != nil {
		next = min(next, f.vote(now))
	}
	next = min(next, f.keepSession(now), f.resend(now))
	if now >= f.due.beat {
		f.due.beat = now + beatEvery
		f.beats(now)
	}
	if now >= f.due.report {
		f.due.report = now + f.o.ReportInterval
		f.report()
		f.changed = true // whoever could not act on a view gets another
	}
	next = min(next, f.due.beat, f.due.report, f.sendUp(now))
	f.feedAll()
	if f.node != nil { // what was proposed just now leaves at once
		f.sendPackets()
	}
	if f.changed && now >= f.due.publish {
		f.changed, f.due.publish = false, now+publishEvery
		f.show(now)
	}
	if f.changed {
		next = min(next, f.due.publish)
	}
	return next
}
