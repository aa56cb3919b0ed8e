package controlplane

import (
	"slices"
	"sync/atomic"
	"time"

	"flaxfront/internal/cluster/consensus"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
)

// maxTasks bounds the tasks queued for the loop. Queuing another one blocks.
const maxTasks = 256

// PolicyCompiler compiles the text of a connection policy into a log entry.
type PolicyCompiler func(text string, s *statemachine.State) (*statemachine.ConnectionPolicy, error)

// Participant is a broker's part in the control plane. Its counts and exported methods may be used from any goroutine.
type Participant struct {
	Counts Counts

	options        Options
	name           string
	voterID        uint64 // raft's id of this voter; 0: this broker has no vote
	tasks          chan func()
	latestView     atomic.Pointer[View]
	viewChanged    chan struct{}
	topics         []Topic
	reportSections []ReportSection
	leaderTasks    []LeaderTask
	findNode       func(string) (decision.NodeID, bool)
	nodeName       func(decision.NodeID) string
	compilePolicy  PolicyCompiler // nil: connection budgets are not divided
	serving        atomic.Bool
	leaving        atomic.Bool

	loopState // used by the loop's goroutine only
}

// loopState is the state that only the goroutine of Run uses.
type loopState struct {
	raft           *consensus.Node // nil: this broker has no vote
	state          *statemachine.State
	haltedBy       error // the error of an entry of a newer version, at which applying has halted; nil: none
	voterStopped   bool  // this voter no longer votes, and follows the other voters
	startFollowing func()
	dueAt          schedule

	connections  map[*conn]bool
	voterConns   map[string]*conn            // connections that this voter has dialled, by the other voter's name
	source       *conn                       // the connection to the broker that this one follows; nil: none
	sourcePath   []string                    // names of brokers from a voter down to the source
	sourcePathAt time.Duration               // when the source last had a path
	routes       map[statemachine.Slot]*conn // over which a renewal of the slot last came; grants return there
	outbox       upstreamFrame               // waits to be sent towards the leader
	outboxUrgent bool                        // the outbox is sent at the next step, without delay

	incarnation  uint64
	registering  bool // a proposal of RegisterBroker or ReturnToService is in flight
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

// New returns a participant that has no connections until Run. The name in its certificate determines whether it is a voter, and which.
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

// voterIDOf returns raft's id of the voter at an index of Options.Voters.
func voterIDOf(index int) uint64 { return uint64(index + 1) }

// voterByID returns the voter with an id of raft.
func (p *Participant) voterByID(id uint64) Voter { return p.options.Voters[id-1] }

// voterIndex returns a broker's index in Options.Voters, or -1 if it has no vote.
func (p *Participant) voterIndex(name string) int {
	return slices.IndexFunc(p.options.Voters, func(v Voter) bool { return v.Name == name })
}

// isVoting reports whether this broker is a voter that has not stopped.
func (p *Participant) isVoting() bool { return p.voterID != 0 && !p.voterStopped }

// isLeader reports whether this broker believes that it leads.
func (p *Participant) isLeader() bool { return p.raft != nil && p.raft.IsLeader() }

// SetPolicyCompiler sets the compiler of connection policies. It must be called before Run.
func (p *Participant) SetPolicyCompiler(compile PolicyCompiler) { p.compilePolicy = compile }

// SetNodeNames sets the functions that find a node by name or address, and that return its name. It must be called before Run.
func (p *Participant) SetNodeNames(find func(text string) (decision.NodeID, bool), name func(decision.NodeID) string) {
	p.findNode = find
	p.nodeName = name
}

// SetServing tells the participant that this broker accepts queries, so that it registers as in service.
func (p *Participant) SetServing() { p.serving.Store(true) }

// SetLeaving tells the participant that this process is stopping: it does not register again, and hands over its leadership.
func (p *Participant) SetLeaving() { p.leaving.Store(true) }

// Now returns the time by the clock of Options.Now, which the times in views refer to.
func (p *Participant) Now() time.Duration { return p.options.Now() }
