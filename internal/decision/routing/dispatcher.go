package routing

import (
	"time"

	"flaxfront/internal/decision"
)

// dispatcher holds the queries in flight and sends their shard requests.
type dispatcher struct {
	router             *Router
	inbox              inbox
	nextDueAt          time.Duration // time of the next step that is needed; never: none
	endpoints          endpointTable
	queries            queryTable
	tableCrowded       bool       // the queries in flight are close to Settings.MaxInFlight
	usualRemainingTime []majority // of a query on its arrival, by query type
	latency            fleetLatency
	shardLatencies     []shardLatency // by cell
	flows              nodeFlows
	extraBudget        extraBudget
	shedding           loadShedding
	zones              zoneTable
	failuresAlike      bool // attempts fail at all nodes alike
	idleConnections    idleConnections
}

func (d *dispatcher) initialise(r *Router) {
	d.router = r
	d.inbox.recipient = d
	d.nextDueAt = never
	d.queries.references = map[uint64]reference{}
	d.idleConnections.shortestFailedIdle = never
	d.extraBudget.credit = initialCredit
	d.shedding.meanValue = 1
	d.shedding.meanRequests = 1
	d.allocate()
	shortest := never
	for i := range r.settings.QueryTypes {
		shortest = min(shortest, r.settings.QueryTypes[i].LatencyObjective)
	}
	d.latency.assume(shortest)
}

// allocate creates the tables whose sizes depend on the settings, empty.
func (d *dispatcher) allocate() {
	s := d.router.settings
	d.usualRemainingTime = make([]majority, len(s.QueryTypes))
	d.shedding.tenantArrivals = make([]rate, len(s.Tenants))
	d.flows.byCell = make([]rate, s.Cells)
	d.shardLatencies = make([]shardLatency, s.Cells)
	d.endpoints.resize(s.Cells, s.CellsPerShard)
}

// reconfigure applies the router's new settings; shardsMoved has the meaning that it has in Router.Reconfigure.
func (d *dispatcher) reconfigure(shardsMoved bool) {
	d.allocate()
	d.endpoints.rebuildCells()
	if !shardsMoved {
		return
	}
	for slot := range d.queries.usedSlots.all {
		q := &d.queries.slots[slot]
		q.shardsMoved = true
		q.quiet = false
		for i := range q.requests {
			sr := &q.requests[i]
			sr.abandoned = sr.abandoned || len(sr.attempts) == 0
		}
	}
}

// scheduleStep requests a step at the given time or earlier.
func (d *dispatcher) scheduleStep(at time.Duration) { d.nextDueAt = min(d.nextDueAt, at) }

func (d *dispatcher) handle(m *message) {
	switch m.kind {
	case statusChanged:
		d.handleStatus(m.node, &m.status)
	case sweepDue:
		d.sweep()
	case eventReceived:
		d.handleEvent(m.event)
	}
}

func (d *dispatcher) handleEvent(e *decision.Event) {
	switch e.Kind {
	case decision.QueryReceived:
		d.handleQuery(e)
	case decision.ShardRequestReceived:
		d.extraBudget.noteReceived(d.router.settings, d.router.now)
		d.queries.addShardRequest(e)
	case decision.AttemptEnded:
		d.handleAttemptEnded(e)
	case decision.HealthCheckEnded:
		d.handleHealthCheckEnded(e)
	case decision.ClientDeparted:
		if ref, known := d.queries.find(e.ID); known && ref.request == wholeQuery {
			d.remove(ref.slot)
		}
	}
}

// handleStatus applies a status that a nodeHealth reported to the endpoint of its node.
func (d *dispatcher) handleStatus(index nodeIndex, s *endpointStatus) {
	t := &d.endpoints
	e := &t.all[index]
	if e.slowStart.share == 1 && s.capacityShare < 1 {
		e.slowStart.share = s.capacityShare
		d.beginSlowStart(e)
	}
	if e.available() && s.mode == modeEjected && !s.unreachable {
		d.observeZone(e, decision.TimedOut, 0)
	}
	t.adjustWarmedUp(e, -1)
	t.move(index, s.cell)
	if e.confirmation.since != s.unconfirmedSince {
		e.confirmation.since = s.unconfirmedSince
		e.confirmation.window = initialWindow
		e.confirmation.startOffset = d.router.random.share()
	}
	t.needTick.set(int32(index))
	e.mode = s.mode
	e.cell = s.cell
	e.slowStart.share = s.capacityShare
	e.costFactor = s.costFactor
	e.unreachable = s.unreachable
	t.adjustWarmedUp(e, 1)
}

// handleQuery adds a query to the table, or fails it if its type is unknown.
func (d *dispatcher) handleQuery(e *decision.Event) {
	r := d.router
	if e.Type >= len(r.settings.QueryTypes) {
		r.log(logUnknownQueryType, e.Type)
		r.act(decision.Action{Kind: decision.FailQuery, ID: e.ID})
		return
	}
	q := d.queries.add(e, &r.settings.QueryTypes[e.Type])
	d.shedding.countArrival(q.tenant, r.now)
	d.extraBudget.noteReceived(r.settings, r.now)
	d.setDeadlines(q, e)
	d.setTimeSpent(q, e)
}

// sweep checks every query in flight: it completes, dispatches, hedges, retries or ends what is due, and skips quiet queries.
func (d *dispatcher) sweep() {
	d.nextDueAt = never
	d.detectFailuresAlike()
	d.updateAvoidedZones()
	d.tableCrowded = float64(d.queries.inFlight) > crowdedTableShare*float64(d.router.settings.MaxInFlight)
	for slot := range d.queries.usedSlots.all {
		q := &d.queries.slots[slot]
		if q.quiet && d.staysQuiet(q) {
			continue
		}
		d.advance(slot)
		if q.inUse {
			d.scheduleStep(q.hardDeadline)
			if q.deadline > d.router.now {
				d.scheduleStep(q.deadline)
			}
		}
	}
}

// advance does what is due now for one query.
func (d *dispatcher) advance(slot int32) {
	q := &d.queries.slots[slot]
	if q.dispatched {
		d.completeIfReady(slot)
	}
	if !q.inUse {
		return
	}
	if q.dispatched {
		d.sendHedgesAndRetries(q)
		d.completeIfReady(slot)
		d.noteQuiet(q)
		return
	}
	if !q.secondPhase || len(q.requests) > 0 || d.router.now >= q.hardDeadline {
		d.dispatch(slot)
	}
}

// dispatch sends the shard requests of a query's current phase, or ends the query if it is shed or out of time.
func (d *dispatcher) dispatch(slot int32) {
	q := &d.queries.slots[slot]
	q.dispatched = true
	if d.router.now >= q.hardDeadline || !q.secondPhase && d.shed(q) {
		d.abandon(slot)
		return
	}
	d.checkReplicas(q)
	d.sendFirstAttempts(q)
	d.completeIfReady(slot)
}

// sendFirstAttempts sends the first attempt of each shard request that has had none.
func (d *dispatcher) sendFirstAttempts(q *query) {
	for i := range q.requests {
		sr := &q.requests[i]
		if sr.abandoned || len(sr.attempts) > 0 {
			continue
		}
		index := d.selectForFirstAttempt(q, sr)
		sr.abandoned = index == noReplica
		if index < 0 {
			q.waiting = q.waiting || index == waitForReplica
			continue
		}
		d.send(sr, index)
		d.extraBudget.earn()
	}
}
