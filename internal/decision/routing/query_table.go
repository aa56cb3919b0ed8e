package routing

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// attempt is one try of a shard request at a node.
type attempt struct {
	node            nodeIndex
	inFlight        bool
	sentAt          time.Duration
	callsPerReplica float64       // calls in flight per available replica when the attempt was sent
	idleTime        time.Duration // how long the connection to the node had been idle before; 0 if calls were in flight
}

// shardRequest is the part of a query that one shard answers.
type shardRequest struct {
	id           uint64
	shard        int
	weight       float64
	expectedWait float64 // of a first attempt, over the time left; see dispatcher.waitScale
	attempts     []attempt
	inFlight     int // attempts in flight
	answered     bool
	abandoned    bool // no further attempt is sent
	hedged       bool
	retried      bool          // a retry was sent; allowAnotherRetry clears this
	mayHaveRun   bool          // an attempt that has ended may have been executed
	mayHaveRunAt time.Duration // when the earliest such attempt was sent
	allowed      *decision.AllowedReplicas
}

// notePossibleRun records that an attempt sent at a time may have been executed.
func (sr *shardRequest) notePossibleRun(sentAt time.Duration) {
	if !sr.mayHaveRun || sentAt < sr.mayHaveRunAt {
		sr.mayHaveRun = true
		sr.mayHaveRunAt = sentAt
	}
}

// query is a query in flight.
type query struct {
	generation            uint32
	id                    uint64
	inUse                 bool
	dispatched            bool // the shard requests of the current phase were sent or shed
	secondPhase           bool
	firstPhaseComplete    bool // in the second phase: the answer of the first was complete
	serial                float32
	queryType             *decision.QueryType
	tenant                int
	expectedRequests      int
	clientTimeSpent       time.Duration // of the client's timeout before this query arrived, if it is a retry; otherwise 0
	deadline              time.Duration // of the current phase, after which it is answered with what has arrived
	overallDeadline       time.Duration // of the last phase
	hardDeadline          time.Duration // when the query must get a result, shortly before the client's timeout
	answeredWeight        float64
	answeredRequests      int
	waiting               bool          // a first attempt waits for an unconfirmed node or a health check
	replicasCheckedAt     time.Duration // when health checks were sent to replicas of its shard requests; 0: never
	shardsMoved           bool          // its shards have moved to other cells since it arrived: no further attempts are sent
	quiet                 bool          // until an attempt ends, only the passage of time affects it; see noteQuiet
	oldestHedgeableSentAt time.Duration // if quiet: when the oldest attempt that may be hedged was sent; never: none
	requests              []shardRequest
}

// unansweredWeight returns the total weight of the shard requests that may still be answered.
func (q *query) unansweredWeight() (sum float64) {
	for i := range q.requests {
		sr := &q.requests[i]
		if !sr.answered && !sr.abandoned {
			sum += sr.weight
		}
	}
	return sum
}

// noneRan reports whether no shard request of the query can have been executed.
func (q *query) noneRan() bool {
	ran := func(sr shardRequest) bool { return sr.inFlight > 0 || sr.mayHaveRun || sr.answered }
	return !q.secondPhase && !slices.ContainsFunc(q.requests, ran)
}

// wholeQuery is the value of reference.request that refers to the query itself.
const wholeQuery = -1

// reference locates a query or shard request in the table. It is stale if the slot's generation differs, as the slot was reused since.
type reference struct {
	slot       int32
	request    int32 // or wholeQuery
	generation uint32
}

// queryTable holds the queries in flight. A slot is reused together with the memory of its shard requests.
type queryTable struct {
	slots      []query
	freeSlots  []int32
	usedSlots  bitset
	references map[uint64]reference
	inFlight   int   // queries and their expected shard requests
	newestSlot int32 // the slot of the query that was added last
}

// add adds a query in a free slot.
func (t *queryTable) add(e *decision.Event, queryType *decision.QueryType) *query {
	slot := t.takeFreeSlot()
	q := &t.slots[slot]
	*q = query{
		generation:       q.generation,
		id:               e.ID,
		inUse:            true,
		serial:           e.Serial,
		queryType:        queryType,
		tenant:           e.Tenant,
		expectedRequests: int(e.Weight),
		requests:         q.requests[:0],
	}
	t.references[e.ID] = reference{slot, wholeQuery, q.generation}
	t.inFlight += 1 + q.expectedRequests
	t.newestSlot = slot
	t.usedSlots.set(slot)
	return q
}

// takeFreeSlot returns a free slot; the table grows if there is none.
func (t *queryTable) takeFreeSlot() int32 {
	if n := len(t.freeSlots); n > 0 {
		slot := t.freeSlots[n-1]
		t.freeSlots = t.freeSlots[:n-1]
		return slot
	}
	t.slots = append(t.slots, query{})
	return int32(len(t.slots) - 1)
}

// remove frees the slot of a query without shard requests.
func (t *queryTable) remove(slot int32) {
	q := &t.slots[slot]
	delete(t.references, q.id)
	q.inUse = false
	q.generation++
	t.inFlight -= 1 + q.expectedRequests
	t.usedSlots.clear(slot)
	t.freeSlots = append(t.freeSlots, slot)
}

// addShardRequest adds a shard request to the query with its serial number, if that query is in flight.
func (t *queryTable) addShardRequest(e *decision.Event) {
	slot := t.slotOfSerial(e.Serial)
	if slot < 0 {
		return
	}
	q := &t.slots[slot]
	n := len(q.requests)
	if n < cap(q.requests) {
		q.requests = q.requests[:n+1]
	} else {
		q.requests = append(q.requests, shardRequest{})
	}
	q.requests[n] = shardRequest{
		id:        e.ID,
		shard:     e.Shard,
		weight:    e.Weight,
		allowed:   e.Allowed,
		attempts:  q.requests[n].attempts[:0],
		abandoned: q.shardsMoved,
	}
	q.quiet = false
	t.references[e.ID] = reference{slot, int32(n), q.generation}
}

// slotOfSerial returns the slot of the query with a serial number, or -1. It tries the newest query first, as shard requests usually
// follow their query directly.
func (t *queryTable) slotOfSerial(serial float32) int32 {
	if q := &t.slots[t.newestSlot]; q.inUse && q.serial == serial {
		return t.newestSlot
	}
	return int32(slices.IndexFunc(t.slots, func(q query) bool { return q.inUse && q.serial == serial }))
}

// find returns the reference to a query or shard request, and whether that is in flight.
func (t *queryTable) find(id uint64) (reference, bool) {
	ref, known := t.references[id]
	return ref, known && t.slots[ref.slot].generation == ref.generation
}
