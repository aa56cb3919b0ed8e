package forwarding

import (
	"time"

	"flaxfront/internal/decision"
)

const (
	sheddingPeriod    = 500 * time.Millisecond // after an own query was shed
	lateMessagePeriod = 2 * time.Second        // a query is remembered so long past its deadline, for messages that arrive late
)

// Origin is a process of another site that forwards queries.
type Origin struct {
	Name  string // its site and broker
	Epoch uint64 // of the process
}

// Key identifies a query across sites.
type Key struct {
	Origin Origin
	ID     uint64
}

// Load is this broker's load when a remote query arrives.
type Load struct {
	Capacity         int // slots
	Used             int // slots, by own and remote queries
	Draining         bool
	ShardUnavailable bool // a shard of the query has no available replica here
}

// RemoteQuery is what the decision needs to know of a query that arrives.
type RemoteQuery struct {
	Key           Key
	Link          uint64 // serial number of the link it came over
	Idempotency   decision.Idempotency
	ShardRequests int
	RemainingTime time.Duration
}

// slots is what a query takes: one for itself and one for each shard request.
func (q *RemoteQuery) slots() int { return 1 + q.ShardRequests }

// Admission is the decision on a remote query that arrives.
type Admission uint8

const (
	// Admit means that it is to be run.
	Admit Admission = iota
	// Reject means that nothing of it has run here.
	Reject
	// AlreadyRunning means that the result goes to the link over which it came last.
	AlreadyRunning
	// AlreadyEnded means that the kept result is to be sent again.
	AlreadyEnded
	// StaleLink means that it came over a link which a newer one has replaced, and that nothing is to be sent.
	StaleLink
)

// remoteEntry is what is remembered of a remote query, so that it does not run twice.
type remoteEntry struct {
	rememberedUntil time.Duration
	slots           int
	running         bool
	keepResult      bool // it may be requested again
}

// Receiver decides at the site to which queries are forwarded.
type Receiver struct {
	policy       Policy
	remembered   map[Key]*remoteEntry
	newestLinks  map[Origin]uint64
	linkEndedAt  map[Origin]time.Duration // of the newest link
	slotsUsed    int                      // by remote queries
	runningCount int
	lastShedAt   time.Duration // an own query; 0: none
	Counters     ReceiverCounters
}

// ReceiverCounters count since the start of the process, except InFlight and Remembered.
type ReceiverCounters struct {
	Received   uint64 `json:"Came"`
	Admitted   uint64 `json:"Ran"`
	Rejected   uint64 `json:"TurnedAway"`
	Joined     uint64 `json:"Joined"`   // arrived again while running
	Repeated   uint64 `json:"Repeated"` // arrived again after its end
	Cancelled  uint64 `json:"CalledOff"`
	InFlight   int    `json:"InHand"`     // now
	Remembered int    `json:"Remembered"` // now
}

// NewReceiver returns a Receiver that knows of no link.
func NewReceiver(policy Policy) *Receiver {
	return &Receiver{
		policy:      policy,
		remembered:  map[Key]*remoteEntry{},
		newestLinks: map[Origin]uint64{},
		linkEndedAt: map[Origin]time.Duration{},
	}
}

// LinkOpened is called when a process has opened a link; serial numbers grow. Queries of older links are ignored from then on: one may
// lie unread in a buffer, be sent again over the new link and rejected there, and must not run after its client was told that a retry is
// harmless.
func (r *Receiver) LinkOpened(o Origin, serial uint64) {
	r.newestLinks[o] = max(r.newestLinks[o], serial)
	delete(r.linkEndedAt, o)
}

// LinkClosed is called when a link has ended.
func (r *Receiver) LinkClosed(o Origin, serial uint64, now time.Duration) {
	if r.newestLinks[o] == serial {
		r.linkEndedAt[o] = now
	}
}

// QueryShed is called when an own query was shed although its shards are available.
func (r *Receiver) QueryShed(now time.Duration) { r.lastShedAt = max(1, now) }

// Shedding reports whether own queries were shed lately.
func (r *Receiver) Shedding(now time.Duration) bool {
	return r.lastShedAt > 0 && now-r.lastShedAt < sheddingPeriod
}

