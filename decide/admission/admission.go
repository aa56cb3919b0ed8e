// Package admission decides at the door whether a search is handed to the decision module now, waits a little, or is turned
// away with the time at which there will be room. It shares what the store can do between tenants by weight, and within a
// tenant between its clients. It chooses no server and decides nothing of a search that it has let in. Nothing here does I/O,
// reads a clock, starts a goroutine, or allocates for a search that is let in at once.
//
// Between tenants it is start-time fair queuing (Goyal, Vin and Cheng, 1996) by work; how much work may be in hand at once is
// found by the delay that it meets, in the spirit of CoDel (RFC 8289) and of TCP Vegas.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Policy holds what operators may set.
type Policy struct {
	Weights   []float64 // of tenants, by number; 0: only what nobody else wants
	WaitShare float64   // of its time left that a search may wait here
	MostWait  int       // searches of one tenant that wait
	LeastWork float64   // work in hand that is always let in
	MostHint  time.Duration
	Repeats   float64 // clients' repeats, as a share of a tenant's fresh searches, while others wait
	Seed      uint64
}

const (
	window    = 100 * time.Millisecond // in which the least delay counts
	slower    = 2.0                    // least delay over the baseline: too much is in hand
	slack     = 10 * time.Millisecond
	fall      = 0.9
	rise      = 0.05
	probeEach = 10 * time.Second // then less is let in for a moment, and the delay it meets is the new baseline
	probeAt   = 0.5              // of the limit
	probeFor  = 3                // windows; the last one counts
	rateFor   = time.Second
	idleFor   = 10 * time.Second // a tenant that asked nothing for so long has no share
	spread    = 0.2              // of a hint, drawn at random
	tokenMost = 50.0             // repeats saved up
)

// Ruling is what becomes of a search on its arrival.
type Ruling uint8

const (
	Enter Ruling = iota // hand it to the module
	Wait                // Tick will tell
	Turn                // refuse it now
)

// Search is what the door knows of one.
type Search struct {
	ID     uint64
	Tenant int
	Client uint64 // a hash of whatever names it; 0: nothing does
	Work   float64
	Left   time.Duration // of its client's time
	Repeat bool          // its client asks again
}

// waiting is a search in a queue.
type waiting struct {
	Search
	came  time.Duration
	until time.Duration // no use in waiting longer
}

// tenant is one customer at the door.
type tenant struct {
	weight   float64
	tag      float64 // virtual time at which its next search would start
	queue    []waiting
	queued   float64       // work in the queue
	asked    time.Duration // when it last asked
	promised time.Duration // up to when its share is promised to those turned away
	tokens   float64       // repeats that it may send
	owed     float64       // promises whose time has not come
	ripened  time.Duration
	Counts   Counts
}

// Counts are what operators see of a tenant.
type Counts struct {
	Entered, Waited, TurnedAway, RanOut, Repeats uint64
	Work                                         float64 // that entered
	Waiting                                      int
}

// Door admits searches.
type Door struct {
	policy  Policy
	tenants []tenant
	clients *Sketch
	evicted []Let
	virtual float64
	inHand  float64 // work
	limit   float64
	rnd     uint64

	// of the limit
	begun    time.Duration // of the window
	least    time.Duration // delay in it; 0: none seen
	low      time.Duration // the baseline
	probed   time.Duration // when the baseline is to be measured anew
	probing  int           // windows of that which are left
	short    bool          // somebody waited in the window
	turned   bool          // the module shed in the window
	finished float64       // work, decaying
	at       time.Duration
	opened   time.Duration // when the first search entered
}

// NewDoor makes a door; nothing is in hand.
func NewDoor(p Policy) *Door {
	d := &Door{policy: p, clients: NewSketch(p.Seed), limit: 4 * p.LeastWork, rnd: mix(p.Seed + 1)}
	for _, w := range p.Weights {
		d.tenants = append(d.tenants, tenant{weight: w, asked: math.MinInt64 / 2, tokens: tokenMost / 2})
	}
	return d
}

// chance draws from [0, 1).
func (d *Door) chance() float64 {
	d.rnd++
	return float64(mix(d.rnd)>>11) / (1 << 53)
}

// rate is how much work a second the store has lately done.
func (d *Door) rate(now time.Duration) float64 {
	d.finished *= math.Exp(-float64(now-d.at) / float64(rateFor))
	d.at = now
	seen := 1 - math.Exp(-float64(max(window, now-d.opened))/float64(rateFor)) // it began at nothing
	return max(d.finished/rateFor.Seconds()/seen, d.limit)                     // what is in hand takes a second at most
}

// share is how much of that is a tenant's, as long as all who lately asked go on asking.
func (d *Door) share(t *tenant, now time.Duration) float64 {
	sum := 0.0
	for i := range d.tenants {
		if o := &d.tenants[i]; o == t || len(o.queue) > 0 {
			sum += o.weight
		}
	}
	if t.weight == 0 || sum == 0 {
		return 0.01
	}
	return t.weight / sum
}

