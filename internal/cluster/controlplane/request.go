package controlplane

// This file owns operators' requests, which the leader answers: what it tells is what a majority knows, and what it proposes is
// answered when it is agreed.

import (
	"encoding/json"
	"fmt"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
)

// The verbs of requests.
const (
	VerbStatus         = "status"
	VerbRelease        = "release"
	VerbHalt           = "halt"
	VerbResume         = "resume"
	VerbRollBack       = "back"
	VerbDrain          = "drain"
	VerbUndrain        = "undrain"
	VerbNodeOut        = "out"
	VerbNodeReturned   = "returned"
	VerbRemoveBroker   = "forget"
	VerbPolicy         = "policy"
	VerbRollBackPolicy = "policy-back"
)

// Request is what an operator asks for.
type Request struct {
	Node    string          `json:"node,omitempty"` // by name or ADDRESS:PORT
	Broker  string          `json:"broker,omitempty"`
	Release uint64          `json:"release,omitempty"` // 0: the present one
	Reason  string          `json:"reason,omitempty"`
	Text    string          `json:"text,omitempty"` // of a policy
	Plan    *ReleaseRequest `json:"plan,omitempty"`
}

// ReleaseRequest is a release as an operator asks for it.
type ReleaseRequest struct {
	Name             string   `json:"name"`
	From             string   `json:"from"`
	To               string   `json:"to"`
	Brokers          []string `json:"brokers,omitempty"` // none, and no nodes: all, those that vote last
	Nodes            []string `json:"nodes,omitempty"`
	Batches          []uint32 `json:"batches,omitempty"`
	MaxOut           uint32   `json:"most"`
	MaxOutPerZone    uint32   `json:"most_zone,omitempty"`
	MinReadyReplicas uint32   `json:"least,omitempty"`
	PauseMS          uint64   `json:"pause_ms,omitempty"`
	Gates            string   `json:"gates,omitempty"`
}

// Status is what there is.
type Status struct {
	Leader   string
	Term     uint64
	Index    uint64
	Protocol uint64
	Brokers  []BrokerStatus
	Release  *statemachine.Release          `json:",omitempty"`
	Drains   []DrainStatus                  `json:",omitempty"`
	Policy   *statemachine.ConnectionPolicy `json:",omitempty"`
	Waiting  *statemachine.ConnectionPolicy `json:",omitempty"`
	Epoch    uint64
	Nodes    []NodeStatus `json:",omitempty"`
}

// BrokerStatus is a broker and when the leader heard it.
type BrokerStatus struct {
	statemachine.Broker
	State string
	Ago   time.Duration // since its lease was renewed; negative: not under this leader
}

// NodeStatus is an agreed node.
type NodeStatus struct {
	statemachine.Node
	Name   string
	Permit uint64 // by which it may go out, or has; 0: none
}

// DrainStatus is a drain and the brokers that have not acknowledged it.
type DrainStatus struct {
	Drain   statemachine.NodeDrain
	Node    string // its name
	Done    bool
	Awaited []statemachine.Slot
}

// nodeID finds a node by the name or address that an operator gives.
func (f *Participant) nodeID(text string) (decision.NodeID, error) {
	id, ok := f.find(text)
	if !ok {
		return id, &InvalidRequestError{fmt.Sprintf("no node %.80q is in the leader's list", text)}
	}
	return id, nil
}