// HandleQuery decides on a remote query. One that is remembered does not run again, however often it arrives.
func (r *Receiver) HandleQuery(q RemoteQuery, load Load, now time.Duration) Admission {
	if q.Link < r.newestLinks[q.Key.Origin] {
		return StaleLink
	}
	r.Counters.Received++
	if entry := r.remembered[q.Key]; entry != nil {
		if entry.running {
			r.Counters.Joined++
			return AlreadyRunning
		}
		r.Counters.Repeated++
		return AlreadyEnded
	}
	if !r.admits(&q, load, now) {
		r.Counters.Rejected++
		return Reject
	}
	r.Counters.Admitted++
	r.slotsUsed += q.slots()
	r.runningCount++
	r.remembered[q.Key] = &remoteEntry{
		rememberedUntil: now + q.RemainingTime + lateMessagePeriod,
		slots:           q.slots(),
		running:         true,
		keepResult:      q.Idempotency != decision.Idempotent,
	}
	r.updateCounters()
	return Admit
}

// admits reports whether a new query is run. Own queries come first: while they are shed no remote one is admitted, and remote ones take
// their share of the slots at most. What can't be remembered is not admitted, as it could run twice.
func (r *Receiver) admits(q *RemoteQuery, load Load, now time.Duration) bool {
	switch {
	case r.Shedding(now), load.Draining, load.ShardUnavailable:
		return false
	case q.RemainingTime < r.policy.MinRemainingTime:
		return false
	case len(r.remembered) >= r.policy.MaxRemembered:
		return false
	case float64(r.slotsUsed+q.slots()) > r.policy.RemoteShare*float64(load.Capacity):
		return false
	default:
		return load.Used+q.slots() <= load.Capacity
	}
}

// QueryEnded is called with the end of a remote query. It reports whether the result must be kept until ForgetExpired names its key.
func (r *Receiver) QueryEnded(k Key) (keepResult bool) {
	entry := r.remembered[k]
	if entry == nil || !entry.running {
		return false
	}
	entry.running = false
	r.slotsUsed -= entry.slots
	r.runningCount--
	if !entry.keepResult {
		delete(r.remembered, k) // if it arrives again it may run again
	}
	r.updateCounters()
	return entry.keepResult
}

// CancelledByLinkLoss reports whether a query is to be cancelled because its link has ended. An idempotent one is: the other site runs it
// itself at once. The others may be requested over the next link.
func (r *Receiver) CancelledByLinkLoss(k Key) bool {
	entry := r.remembered[k]
	return entry != nil && entry.running && !entry.keepResult
}

// Cancel is called when the other site cancels a query. It reports whether the query runs and is to be stopped.
func (r *Receiver) Cancel(k Key) bool {
	entry := r.remembered[k]
	if entry == nil || !entry.running {
		return false
	}
	r.Counters.Cancelled++
	return true
}

// ForgetExpired drops what can't be requested any more and returns the keys whose results may be dropped.
func (r *Receiver) ForgetExpired(now time.Duration) []Key {
	var expired []Key
	remaining := map[Origin]bool{}
	for k, entry := range r.remembered {
		if !entry.running && entry.rememberedUntil <= now {
			delete(r.remembered, k)
			expired = append(expired, k)
		} else {
			remaining[k.Origin] = true
		}
	}
	for o := range r.newestLinks {
		if !remaining[o] && r.linkEndedAt[o] > 0 && now-r.linkEndedAt[o] > lateMessagePeriod {
			delete(r.newestLinks, o)
			delete(r.linkEndedAt, o)
		}
	}
	r.updateCounters()
	return expired
}

func (r *Receiver) updateCounters() {
	r.Counters.Remembered = len(r.remembered)
	r.Counters.InFlight = r.runningCount
}

// FreeShare is the free part of the slots for remote queries, 0 to 1, of a broker with this capacity.
func (r *Receiver) FreeShare(capacity int) float64 {
	limit := r.policy.RemoteShare * float64(capacity)
	if limit <= 0 || len(r.remembered) >= r.policy.MaxRemembered {
		return 0
	}
	return max(0, 1-float64(r.slotsUsed)/limit)
}
