package forwarding

import (
	"fmt"
	"strings"
	"time"

	"flaxfront/internal/decision"
)

// The model checks the protocol of one forwarded query with the real Forwarder and Receiver. It tries every interleaving of events at the
// link, the two processes, the nodes, the client and the clock up to a given depth, and explores each state once.
//
// The rules: 1. A query gets exactly one result, in time, unless its client left. 2. A non-idempotent query runs at most once, no query
// is admitted again while it runs, and a query that has run is not shed unless it is idempotent. 5. An answered query has run.

// model is one state. It is built by replaying the choices that lead to it, as the real code can't be copied.
type model struct {
	variant        string
	idempotency    decision.Idempotency
	forwarder      *Forwarder
	receiver       *Receiver
	now            time.Duration
	epoch          uint64
	newestLink     uint64 // the newest link; 0: none yet
	up             bool   // as the forwarding side sees it
	linkEnded      bool   // the newest link has ended, and the forwarder has not been told
	outbox         []msg  // of the forwarding side, not yet written to the network
	toReceiver     map[uint64][]msg
	toForwarder    []msg // over the newest link
	receiverLink   uint64
	lastEndedLink  uint64 // links up to this one ended with the receiving process
	remoteInFlight bool   // the remote router has the query
	keptResult     *msg   // kept by the receiving side
	returned       bool   // the forwarding site's router has the query
	offered        bool
	clientLeft     bool
	result         string
	resultCount    int
	runCount       int
	violation      string
	mayHaveRun     bool // the forwarding side returned it as one that may have run and must not be shed
	ranLocally     bool // the forwarding site's router sends a non-idempotent shard request only once
	ranRemotely    bool
	cuts           int
	kills          int
}

type msg struct {
	kind  string // ask, cancel, answered, rejected, failed
	retry bool
}

const queryID = 7

var modelPolicy = Policy{
	ForwardShare:     0.1,
	Burst:            5,
	MaxForwarded:     10,
	MinRemainingTime: 20 * time.Millisecond,
	AnswerReserve:    50 * time.Millisecond,
	ResumeTimeout:    200 * time.Millisecond,
	RemoteShare:      0.5,
	MaxRemembered:    4,
}

func newModel(variant string, idempotency decision.Idempotency) *model {
	m := &model{variant: variant, idempotency: idempotency, forwarder: NewForwarder(modelPolicy, []string{"remote"}), receiver: NewReceiver(modelPolicy),
		epoch: 1, toReceiver: map[uint64][]msg{}}
	return m
}

func (m *model) recordViolation(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// run executes the query at a node of either site.
func (m *model) run() {
	m.runCount++
	if m.idempotency == decision.NonIdempotent && m.runCount > 1 {
		m.recordViolation("rule 2: the query has run %d times", m.runCount)
	}
	if m.idempotency == decision.NonIdempotent && m.result == "shed" {
		m.recordViolation("rule 2: the query ran after it was shed")
	}
}

func (m *model) recordResult(outcome string) {
	if m.clientLeft {
		return
	}
	if m.resultCount++; m.resultCount > 1 {
		m.recordViolation("rule 1: second result %s after %s", outcome, m.result)
	}
	m.result = outcome
	if outcome == "shed" && m.idempotency != decision.Idempotent && m.runCount > 0 {
		m.recordViolation("rule 2: the query was shed after it had run")
	}
	if outcome == "answered" && m.runCount == 0 {
		m.recordViolation("rule 5: the query was answered but has not run")
	}
}

// executeActions carries out the actions of the forwarding side.
func (m *model) executeActions() {
	for actions := m.forwarder.DrainActions(); len(actions) > 0; actions = m.forwarder.DrainActions() {
		m.execute(actions)
	}
}

func (m *model) execute(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Forward:
			m.forward(a)
		case Cancel:
			if !m.linkEnded {
				m.outbox = append(m.outbox, msg{"cancel", false})
			}
		case Resubmit:
			m.returned, m.mayHaveRun = true, a.MayHaveRun
		case Shed:
			m.recordResult("shed")
		case Fail:
			m.recordResult("failed")
		}
	}
}

// forward queues the query, unless the link has ended.
func (m *model) forward(a Action) {
	switch {
	case !m.linkEnded:
		m.outbox = append(m.outbox, msg{"ask", a.Retry})
	case m.variant == "not sent is taken for rejected":
		m.forwarder.HandleResult(0, queryID, Rejected, m.now)
	default:
		m.forwarder.HandleNotSent(0, queryID, m.now)
	}
}

func (m *model) origin() Origin { return Origin{"origin", 1} }

// sendResult sends a result to the forwarding side over the newest link, if the receiving process has that link.
func (m *model) sendResult(v msg) {
	if m.receiverLink == m.newestLink && m.up {
		m.toForwarder = append(m.toForwarder, v)
	}
}

// endRemote ends the query at the remote router with a result.
func (m *model) endRemote(v msg) {
	m.remoteInFlight = false
	if m.receiver.QueryEnded(Key{m.origin(), queryID}) {
		m.keptResult = &v
	}
	m.sendResult(v)
}

// deliver passes a message from a link to the receiving side.
func (m *model) deliver(conn uint64, in msg, full bool) {
	k := Key{m.origin(), queryID}
	if in.kind == "cancel" {
		if m.receiver.Cancel(k) && m.remoteInFlight {
			m.endRemote(msg{kind: "failed"})
		}
		return
	}
	if m.variant == "a receiving side that forgets" {
		delete(m.receiver.remembered, k)
	}
	if full {
		m.receiver.QueryShed(m.now)
	} else {
		m.receiver.lastShedAt = 0
	}
	switch m.receiver.HandleQuery(RemoteQuery{k, conn, m.idempotency, 1, time.Second}, Load{Capacity: 100}, m.now) {
	case Admit:
		if m.remoteInFlight {
			m.recordViolation("rule 2: the query is admitted again while it runs")
		}
		m.remoteInFlight, m.ranRemotely = true, false
	case Reject:
		m.sendResult(msg{kind: "rejected"})
	case AlreadyEnded:
		if m.keptResult != nil {
			m.sendResult(*m.keptResult)
		}
	}
}

func (m *model) String() string {
	var b strings.Builder
	fmt.Fprint(&b, m.now, m.epoch, m.newestLink, m.up, m.linkEnded, m.outbox, m.toReceiver, m.toForwarder, m.receiverLink, m.lastEndedLink,
		m.remoteInFlight, m.returned, m.mayHaveRun, m.offered, m.clientLeft, m.result,
		m.runCount, m.ranLocally, m.ranRemotely, m.cuts, m.kills)
	if m.keptResult != nil {
		fmt.Fprint(&b, *m.keptResult)
	}
	for _, t := range m.forwarder.queries {
		fmt.Fprint(&b, *t)
	}
	for _, k := range m.receiver.remembered {
		fmt.Fprint(&b, *k)
	}
	fmt.Fprint(&b, m.receiver.newestLinks, m.forwarder.links[0].up, m.forwarder.links[0].inFlight)
	return b.String()
}
