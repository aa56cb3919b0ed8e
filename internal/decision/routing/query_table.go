package routing

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// attempt is one sending of a shard request.
type attempt struct {
	node            nodeIndex
	inFlight        bool
	sentAt          time.Duration
	callsPerReplica float64       // in flight when it was sent
	idleTime        time.Duration // how long nothing had passed between this broker and the node
}

// shardRequest is what one shard contributes to a query.
type shardRequest struct {
	id           uint64
	shard        int
	weight       float64
	expectedWait float64 // over the time left
	attempts     []attempt
	inFlight     int // attempts
	answered     bool
	abandoned    bool // no further attempt is made
	hedged       bool
	retried      bool
	mayHaveRun   bool          // an attempt that ended may have run
	mayHaveRunAt time.Duration // when the first such was sent
	allowed      *decision.AllowedReplicas
}

// notePossibleRun notes that an attempt sent at that time may have run.
func (sr *shardRequest) notePossibleRun(sentAt time.Duration) {
	if !sr.mayHaveRun || sentAt < sr.mayHaveRunAt {
		sr.mayHaveRun = true
		sr.mayHaveRunAt = sentAt
	}
}

// addQuery is a query in flight.
type query struct {
	generation            uint32
	id                    uint64
	inUse                 bool
	dispatched            bool // its shard requests of this phase were looked at
	secondPhase           bool
	firstPhaseComplete    bool // second phase: the first answer was complete
	serial                float32
	queryType             *decision.QueryType
	tenant                int
	expectedRequests      int
	clientTimeSpent       time.Duration // of the client's time before this query, where it is a retry
	deadline              time.Duration // of this phase
	overallDeadline       time.Duration // of all phases
	hardDeadline          time.Duration // when a result must be given, shortly before the client's timeout
	answeredWeight        float64
	answeredRequests      int
	waiting               bool          // a shard request waits for an unconfirmed node or a health check
	replicasCheckedAt     time.Duration // when the replicas of its shard requests were checked; 0: they were not
	shardsMoved           bool          // its shards are on other cells by now: nothing is sent to another node
	quiet                 bool          // only time can change anything of it
	oldestHedgeableSentAt time.Duration // quiet: when the first attempt was sent that may be hedged; never: there is none
	requests              []shardRequest
}

// unansweredWeight is the weight of the shard requests that may still be answered.
func (q *query) unansweredWeight() (sum float64) {
	for i := range q.requests {
		sr := &q.requests[i]
		if !sr.answered && !sr.abandoned {
			sum += sr.weight
		}
	}
	return sum
}

// noneRan reports whether no shard request of the query can have run.
func (q *query) noneRan() bool {
	ran := func(sr shardRequest) bool { return sr.inFlight > 0 || sr.mayHaveRun || sr.answered }
	return !q.secondPhase && !slices.ContainsFunc(q.requests, ran)
}

// wholeQuery stands in a reference for the query itself.
const wholeQuery = -1

// reference is where a query or shard request is kept. The generation tells whether the slot was used again since.
type reference struct {
	slot       int32
	request    int32 // or wholeQuery
	generation uint32
}

// queryTable holds the queries in flight. Slots are used again with the memory of their shard requests.
type queryTable struct {
	slots      []query
	freeSlots  []int32
	usedSlots  bitset
	references map[uint64]reference
	inFlight   int   // that the queries in flight and their shard requests take
	newestSlot int32 // the slot of the query that came last
}

// add puts a query into a free slot.
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

// addShardRequest adds a shard request to the query of its serial number, if that is in flight.
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

// slotOfSerial finds a query by its serial number; as a rule shard requests follow their query at once.
func (t *queryTable) slotOfSerial(serial float32) int32 {
	if q := &t.slots[t.newestSlot]; q.inUse && q.serial == serial {
		return t.newestSlot
	}
	return int32(slices.IndexFunc(t.slots, func(q query) bool { return q.inUse && q.serial == serial }))
}

// find looks up a query or shard request that is in flight.
func (t *queryTable) find(id uint64) (reference, bool) {
	ref, known := t.references[id]
	return ref, known && t.slots[ref.slot].generation == ref.generation
}
