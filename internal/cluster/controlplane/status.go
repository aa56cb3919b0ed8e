package controlplane

import (
	"time"

	"flaxfront/internal/decision/statemachine"
)

// notRenewed is BrokerStatus.Ago of a broker to which this leader has not granted a lease.
const notRenewed = time.Duration(-1)

// Status is the leader's state, as committed by a majority. The names of its fields are the keys of its JSON.
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

// BrokerStatus is a registered broker, and when the leader last renewed its lease.
type BrokerStatus struct {
	statemachine.Broker
	State string
	Ago   time.Duration // since its lease was renewed; negative: this leader has not renewed it
}

// NodeStatus is a node of the agreed node list.
type NodeStatus struct {
	statemachine.Node
	Name   string
	Permit uint64 // number of the permit by which it may be or is out of service; 0: none
}

// DrainStatus is a drain and the brokers that have not acknowledged it.
type DrainStatus struct {
	Drain   statemachine.NodeDrain
	Node    string // the node's name
	Done    bool
	Awaited []statemachine.Slot
}

func (p *Participant) status(now time.Duration) *Status {
	policies := p.state.Policies()
	status := &Status{
		Leader:   p.name,
		Term:     p.leadership.term,
		Index:    p.state.AppliedIndex(),
		Protocol: p.state.TierProtocol(),
		Epoch:    p.state.Epoch(),
		Policy:   policies.InForce,
		Waiting:  policies.Waiting,
	}
	for _, broker := range p.state.Brokers() {
		ago := notRenewed
		if session := p.leadership.sessions[broker.Slot]; session.incarnation == broker.Incarnation {
			ago = now - session.grantedAt
		}
		status.Brokers = append(status.Brokers, BrokerStatus{Broker: broker, State: broker.Status.String(), Ago: ago})
	}
	for _, node := range p.state.Nodes() {
		permit, _ := p.state.NodePermit(node.Node)
		status.Nodes = append(status.Nodes, NodeStatus{Node: node, Name: p.nodeName(node.Node), Permit: permit.Number})
	}
	if present, ok := p.state.Release(); ok {
		status.Release = &present
	}
	for _, drain := range p.state.Drains() {
		status.Drains = append(status.Drains, DrainStatus{
			Drain:   drain,
			Node:    p.nodeName(drain.Node),
			Done:    p.state.IsDrained(drain.Node),
			Awaited: p.state.MissingDrainAcks(drain.Node),
		})
	}
	return status
}
