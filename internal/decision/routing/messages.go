package routing

import (
	"time"

	"flaxfront/internal/decision"
)

// messageKind determines the meaning of a message, its recipient and which of its fields are set.
type messageKind uint8

const (
	eventReceived       messageKind = iota // to the dispatcher or the list watcher: event
	sweepDue                               // to the dispatcher: check every query in flight
	statusChanged                          // to the dispatcher: node, status
	endpointListed                         // to a node: endpoint
	attemptSent                            // to a node
	healthCheckAnswered                    // to a node
	attemptEnded                           // to a node: outcome, elapsed
	gossipReceived                         // to a node: ejectedBySender
	ticked                                 // to a node: elapsed, calls, usualLatency, sendInterval; to the list watcher: no fields
)

// message is sent from one part of the router to another within a step.
type message struct {
	kind            messageKind
	outcome         decision.Outcome
	node            nodeIndex
	elapsed         time.Duration // ticked: age of the oldest pending call to the node, 0 if there is none; attemptEnded: age of the attempt
	calls           int           // pending calls to the node
	usualLatency    time.Duration // latency that the node's is compared with
	sendInterval    time.Duration // usual time between two attempts to a node
	ejectedBySender bool          // whether the sending broker has ejected the node (true) or reinstated it (false)
	status          endpointStatus
	event           *decision.Event
	endpoint        decision.Endpoint
}

// endpointStatus is what a nodeHealth reports to the dispatcher.
type endpointStatus struct {
	mode             endpointMode
	cell             int
	capacityShare    float64       // load allowed while the node is warming up, as a share of a warmed-up node's; otherwise 1
	costFactor       float64       // how many calls one call to the node counts as
	unreachable      bool          // the last connection failed
	unconfirmedSince time.Duration // 0: the node's entry in the endpoint list is confirmed
}

// receiver handles the messages of its inbox.
type receiver interface {
	handle(m *message)
}

// inbox holds the messages that wait for a receiver.
type inbox struct {
	recipient receiver
	messages  []message
	pending   bool // in Router.pending
}

// post adds a message to an inbox.
func (r *Router) post(b *inbox, m message) {
	b.messages = append(b.messages, m)
	if !b.pending {
		b.pending = true
		r.pending = append(r.pending, b)
	}
}

// deliver delivers all messages, including those that are posted during the delivery.
func (r *Router) deliver() {
	for i := 0; i < len(r.pending); i++ {
		b := r.pending[i]
		for j := 0; j < len(b.messages); j++ {
			b.recipient.handle(&b.messages[j])
		}
		b.messages = b.messages[:0]
		b.pending = false
	}
	r.pending = r.pending[:0]
}
