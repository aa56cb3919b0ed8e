package controlplane

import (
	"slices"
	"sync/atomic"
	"time"

	"flaxfront/internal/cluster/consensus"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
)

// maxTasks bounds the tasks queued for the loop. Whoever queues more waits.
const maxTasks = 256

// PolicyCompiler turns the text of a connection policy into its entry.
type PolicyCompiler func(text string, s *statemachine.State) (*statemachine.ConnectionPolicy, error)

// Participant is a broker's part in the control plane. Views, counts and exported methods may be used from any goroutine.
type Participant struct {
	Counts Counts

	options        Options
	name           string
	voterID        uint64 // raft's; 0: it follows without a vote
	tasks          chan func()
	latestView     atomic.Pointer[View]
	viewChanged    chan struct{}
	topics         []Topic
	reportSections []ReportSection
	leaderTasks    []LeaderTask
	findNode       func(string) (decision.NodeID, bool)
	nodeName       func(decision.NodeID) string
	compilePolicy  PolicyCompiler // nil: connections are not divided
	serving        atomic.Bool
	leaving        atomic.Bool

	loopState // of the loop's goroutine alone
}

// loopState is what only the goroutine of Run uses.
type loopState struct {
	raft           *consensus.Node // nil: it has no vote
	state          *statemachine.State
	haltedBy       error // an entry of a newer version: nothing later is applied
	voterStopped   bool  // this voter has stopped, and only follows from then on
	startFollowing func()
	dueAt          schedule

	connections  map[*conn]bool
	voterConns   map[string]*conn // dialled, by the voter's name
	source       *conn            // followed
	sourcePath   []string         // from a voter down to the source
	sourcePathAt time.Duration    // when the source last had a path
	routes       map[statemachine.Slot]*conn
	outbox       upstreamFrame // waits to be sent towards the leader
	outboxUrgent bool

	incarnation  uint64
	registering  bool // a proposal to register or to return is in flight
	session      sessionLease
	pending      map[uint64]*proposal
	lastSequence uint64
	pendingReads map[uint64]func(error)
	lastReadID   uint64

	leadership       leadership
	recentEntries    recentEntries
	incomingSnapshot incomingSnapshot
	viewOutdated     bool
	nodesChanged     bool // a line of the agreed node list may have changed since the last view
}

// schedule holds when each periodic job is due.
type schedule struct {
	heartbeat time.Duration
	report    time.Duration
	renewal   time.Duration
	outbox    time.Duration
	view      time.Duration
	register  time.Duration
}

// New returns a participant; nothing is opened yet. Which voter it is, if any, its certificate says.
func New(o Options) (*Participant, error) {
	o = o.withDefaults()
	p := &Participant{
		options:     o,
		name:        o.Keys.ID().Broker,
		tasks:       make(chan func(), maxTasks),
		viewChanged: make(chan struct{}, 1),
		findNode:    func(string) (id decision.NodeID, ok bool) { return id, false },
		nodeName:    decision.NodeID.String,
		loopState: loopState{
			state:        statemachine.New(),
			connections:  map[*conn]bool{},
			voterConns:   map[string]*conn{},
			routes:       map[statemachine.Slot]*conn{},
			incarnation:  o.Incarnation,
			pending:      map[uint64]*proposal{},
			pendingReads: map[uint64]func(error){},
		},
	}
	p.latestView.Store(&View{})
	index := p.voterIndex(p.name)
	if index < 0 {
		return p, nil
	}
	if o.Storage == nil || o.Listener == nil {
		return nil, &VoterConfigError{Name: p.name}
	}
	return p, p.openRaft(index)
}

func (p *Participant) openRaft(index int) error {
	o := &p.options
	p.voterID = voterIDOf(index)
	var ids []uint64
	for i := range o.Voters {
		ids = append(ids, voterIDOf(i))
	}
	var err error
	p.raft, err = consensus.New(consensus.Config{
		ID:                p.voterID,
		Voters:            ids,
		ElectionTimeout:   o.ElectionTimeout,
		HeartbeatInterval: o.HeartbeatInterval,
		Seed:              o.Seed,
		Storage:           o.Storage,
		StateMachine:      appliedMachine{p},
		MaxEntryBytes:     maxEntryBytes,
	}, o.Now())
	return err
}

// voterIDOf is the id that raft knows a voter by.
func voterIDOf(index int) uint64 { return uint64(index + 1) }

// voterByID is the voter that raft knows by an id.
func (p *Participant) voterByID(id uint64) Voter { return p.options.Voters[id-1] }

// voterIndex is a broker's place among the voters; negative: it has no vote.
func (p *Participant) voterIndex(name string) int {
	return slices.IndexFunc(p.options.Voters, func(v Voter) bool { return v.Name == name })
}

// isVoting reports whether this broker is a voter that works.
func (p *Participant) isVoting() bool { return p.voterID != 0 && !p.voterStopped }

// isLeader reports whether this broker leads.
func (p *Participant) isLeader() bool { return p.raft != nil && p.raft.IsLeader() }

// SetPolicyCompiler sets the compiler of connection policies. It is called before Run.
func (p *Participant) SetPolicyCompiler(compile PolicyCompiler) { p.compilePolicy = compile }

// SetNodeNames sets how nodes are found by name or address, and what they are called. It is called before Run.
func (p *Participant) SetNodeNames(find func(text string) (decision.NodeID, bool), name func(decision.NodeID) string) {
	p.findNode = find
	p.nodeName = name
}

// SetServing says that this broker takes queries: it counts as returned to service.
func (p *Participant) SetServing() { p.serving.Store(true) }

// SetLeaving says that this process stops: it does not register again.
func (p *Participant) SetLeaving() { p.leaving.Store(true) }

// Now is the clock of views.
func (p *Participant) Now() time.Duration { return p.options.Now() }