// Arrive rules on a search. Danger: one customer's flood takes all places and everybody else is refused. Its searches wait
// behind one another, not before anybody else's; what can't be served in time is refused at once and never held.
func (d *Door) Arrive(s Search, now time.Duration) (Ruling, time.Duration) {
	t := &d.tenants[s.Tenant]
	t.asked = now
	busy := d.inHand+s.Work > d.most() && d.inHand >= d.policy.LeastWork
	d.ripen(t, s, now)
	if !s.Repeat {
		t.tokens = min(tokenMost, t.tokens+d.policy.Repeats)
	} else if t.Counts.Repeats++; busy && t.tokens < 1 {
		d.short = true
		return d.turn(t, s, now)
	} else {
		t.tokens = max(0, t.tokens-1)
	}
	if !busy && len(t.queue) == 0 {
		d.enter(t, s, now)
		return Enter, 0
	}
	d.short = true
	patience := time.Duration(d.policy.WaitShare * float64(s.Left))
	ahead, heaviest := d.ahead(t, s, now)
	full := len(t.queue) >= d.policy.MostWait
	switch {
	case !s.Repeat && t.promised > now && d.drain(t, ahead, now) > patience/3: // the rest is for those who come when told
		return d.turn(t, s, now)
	case d.drain(t, ahead, now) > patience || full && heaviest < 0:
		return d.turn(t, s, now)
	case full: // the client that was given most gives way
		_, hint := d.turn(t, t.queue[heaviest].Search, now)
		d.evicted = append(d.evicted, Let{ID: t.queue[heaviest].ID, Hint: hint})
		d.remove(t, heaviest)
	}
	t.queue = append(t.queue, waiting{s, now, now + patience})
	t.queued += s.Work
	t.Counts.Waiting = len(t.queue)
	return Wait, 0
}

// ahead is the work that waits before a search in its tenant's queue: that of clients that were given no more than its own.
// The other result is the place of one whose client was given most, if that is more; else -1.
func (d *Door) ahead(t *tenant, s Search, now time.Duration) (work float64, heaviest int) {
	if s.Client == 0 {
		return t.queued, -1
	}
	own, most := d.clients.Given(s.Client, now), 0.0
	heaviest = -1
	for j := range t.queue {
		given := 0.0
		if client := t.queue[j].Client; client != 0 {
			given = d.clients.Given(client, now)
		}
		if given <= own {
			work += t.queue[j].Work
		} else if given > most {
			most, heaviest = given, j
		}
	}
	return work, heaviest
}

// ripen turns promises whose time has come into repeats that may come. Danger: clients that come back at once keep an
// overload alive; without a bound on repeats they take the room of those who wait as told.
func (d *Door) ripen(t *tenant, s Search, now time.Duration) {
	ripe := min(t.owed, float64(now-t.ripened)/max(1, float64(d.drain(t, s.Work, now))))
	t.ripened, t.owed = now, t.owed-ripe
	t.tokens = min(tokenMost, t.tokens+ripe)
}

// drain is how long a tenant's share takes for some work.
func (d *Door) drain(t *tenant, work float64, now time.Duration) time.Duration {
	return time.Duration(work / (d.rate(now) * d.share(t, now)) * float64(time.Second))
}

// turn refuses a search with the time at which there will be room for it: when the tenant's queue has gone down, and those
// who were told before it have come back. So the ones turned away together do not come back together.
func (d *Door) turn(t *tenant, s Search, now time.Duration) (Ruling, time.Duration) {
	t.Counts.TurnedAway++
	if d.policy.MostHint == 0 {
		return Turn, 0
	}
	t.promised = max(t.promised, now+d.drain(t, t.queued/2, now)) + d.drain(t, s.Work, now)
	t.promised = min(t.promised, now+d.policy.MostHint)
	hint := t.promised - now
	t.owed++
	hint += time.Duration((d.chance() - 0.5) * spread * float64(hint))
	return Turn, min(d.policy.MostHint, max(time.Millisecond, hint))
}

// enter books a search that goes to the module.
func (d *Door) enter(t *tenant, s Search, now time.Duration) {
	start := max(d.virtual, t.tag)
	d.virtual = start
	t.tag = start + s.Work/max(t.weight, 1e-6)
	if d.inHand += s.Work; d.opened == 0 {
		d.opened = max(1, now)
	}
	t.Counts.Entered++
	t.Counts.Work += s.Work
	if s.Client != 0 {
		d.clients.Give(s.Client, s.Work, now)
	}
}

// Let is a search that waited: it enters now, or its time in the queue has run out.
type Let struct {
	ID    uint64
	Enter bool
	Hint  time.Duration
}

