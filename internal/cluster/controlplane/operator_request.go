package controlplane

import (
	"encoding/json"
	"fmt"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
)

// The verbs of operators' requests.
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

// Request is the body of an operator's request. The verb determines which fields are used.
type Request struct {
	Node    string          `json:"node,omitempty"` // name or ADDRESS:PORT
	Broker  string          `json:"broker,omitempty"`
	Release uint64          `json:"release,omitempty"` // number; 0: the current release
	Reason  string          `json:"reason,omitempty"`
	Text    string          `json:"text,omitempty"` // of a connection policy
	Plan    *ReleaseRequest `json:"plan,omitempty"`
}

// operatorCall is an operator's request to which this broker responds.
type operatorCall struct {
	participant *Participant
	conn        *conn
	id          uint64
}

// handleRequest handles an operator's request; the response may be sent after handleRequest has returned. Only the leader carries requests
// out: a status contains what a majority has committed, and a change is answered once its entry is applied.
func (p *Participant) handleRequest(c *conn, frame requestFrame) {
	if c.peer.Role != roleOperator {
		return
	}
	call := &operatorCall{participant: p, conn: c, id: frame.ID}
	if !p.isLeader() || !p.leadership.established {
		call.redirect()
		return
	}
	if frame.Verb == VerbStatus {
		p.confirmedRead(func(err error) { call.answer(p.status(p.options.Now()), err) })
		return
	}
	var request Request
	if err := json.Unmarshal(frame.Body, &request); err != nil {
		call.answer(nil, &InvalidRequestError{"the request is not valid JSON: " + err.Error()})
		return
	}
	// The entry depends on all that was committed before, such as which release is the current one.
	p.confirmedRead(func(err error) { call.propose(frame.Verb, &request, err) })
}

func (c *operatorCall) propose(verb string, request *Request, readErr error) {
	p := c.participant
	var entry statemachine.Entry
	err := readErr
	if err == nil {
		entry, err = p.entryFor(verb, request)
	}
	if err != nil || !p.connections[c.conn] {
		c.answer(nil, err)
		return
	}
	sequence := p.propose(entry, func(r statemachine.Result, err error) { c.answer(r.Number, err) })
	c.conn.operatorProposals = append(c.conn.operatorProposals, sequence)
}

func (c *operatorCall) answer(body any, err error) {
	response := responseFrame{ID: c.id}
	if err == nil {
		response.Body, err = json.Marshal(body)
	}
	if err != nil {
		response.Body = nil
		response.Error = err.Error()
		response.Remedy = remedyOf(err)
	}
	c.participant.send(c.conn, frameResponse, response)
}

// redirect rejects the request and names the leader, if one is known.
func (c *operatorCall) redirect() {
	p := c.participant
	err := &NotLeaderError{}
	if p.raft != nil {
		if leader := p.raft.Leader(); leader != 0 && leader != p.voterID {
			err.Leader = p.voterByID(leader).Name
		}
	}
	p.send(c.conn, frameResponse, responseFrame{
		ID:        c.id,
		Error:     err.Error(),
		Remedy:    err.Remedy(),
		Leader:    err.Leader,
		NotLeader: true,
	})
}

// entryFor returns the log entry that carries out a request.
func (p *Participant) entryFor(verb string, r *Request) (statemachine.Entry, error) {
	releaseNumber := r.Release
	if present, ok := p.state.Release(); ok && releaseNumber == 0 {
		releaseNumber = present.Number
	}
	switch verb {
	case VerbRelease:
		return p.releasePlan(r.Plan)
	case VerbHalt:
		return &statemachine.HaltRelease{Release: releaseNumber, Reason: r.Reason}, nil
	case VerbResume:
		return &statemachine.ResumeRelease{Release: releaseNumber}, nil
	case VerbRollBack:
		return &statemachine.RollBackRelease{Release: releaseNumber, Reason: r.Reason}, nil
	case VerbDrain, VerbUndrain, VerbNodeOut, VerbNodeReturned:
		return p.nodeEntryFor(verb, r)
	case VerbRemoveBroker:
		slots, err := p.slotsByName([]string{r.Broker})
		if err != nil {
			return nil, err
		}
		return &statemachine.RemoveBroker{Slot: slots[0]}, nil
	case VerbPolicy, VerbRollBackPolicy:
		return p.policyEntryFor(verb, r.Text)
	}
	return nil, &InvalidRequestError{fmt.Sprintf("unknown verb %.40q", verb)}
}

func (p *Participant) policyEntryFor(verb, text string) (statemachine.Entry, error) {
	if p.compilePolicy == nil {
		return nil, &InvalidRequestError{"the leader does not divide connection budgets: fleet.budgets is false there"}
	}
	if verb == VerbRollBackPolicy {
		previous := p.state.Policies().Previous
		if previous == nil {
			return nil, &InvalidRequestError{"there is no earlier policy to return to"}
		}
		text = previous.Text
	}
	return p.compilePolicy(text, p.state)
}

func (p *Participant) nodeEntryFor(verb string, r *Request) (statemachine.Entry, error) {
	node, err := p.nodeID(r.Node)
	if err != nil {
		return nil, err
	}
	permit, hasPermit := p.state.NodePermit(node)
	switch verb {
	case VerbUndrain:
		return &statemachine.UndrainNode{Node: node}, nil
	case VerbNodeReturned:
		if !hasPermit {
			return nil, &InvalidRequestError{"no release permits this node to be out of service"}
		}
		return &statemachine.ReturnToService{Incarnation: permit.Number, ForNode: true, Node: node}, nil
	case VerbNodeOut:
		if !hasPermit {
			return nil, &InvalidRequestError{"no release permits this node to go out of service now"}
		}
		return &statemachine.UsePermit{
			Permit:      permit.Number,
			Slot:        p.options.Slot,
			Incarnation: p.incarnation,
			ForNode:     true,
			Node:        node,
		}, nil
	}
	return &statemachine.DrainNode{Node: node, Reason: r.Reason}, nil
}

// nodeID returns the id of a node that an operator gives by name or address.
func (p *Participant) nodeID(text string) (decision.NodeID, error) {
	id, ok := p.findNode(text)
	if !ok {
		return id, &InvalidRequestError{fmt.Sprintf("node %.80q is not in the leader's node list", text)}
	}
	return id, nil
}