// takeAsk answers an operator, perhaps later.
func (f *Participant) takeAsk(c *conn, m ask) {
	answer := func(body any, err error) {
		s := said{ID: m.ID}
		if err != nil {
			s.Fault, s.Remedy = err.Error(), remedyOf(err)
		} else if s.Body, err = json.Marshal(body); err != nil {
			s.Fault = err.Error()
		}
		f.put(c, letterSaid, s)
	}
	if c.peer.Role != roleOperator {
		return
	}
	if f.node == nil || !f.node.IsLeader() || !f.lead.on {
		e := &NotLeaderError{}
		if f.node != nil {
			if l := f.node.Leader(); l != 0 && l != f.id {
				e.Leader = f.o.Voters[l-1].Name
			}
		}
		f.put(c, letterSaid, said{ID: m.ID, Fault: e.Error(), Remedy: e.Remedy(), Leader: e.Leader, Elsewhere: true})
		return
	}
	if m.Verb == VerbStatus {
		f.read(func(err error) { answer(f.status(f.o.Now()), err) })
		return
	}
	var r Request
	if err := json.Unmarshal(m.Body, &r); err != nil {
		answer(nil, &InvalidRequestError{"the request cannot be read: " + err.Error()})
		return
	}
	// What was agreed before this moment counts, such as which release is the present one.
	f.read(func(err error) {
		var e statemachine.Entry
		if err == nil {
			e, err = f.wanted(m.Verb, &r)
		}
		if err != nil || !f.conns[c] {
			answer(nil, err)
			return
		}
		c.asks = append(c.asks, f.start(e, func(r statemachine.Result, err error) { answer(r.Number, err) }))
	})
}

// wanted makes an entry of a request.
func (f *Participant) wanted(verb string, r *Request) (statemachine.Entry, error) {
	release := r.Release
	if now, ok := f.state.Release(); ok && release == 0 {
		release = now.Number
	}
	switch verb {
	case VerbRelease:
		return f.plan(r.Plan)
	case VerbHalt:
		return &statemachine.HaltRelease{Release: release, Reason: r.Reason}, nil
	case VerbResume:
		return &statemachine.ResumeRelease{Release: release}, nil
	case VerbRollBack:
		return &statemachine.RollBackRelease{Release: release, Reason: r.Reason}, nil
	case VerbDrain, VerbUndrain, VerbNodeOut, VerbNodeReturned:
		return f.wantedNode(verb, r)
	case VerbRemoveBroker:
		slots, err := f.slots([]string{r.Broker})
		if err != nil {
			return nil, err
		}
		return &statemachine.RemoveBroker{Slot: slots[0]}, nil
	case VerbPolicy, VerbRollBackPolicy:
		if f.compile == nil {
			return nil, &InvalidRequestError{"this program divides no budgets: fleet.budgets is false"}
		}
		if verb == VerbRollBackPolicy {
			before := f.state.Policies().Previous
			if before == nil {
				return nil, &InvalidRequestError{"there is no policy before the one in force"}
			}
			r.Text = before.Text
		}
		return f.compile(r.Text, f.state)
	}
	return nil, &InvalidRequestError{fmt.Sprintf("no such verb: %.40q", verb)}
}

func (f *Participant) status(now time.Duration) *Status {
	s := &Status{Leader: f.name, Term: f.lead.term, Index: f.state.AppliedIndex(), Protocol: f.state.TierProtocol(), Epoch: f.state.Epoch()}
	for _, b := range f.state.Brokers() {
		ago := time.Duration(-1)
		if h := f.lead.sessions[b.Slot]; h.inc == b.Incarnation {
			ago = now - h.at
		}
		s.Brokers = append(s.Brokers, BrokerStatus{b, b.Status.String(), ago})
	}
	for _, n := range f.state.Nodes() {
		p, _ := f.state.NodePermit(n.Node)
		s.Nodes = append(s.Nodes, NodeStatus{n, f.nameOf(n.Node), p.Number})
	}
	if r, ok := f.state.Release(); ok {
		s.Release = &r
	}
	for _, d := range f.state.Drains() {
		s.Drains = append(s.Drains, DrainStatus{d, f.nameOf(d.Node), f.state.IsDrained(d.Node), f.state.MissingDrainAcks(d.Node)})
	}
	policies := f.state.Policies()
	s.Policy, s.Waiting = policies.InForce, policies.Waiting
	return s
}
