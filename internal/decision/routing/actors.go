// Package routing holds every decision of flaxfront. A front calls New once with the Terms of its start,
// then Turn for each batch of events, and carries out the actions that Turn appends, in their order.
// The interface (events, actions, terms) lives in package broker.
//
// Three kinds of actor share the work: the desk (searches in hand), one node actor for each store node
// (its health) and the keeper (the node list). They talk only by notes; Logic.run empties the inboxes.
//
// Depends on decision. Concurrency: one goroutine calls it; the actors inside are no goroutines.
package routing

// This file owns how notes travel between the actors, and what a front calls. It holds no decision.

import (
	"encoding/binary"
	"flaxfront/internal/decision"
	"fmt"
	"hash"
	"hash/fnv"
	"slices"
	"time"
)

type noteKind uint8

const (
	event    noteKind = iota // desk, keeper: ev
	sweep                    // desk: look at every search in hand
	standing                 // desk: node's mode and cold share changed
	listed                   // node, desk: a list line
	sent                     // node: a part went to it
	vouched                  // node: it answered a probe
	ended                    // node: outcome, took
	rumour                   // node: a peer tells that it is sick, or well again
	tick                     // node: took is how long its oldest part is out (0: none), calls how many calls
)

type note struct {
	kind    noteKind
	mode    mode
	outcome decision.Outcome
	node    int32
	took    time.Duration
	calls   int
	share   float64
	slow    float64
	downed  bool
	eased   time.Duration // standing: since when it is eased in; 0: it is not
	sick    bool          // rumour
	limp    time.Duration // tick: the latency it is held against
	gap     time.Duration // tick: usual time between two parts that a node is sent
	ev      *decision.Event
	entry   decision.Endpoint
}

// actor reads the notes of its inbox.
type actor interface {
	read(n *note)
}

type inbox struct {
	to     actor
	notes  []note
	queued bool
}

func (l *Router) post(b *inbox, n note) {
	b.notes = append(b.notes, n)
	if !b.queued {
		b.queued = true
		l.ready = append(l.ready, b)
	}
}

func (l *Router) run() {
	for i := 0; i < len(l.ready); i++ {
		b := l.ready[i]
		for j := 0; j < len(b.notes); j++ {
			b.to.read(&b.notes[j])
		}
		b.notes, b.queued = b.notes[:0], false
	}
	l.ready = l.ready[:0]
}

func (l *Router) logf(format string, args ...any) {
	l.out = append(l.out, decision.Action{Kind: decision.LogMessage, Text: fmt.Sprintf(format, args...)})
}

// rand draws from [0, 1).
func (l *Router) rand() float64 {
	l.counter++
	binary.BigEndian.PutUint64(l.draw[:], l.counter)
	binary.BigEndian.PutUint64(l.draw[8:], l.t.Seed)
	l.chance.Reset()
	l.chance.Write(l.draw[:])
	return float64(l.chance.Sum64()>>11) / (1 << 53)
}

// mode is what the desk may do with a node.
type mode uint8

const (
	gone  mode = iota // not listed, or draining
	shut              // distrusted: no new work
	trial             // distrusted: one part, to see
	cold              // started a short while ago: within its ration
	fit
)

// Router is one broker's decisions.
type Router struct {
	t       *decision.Settings
	now     time.Duration
	armed   time.Duration // the earliest wake asked for and not yet come
	out     []decision.Action
	ready   []*inbox
	desk    desk
	keeper  keeper
	nodes   []*node
	byID    map[decision.NodeID]int32
	vacant  []int32 // places of nodes that the list ended
	chance  hash.Hash64
	draw    [16]byte
	counter uint64
	shares  []float64     // of parts that fail, of each listed node, sorted
	longest time.Duration // that a search is in hand
	news    []byte        // what peers are told at the end of the turn
}

// New makes the decisions of one broker.
func New(t decision.Settings) *Router {
	l := &Router{t: &t, armed: -1, byID: map[decision.NodeID]int32{}, chance: fnv.New64a()}
	for i := range t.QueryTypes {
		l.longest = max(l.longest, t.QueryTypes[i].Timeout)
	}
	l.desk.start(l)
	l.keeper = keeper{l: l, box: inbox{to: &l.keeper}, backoff: askFirst}
	return l
}

