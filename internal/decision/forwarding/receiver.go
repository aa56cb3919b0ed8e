package forwarding

import (
	"time"

	"flaxfront/internal/decision"
)

const (
	sheddingPeriod    = 500 * time.Millisecond // how long the broker counts as shedding after it has shed a query of its own clients
	lateMessagePeriod = 2 * time.Second        // how long a query is remembered past its deadline, for late messages
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

// Load is this broker's load at the arrival of a remote query.
type Load struct {
	Capacity         int // slots
	Used             int // slots used by own and remote queries
	Draining         bool
	ShardUnavailable bool // a shard of the query has no available replica here
}

// RemoteQuery is what the decision needs to know about a query from another site.
type RemoteQuery struct {
	Key           Key
	Link          uint64 // serial number of the link that it arrived over
	Idempotency   decision.Idempotency
	ShardRequests int
	RemainingTime time.Duration
}

// slots returns how many slots a query takes: one for itself and one for each shard request.
func (q *RemoteQuery) slots() int { return 1 + q.ShardRequests }

// Admission is the decision on a query from another site.
type Admission uint8

const (
	// Admit means that the query is to be run.
	Admit Admission = iota
	// Reject means that the query is not run and nothing of it has run here.
	Reject
	// AlreadyRunning means that the query is running, and that its result goes to the link over which it arrived last.
	AlreadyRunning
	// AlreadyEnded means that the kept result is to be sent again.
	AlreadyEnded
	// StaleLink means that the query arrived over a link which a newer one has replaced, and that nothing is to be sent.
	StaleLink
)

// remoteEntry records a remote query, so that it does not run twice.
type remoteEntry struct {
	rememberedUntil time.Duration
	slots           int
	running         bool
	cacheResult     bool // the result may be requested again
	cachedBytes     int  // of its result; 0: none is kept
}

// Receiver makes the decisions at the site to which queries are forwarded.
type Receiver struct {
	policy       Policy
	remembered   map[Key]*remoteEntry
	newestLinks  map[Origin]uint64
	linkEndedAt  map[Origin]time.Duration // when the newest link ended
	slotsUsed    int                      // by remote queries
	runningCount int
	cached       cachedResults
	lastShedAt   time.Duration // when a query of this site's clients (an own query) was last shed; 0: never
	Counters     ReceiverCounters
}

// ReceiverCounters holds counts since the start of the process, except InFlight, Remembered and CachedBytes, which are the present numbers.
type ReceiverCounters struct {
	Received    uint64 `json:"Came"`
	Admitted    uint64 `json:"Ran"`
	Rejected    uint64 `json:"TurnedAway"`
	Joined      uint64 `json:"Joined"`   // arrived again while running
	Repeated    uint64 `json:"Repeated"` // arrived again after its end
	Cancelled   uint64 `json:"CalledOff"`
	InFlight    int    `json:"InHand"`
	Remembered  int    `json:"Remembered"`
	CachedBytes int    `json:"CachedBytes"` // of results that may be requested again
}

// NewReceiver returns a Receiver without links.
func NewReceiver(policy Policy) *Receiver {
	return &Receiver{
		policy:      policy,
		remembered:  map[Key]*remoteEntry{},
		newestLinks: map[Origin]uint64{},
		linkEndedAt: map[Origin]time.Duration{},
	}
}

// LinkOpened is called when a process has opened a link; serial numbers increase. From then on queries of older links are ignored. Such a
// query may still be in a buffer after it was sent again over the new link and rejected there; it must not run once its client has been
// told that a retry is harmless.
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

// QueryShed is called when a query of a client of this site was shed although its shards are available.
func (r *Receiver) QueryShed(now time.Duration) { r.lastShedAt = max(1, now) }

// Shedding reports whether an own query was shed within sheddingPeriod.
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
		cacheResult:     q.Idempotency != decision.Idempotent,
	}
	r.updateCounters()
	return Admit
}

// admits reports whether a new query is run. Own queries have precedence: while they are shed no remote query is admitted, and remote
// queries take at most their share of the slots. A query that can't be remembered is not admitted, as it could run twice.
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

// QueryEnded is called when a remote query ends. It reports whether the result must be kept until ForgetExpired returns its key.
func (r *Receiver) QueryEnded(k Key) (cacheResult bool) {
	entry := r.remembered[k]
	if entry == nil || !entry.running {
		return false
	}
	entry.running = false
	r.slotsUsed -= entry.slots
	r.runningCount--
	if !entry.cacheResult {
		delete(r.remembered, k) // idempotent: it may run again if it arrives again
	}
	r.updateCounters()
	return entry.cacheResult
}

// CancelledByLinkLoss reports whether a query is to be cancelled because its link has ended. An idempotent query is cancelled, as the other
// site runs it itself at once. The result of any other query may be requested over the next link.
func (r *Receiver) CancelledByLinkLoss(k Key) bool {
	entry := r.remembered[k]
	return entry != nil && entry.running && !entry.cacheResult
}

// Cancel is called when the other site cancels a query. It reports whether the query is running and has to be stopped.
func (r *Receiver) Cancel(k Key) bool {
	entry := r.remembered[k]
	if entry == nil || !entry.running {
		return false
	}
	r.Counters.Cancelled++
	return true
}

func (r *Receiver) updateCounters() {
	r.Counters.Remembered = len(r.remembered)
	r.Counters.InFlight = r.runningCount
	r.Counters.CachedBytes = r.cached.bytes
}

// FreeShare returns the free share of the slots for remote queries, 0 to 1, of a broker with this capacity in slots.
func (r *Receiver) FreeShare(capacity int) float64 {
	limit := r.policy.RemoteShare * float64(capacity)
	if limit <= 0 || len(r.remembered) >= r.policy.MaxRemembered {
		return 0
	}
	return max(0, 1-float64(r.slotsUsed)/limit)
}
