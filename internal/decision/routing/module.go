// Package routing makes the routing decisions of one broker: which replica gets a shard request, when a hedge or a retry is sent,
// which queries are shed, which nodes are ejected, warming up or degraded, and when a query gets its result.
//
// A front end calls New with the settings of the deployment, then Router.Step with each batch of events, and carries out the actions
// that Step appends, in their order. Events, actions and settings are types of package decision. The package does no I/O and reads
// no clock. Every random draw depends only on Settings.Seed and the draws before it, so equal events lead to equal actions.
//
// A Router must be used by one goroutine. Inside it the work is divided between the dispatcher (the queries in flight), one nodeHealth
// for each store node and the listWatcher (the endpoint list). They exchange messages, which Router.deliver delivers inbox by inbox.
// Each decision has a file of its own with its constants; the files that only hold state are dispatcher.go, query_table.go,
// attempts.go, quiet.go, node_health.go, endpoint_table.go, endpoint_list.go, gossip.go, log_messages.go, messages.go, this one, and
// those of small data structures. deploy/balancer.toml lists the others under policy.
package routing

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// never is later than any time that is reached; it stands for "no time".
const never = time.Duration(1<<63 - 1)

// Router makes the decisions of one broker. It implements decision.Router.
type Router struct {
	settings       *decision.Settings
	now            time.Duration
	timerAt        time.Duration // the earliest requested timer that has not fired; negative: none
	actions        []decision.Action
	pending        []*inbox // the inboxes that hold messages
	dispatcher     dispatcher
	list           listWatcher
	nodes          []*nodeHealth
	indexes        map[decision.NodeID]nodeIndex
	freeIndexes    []nodeIndex // of forgotten nodes, for reuse
	random         randomSource
	failureShares  shareRanking  // failure shares of the listed nodes
	longestTimeout time.Duration // the longest of a query type, under any settings so far
	gossip         []byte        // the message that is sent at the end of the step
}

var _ decision.Router = (*Router)(nil)

// New returns the router of one broker. It has no endpoints or queries yet.
func New(settings decision.Settings) *Router {
	r := &Router{
		settings: &settings,
		timerAt:  -1,
		indexes:  map[decision.NodeID]nodeIndex{},
		random:   newRandomSource(settings.Seed),
	}
	r.updateLongestTimeout()
	r.dispatcher.initialise(r)
	r.list = listWatcher{router: r, backoff: initialPollBackoff}
	r.list.inbox.recipient = &r.list
	return r
}

// Reconfigure changes the router's settings. Queries in flight keep the query type under which they arrived. What the router has
// learned of the nodes is kept, as is the budget of extra attempts. shardsMoved tells that shards are in other cells now, or that the
// nodes of a cell have changed: shard requests in flight then get no further attempts. In that case the caller has emptied the endpoint
// list first.
func (r *Router) Reconfigure(settings decision.Settings, shardsMoved bool) {
	settings.Seed = r.settings.Seed
	if settings.ExtraAttemptsWindow > r.settings.ExtraAttemptsWindow {
		r.dispatcher.extraBudget.extendWindow(r.now, int(settings.ExtraAttemptsMin))
	}
	r.settings = &settings
	r.updateLongestTimeout()
	r.dispatcher.reconfigure(shardsMoved)
}

// updateLongestTimeout raises longestTimeout to the longest timeout of the settings.
func (r *Router) updateLongestTimeout() {
	for i := range r.settings.QueryTypes {
		r.longestTimeout = max(r.longestTimeout, r.settings.QueryTypes[i].Timeout)
	}
}

// Step handles the events since the last call, in their order of arrival. It appends the resulting actions to the slice actions and
// returns it.
func (r *Router) Step(now time.Duration, events []decision.Event, actions []decision.Action) []decision.Action {
	r.now = now
	r.actions = actions
	for i := range events {
		r.handleEvent(&events[i])
	}
	r.deliver()
	r.post(&r.list.inbox, message{kind: ticked})
	r.tickNodes()
	r.deliver()
	r.post(&r.dispatcher.inbox, message{kind: sweepDue})
	r.deliver()
	r.sendGossip()
	r.setTimer()
	actions = r.actions
	r.actions = nil
	return actions
}

func (r *Router) handleEvent(e *decision.Event) {
	switch e.Kind {
	case decision.FullListReceived, decision.ListUpdateReceived, decision.ListPollFailed:
		r.post(&r.list.inbox, message{kind: eventReceived, event: e})
		r.deliver() // so that the list applies to the shard requests later in the batch
	case decision.GossipReceived:
		r.handleGossip(e.Payload)
	default:
		r.post(&r.dispatcher.inbox, message{kind: eventReceived, event: e})
	}
}

// tickNodes sends a tick to each node whose state may change with time alone. A node needs no more ticks once no call to it is in flight
// and it is either unlisted, or warmed up and not degraded.
func (r *Router) tickNodes() {
	d := &r.dispatcher
	sendInterval := time.Duration(float64(time.Second) / max(1e-3, d.flows.fleet.usual(r.now)))
	for i := range d.endpoints.needTick.all {
		index := nodeIndex(i)
		n := r.nodes[index]
		e := &d.endpoints.all[index]
		settled := e.mode == modeUnlisted || e.mode == modeWarmedUp && e.costFactor == 1
		if len(e.calls) == 0 && settled {
			d.endpoints.needTick.clear(i)
			continue
		}
		pending := e.pendingCalls()
		m := message{kind: ticked, calls: len(pending), usualLatency: r.usualLatency(n), sendInterval: sendInterval}
		if len(pending) > 0 {
			m.elapsed = max(1, r.now-pending[0].sentAt)
		}
		r.post(&n.inbox, m)
	}
}

// sendGossip sends the gossip entries of the step to the other brokers in one message.
func (r *Router) sendGossip() {
	if len(r.gossip) == 0 {
		return
	}
	r.act(decision.Action{Kind: decision.SendGossip, Text: string(r.gossip)})
	r.gossip = r.gossip[:0]
}

// setTimer requests a timer for the next step that is needed, unless an earlier one is set.
func (r *Router) setTimer() {
	if r.timerAt >= 0 && r.timerAt <= r.now {
		r.timerAt = -1
	}
	nextDueAt := min(r.dispatcher.nextDueAt, r.list.nextDueAt)
	if nextDueAt < never && (r.timerAt < 0 || nextDueAt < r.timerAt) {
		r.timerAt = max(nextDueAt, r.now+1)
		r.act(decision.Action{Kind: decision.SetTimer, TimerAt: r.timerAt})
	}
}

// act appends an action.
func (r *Router) act(a decision.Action) { r.actions = append(r.actions, a) }

// Snapshot returns the number of attempts in flight and the number of listed nodes that are ejected.
func (r *Router) Snapshot() (inFlight, ejected int) {
	for i, n := range r.nodes {
		for _, c := range r.dispatcher.endpoints.all[i].calls {
			inFlight += c.attempts
		}
		if n.listed && n.ejected {
			ejected++
		}
	}
	return inFlight, ejected
}

// IsAvailable reports whether a node is listed and not ejected.
func (r *Router) IsAvailable(id decision.NodeID) bool {
	index, known := r.indexes[id]
	return known && r.dispatcher.endpoints.all[index].available()
}

// HasAvailableReplica reports whether any node that holds the shard is listed and not ejected.
func (r *Router) HasAvailableReplica(shard int) bool {
	t := &r.dispatcher.endpoints
	return slices.ContainsFunc(t.replicas(shard), func(i nodeIndex) bool { return t.all[i].available() })
}