// Reconfigure has the module go on under new terms. What is in hand ends as the terms say under which it was taken; all that was
// learned stays, the budget of further sub-requests too. moved: shards lie elsewhere now, or other nodes hold them. Then parts in
// hand are sent to no other node, and the front empties the node list first.
func (l *Router) Reconfigure(t decision.Settings, moved bool) {
	t.Seed = l.t.Seed
	if t.ExtraAttemptsWindow > l.t.ExtraAttemptsWindow { // what was sent so long ago is not known: the stated few count as spent
		l.desk.extras = append(l.desk.extras, slices.Repeat([]time.Duration{l.now}, int(t.ExtraAttemptsMin))...)
	}
	l.t = &t
	for i := range t.QueryTypes {
		l.longest = max(l.longest, t.QueryTypes[i].Timeout)
	}
	l.desk.relay(moved)
}

// Step takes one batch of events and appends what is to be done.
func (l *Router) Step(now time.Duration, events []decision.Event, actions []decision.Action) []decision.Action {
	l.now, l.out = now, actions
	for i := range events {
		switch ev := &events[i]; ev.Kind {
		case decision.FullListReceived, decision.ListUpdateReceived, decision.ListPollFailed:
			l.post(&l.keeper.box, note{kind: event, ev: ev})
			l.run() // parts later in the batch need the list
		case decision.GossipReceived:
			l.hear(ev.Payload)
		default:
			l.post(&l.desk.box, note{kind: event, ev: ev})
		}
	}
	l.run()
	l.post(&l.keeper.box, note{kind: tick})
	gap := time.Duration(float64(time.Second) / max(1e-3, l.desk.flow.usual(now)))
	for i := range l.desk.stirred.all {
		n, b := l.nodes[i], &l.desk.board[i]
		if len(b.calls) == 0 && (b.mode == gone || b.mode == fit && b.slow == 1) {
			l.desk.stirred.clear(i) // nothing that time alone can change
			continue
		}
		owed := b.owed()
		k := note{kind: tick, calls: len(owed), limp: l.usual(n), gap: gap}
		if len(owed) > 0 {
			k.took = max(1, now-owed[0].at)
		}
		l.post(&n.box, k)
	}
	l.run()
	l.post(&l.desk.box, note{kind: sweep})
	l.run()
	if len(l.news) > 0 {
		l.out = append(l.out, decision.Action{Kind: decision.SendGossip, Text: string(l.news)})
		l.news = l.news[:0]
	}
	if l.armed >= 0 && l.armed <= now {
		l.armed = -1
	}
	if at := min(l.desk.next, l.keeper.next); at < never && (l.armed < 0 || at < l.armed) {
		l.armed = max(at, now+1)
		l.out = append(l.out, decision.Action{Kind: decision.SetTimer, TimerAt: l.armed})
	}
	actions, l.out = l.out, nil
	return actions
}

// Peers are told facts of factSize bytes: which kind, then a node's id or a tenant's number.
const (
	factSize  = 7
	factsMost = 36 // a message holds 256 bytes
	factSick  = 's'
	factWell  = 'w'
)

// spread keeps a fact for the peers.
func (l *Router) spread(kind byte, id decision.NodeID) {
	if l.t.GossipAllowed && len(l.news) < factsMost*factSize {
		l.news = append(append(l.news, kind), id.Addr[:]...)
		l.news = binary.BigEndian.AppendUint16(l.news, id.Port)
	}
}

// hear hands on what a peer told; what makes no sense is skipped.
func (l *Router) hear(text []byte) {
	for ; len(text) >= factSize; text = text[factSize:] {
		id := decision.NodeID{Addr: [4]byte(text[1:]), Port: binary.BigEndian.Uint16(text[5:])}
		if at, known := l.byID[id]; known {
			l.post(&l.nodes[at].box, note{kind: rumour, sick: text[0] == factSick})
		}
	}
}

const never = time.Duration(1<<63 - 1)