// Tick lets in what there is room for, in the order of start tags, and turns away whose time to wait is over. It tells when
// to come again.
func (d *Door) Tick(now time.Duration, out []Let) (lets []Let, next time.Duration) {
	d.adjust(now)
	next = math.MaxInt64
	out = append(out, d.evicted...)
	d.evicted = d.evicted[:0]
	for i := range d.tenants {
		t := &d.tenants[i]
		for j := 0; j < len(t.queue); j++ {
			if w := &t.queue[j]; w.until <= now {
				t.Counts.RanOut++
				_, hint := d.turn(t, w.Search, now)
				out = append(out, Let{ID: w.ID, Hint: hint})
				d.remove(t, j)
				j--
			} else {
				next = min(next, w.until)
			}
		}
	}
	for {
		t := d.first()
		if t == nil {
			break
		}
		j := d.pick(t, now)
		s := t.queue[j].Search
		if d.inHand+s.Work > d.most() && d.inHand >= d.policy.LeastWork {
			next = min(next, d.begun+d.period())
			break
		}
		t.Counts.Waited++
		d.remove(t, j)
		d.enter(t, s, now)
		out = append(out, Let{ID: s.ID, Enter: true})
	}
	return out, next
}

// first is the tenant whose next search starts first; one without weight comes after all others.
func (d *Door) first() (best *tenant) {
	for i := range d.tenants {
		t := &d.tenants[i]
		if len(t.queue) == 0 {
			continue
		}
		if best == nil || best.weight == 0 && t.weight > 0 ||
			(best.weight == 0) == (t.weight == 0) && max(t.tag, d.virtual) < max(best.tag, d.virtual) {
			best = t
		}
	}
	return best
}

// pick chooses within a tenant the search whose client was given least lately; of one client's the one that came first.
func (d *Door) pick(t *tenant, now time.Duration) int {
	best, least := 0, math.Inf(1)
	for j := range t.queue {
		given := 0.0
		if client := t.queue[j].Client; client != 0 {
			given = d.clients.Given(client, now)
		}
		if given < least {
			best, least = j, given
		}
	}
	return best
}

func (d *Door) remove(t *tenant, j int) {
	t.queued -= t.queue[j].Work
	t.queue = slices.Delete(t.queue, j, j+1)
	t.Counts.Waiting = len(t.queue)
}

// Gone takes a search out of a queue, as its client went or its broker stops; false: it does not wait.
func (d *Door) Gone(tenant int, id uint64) bool {
	t := &d.tenants[tenant]
	for j := range t.queue {
		if t.queue[j].ID == id {
			d.remove(t, j)
			return true
		}
	}
	return false
}

// Done takes it that a search which entered has its verdict. took counts where it was answered; shed tells that the module
// refused it for want of time.
func (d *Door) Done(work float64, took time.Duration, answered, shed bool, now time.Duration) {
	d.inHand = max(0, d.inHand-work)
	if answered {
		d.rate(now)
		d.finished += work
		if d.least == 0 || took < d.least {
			d.least = max(1, took)
		}
	}
	d.turned = d.turned || shed
}

// most is how much work may be in hand now.
func (d *Door) most() float64 {
	if d.probing > 0 {
		return max(d.policy.LeastWork, probeAt*d.limit)
	}
	return d.limit
}

// period is how long a window lasts: no shorter than what is measured in it.
func (d *Door) period() time.Duration { return max(window, min(d.least, time.Second)) }

// adjust moves the limit once a window. The least delay in a window is what even the luckiest search met: if that stands
// well over the baseline, or the module had to shed, a queue stands at the store, and less is let in. Where searches waited
// here and it does not, more is.
func (d *Door) adjust(now time.Duration) {
	if now-d.begun < d.period() {
		return
	}
	if d.least > 0 && (d.low == 0 || d.least < d.low) {
		d.low = d.least
	}
	// Danger: while a queue stands all the time no search meets the baseline, and one that has risen for good is never seen.
	switch {
	case d.probing > 0:
		if d.probing--; d.probing == 0 && d.least > 0 {
			d.low = d.least
		}
	case now >= d.probed:
		d.probing, d.probed = probeFor, now+probeEach
	}
	switch queue := d.least > time.Duration(slower*float64(d.low))+slack; {
	case d.probing > 0:
	case queue || d.turned:
		d.limit = max(d.policy.LeastWork, fall*d.limit)
	case d.short:
		d.limit += max(1, rise*d.limit)
	}
	d.begun, d.least, d.short, d.turned = now, 0, false, false
	for i := range d.tenants {
		d.short = d.short || len(d.tenants[i].queue) > 0
	}
}

// State is what operators see of the door.
type State struct {
	Limit, InHand, Rate float64 // work, work, work a second
	Baseline            time.Duration
	Tenants             []Counts // by number
}

// State tells of all tenants.
func (d *Door) State(now time.Duration) State {
	s := State{Limit: d.limit, InHand: d.inHand, Rate: d.rate(now), Baseline: d.low}
	for i := range d.tenants {
		s.Tenants = append(s.Tenants, d.tenants[i].Counts)
	}
	return s
}

// Top lists tenants by the work that entered, most first.
func (s *State) Top() (order []int) {
	for i := range s.Tenants {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(s.Tenants[y].Work, s.Tenants[x].Work) })
	return order
}
