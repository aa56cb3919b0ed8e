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
	Proposed, Retried, Refused             atomic.Uint64
	Snapshots, SourceChanges               atomic.Uint64
}

// Participant is this broker's part of the agreement.
type Participant struct {
	options        Options
	name           string
	voterID        uint64 // Raft's; 0: it follows without a vote
	tasks          chan func()
	latestView     atomic.Pointer[View]
	viewChanged    chan struct{}
	topics         []Topic
	reportSections []ReportSection
	leaderTasks    []LeaderTask
	findNode       func(string) (decision.NodeID, bool)
	nodeName       func(decision.NodeID) string
	compilePolicy  func(text string, s *statemachine.State) (*statemachine.ConnectionPolicy, error) // nil: no budgets are divided

	serving, leaving atomic.Bool

	Counts Counts

	// What follows belongs to the goroutine of run.
	raft             *consensus.Node
	state            *statemachine.State
	recentEntries    recentEntries
	haltedBy         error
	startFollowing   func() // starts to keep a source
	viewOutdated     bool
	nodesChanged     bool // a line of the agreed list may stand otherwise
	connections      map[*conn]bool
	voterConns       map[string]*conn // dialled
	source           *conn            // followed
	sourcePath       []string
	sourcePathAt     time.Duration // when the source last had a path
	routes           map[statemachine.Slot]*conn
	outbox           upstreamFrame // waits to be sent on
	outboxUrgent     bool
	incarnation      uint64
	pending          map[uint64]*proposal
	lastSequence     uint64
	session          sessionLease
	leadership       leadership
	incomingSnapshot incomingSnapshot
	registering      bool // a Register or Return is on its way
	pendingReads     map[uint64]func(error)
	lastReadID       uint64
	voterStopped     bool // this voter has stopped; it follows from then on
	dueAt            struct{ beat, report, renew, up, publish, join time.Duration }
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
	f := &Participant{options: o, name: o.Keys.ID().Broker, tasks: make(chan func(), 256), viewChanged: make(chan struct{}, 1), state: statemachine.New(),
		connections: map[*conn]bool{}, voterConns: map[string]*conn{}, routes: map[statemachine.Slot]*conn{}, incarnation: o.Incarnation,
		findNode: func(string) (id decision.NodeID, ok bool) { return id, false }, nodeName: decision.NodeID.String,
		pending: map[uint64]*proposal{}, pendingReads: map[uint64]func(error){}}
	if len(f.options.Sources) == 0 {
		for _, v := range o.Voters {
			f.options.Sources = append(f.options.Sources, v.Addr)
		}
	}
	f.latestView.Store(&View{})
	i := slices.IndexFunc(o.Voters, func(v Voter) bool { return v.Name == f.name })
	if i < 0 {
		return f, nil
	}
	if o.Storage == nil || o.Listener == nil {
		return nil, &VoterConfigError{Name: f.name}
	}
	f.voterID = uint64(i + 1)
	var ids []uint64
	for i := range o.Voters {
		ids = append(ids, uint64(i+1))
	}
	var err error
	f.raft, err = consensus.New(consensus.Config{ID: f.voterID, Voters: ids, ElectionTimeout: o.ElectionTimeout, HeartbeatInterval: o.HeartbeatInterval, Seed: o.Seed, Storage: o.Storage,
		StateMachine: appliedMachine{f}, MaxEntryBytes: maxEntryBytes}, o.Now())
	return f, err
}

// SetPolicyCompiler gives the way from a policy's text to its entry, before Run.
func (p *Participant) SetPolicyCompiler(fn func(text string, s *statemachine.State) (*statemachine.ConnectionPolicy, error)) {
	p.compilePolicy = fn
}

// SetNodeNames gives nodes' names, as this broker's list has them: the node of a name or address, and the name of a node. Before Run.
func (p *Participant) SetNodeNames(find func(text string) (decision.NodeID, bool), name func(decision.NodeID) string) {
	p.findNode, p.nodeName = find, name
}

// Run takes part until ctx ends.
func (p *Participant) Run(ctx context.Context) error {
	var all sync.WaitGroup
	defer all.Wait()
	if p.options.Listener != nil {
		all.Go(func() { p.acceptConnections(ctx) })
	}
	p.startFollowing = func() { all.Go(func() { p.followSource(ctx) }) }
	if p.voterID == 0 {
		p.startFollowing()
	}
	for _, v := range p.options.Voters {
		if p.voterID != 0 && v.Name != p.name {
			all.Go(func() { p.maintainVoterConn(ctx, v) })
		}
	}
	all.Go(func() { p.deliverViews(ctx) })
	slog.Info("fleet: taking part", "as", p.name, "slot", p.options.Slot, "votes", p.voterID != 0, "incarnation", p.incarnation)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case fn := <-p.tasks:
			fn()
		case <-timer.C:
		case <-ctx.Done():
			p.failPending()
			return nil
		}
		for range len(p.tasks) {
			(<-p.tasks)()
		}
		now := p.options.Now()
		timer.Reset(max(0, p.step(now)-now))
	}
}

// runInLoop has the core's goroutine do something; false: it has ended.
func (p *Participant) runInLoop(ctx context.Context, fn func()) bool {
	select {
	case p.tasks <- fn:
		return true
	case <-ctx.Done():
		return false
	}
}

// failPending ends what is in hand.
func (p *Participant) failPending() {
	for _, waiting := range p.pending {
		waiting.done(statemachine.Result{}, &UncertainOutcomeError{Cause: context.Canceled})
	}
	clear(p.pending)
}

// step does what is due and tells when to come again.
func (p *Participant) step(now time.Duration) (next time.Duration) {
	next = now + time.Second
	if p.raft != nil {
		next = min(next, p.advanceRaft(now))
	}
	next = min(next, p.maintainSession(now), p.sendPending(now))
	if now >= p.dueAt.beat {
		p.dueAt.beat = now + heartbeatInterval
		p.sendHeartbeats(now)
	}
	if now >= p.dueAt.report {
		p.dueAt.report = now + p.options.ReportInterval
		p.queueReport()
		p.viewOutdated = true // whoever could not act on a view gets another
	}
	next = min(next, p.dueAt.beat, p.dueAt.report, p.sendOutbox(now))
	p.feedFollowers()
	if p.raft != nil { // what was proposed just now leaves at once
		p.sendPackets()
	}
	if p.viewOutdated && now >= p.dueAt.publish {
		p.viewOutdated, p.dueAt.publish = false, now+viewInterval
		p.updateView(now)
	}
	if p.viewOutdated {
		next = min(next, p.dueAt.publish)
	}
	return next
}
