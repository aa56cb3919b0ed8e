package routing

import (
	"time"

	"flaxfront/internal/decision"
)

// messageKind says what a message tells, and which of its fields are set.
type messageKind uint8

const (
	eventReceived       messageKind = iota // to the dispatcher or the list watcher: event
	sweepDue                               // to the dispatcher: look at every query in flight
	statusChanged                          // to the dispatcher: node, status
	endpointListed                         // to a node: endpoint
	attemptSent                            // to a node
	healthCheckAnswered                    // to a node
	attemptEnded                           // to a node: outcome, elapsed
	gossipReceived                         // to a node: ejectedBySender
	ticked                                 // to a node: elapsed, calls, usualLatency, sendInterval; to the list watcher: none
)

type message struct {
	kind            messageKind
	outcome         decision.Outcome
	node            nodeIndex
	elapsed         time.Duration // ticked: since the oldest call was sent that the node still owes an answer; 0: there is none
	calls           int           // that the node owes answers
	usualLatency    time.Duration // that the node is compared with
	sendInterval    time.Duration // usual time between two attempts to a node
	ejectedBySender bool          // another broker has ejected the node; false: it has reinstated it
	status          endpointStatus
	event           *decision.Event
	endpoint        decision.Endpoint
}

// endpointStatus is what a nodeHealth lets the dispatcher know.
type endpointStatus struct {
	mode             endpointMode
	cell             int
	capacityShare    float64       // of a node that is warming up, of what a warmed-up one is sent; otherwise 1
	costFactor       float64       // as how many calls one call to the node counts
	unreachable      bool          // the last connection failed
	unconfirmedSince time.Duration // 0: it is confirmed
}

// receiver handles the messages of its inbox.
type receiver interface {
	handle(m *message)
}

type inbox struct {
	receiver receiver
	messages []message
	pending  bool
}

func (r *Router) post(b *inbox, m message) {
	b.messages = append(b.messages, m)
	if !b.pending {
		b.pending = true
		r.pendingInboxes = append(r.pendingInboxes, b)
	}
}

// deliver hands over all messages, those too that are sent meanwhile.
func (r *Router) deliver() {
	for i := 0; i < len(r.pendingInboxes); i++ {
		b := r.pendingInboxes[i]
		for j := 0; j < len(b.messages); j++ {
			b.receiver.handle(&b.messages[j])
		}
		b.messages = b.messages[:0]
		b.pending = false
	}
	r.pendingInboxes = r.pendingInboxes[:0]
}
