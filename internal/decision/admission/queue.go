package admission

import (
	"math"
	"slices"
	"time"
)

// Dequeued is a query that waited: it is admitted now, or it is rejected.
type Dequeued struct {
	ID         uint64
	Admitted   bool
	RetryAfter time.Duration // if it is rejected
}

// notDue is when to come again if nothing waits.
const notDue time.Duration = math.MaxInt64

// Tick appends to out the queries that leave the queues: those that there is room for, in the order of their start tags, and those whose
// time to wait is over. next is when to call it again.
func (c *Controller) Tick(now time.Duration, out []Dequeued) (dequeued []Dequeued, next time.Duration) {
	if c.endWindowIfDue(now) {
		c.queriesWaited = slices.ContainsFunc(c.tenants, func(t tenant) bool { return len(t.queue) > 0 })
	}
	out = append(out, c.evicted...)
	c.evicted = c.evicted[:0]
	out, next = c.admitQueued(now, out)
	// Those that fit are admitted first: a broker that is called late would reject all that waited, however much room there is by now.
	return c.expireQueued(now, out, next)
}

// admitQueued admits queued queries while there is room.
func (c *Controller) admitQueued(now time.Duration, out []Dequeued) (_ []Dequeued, next time.Duration) {
	for {
		t := c.nextTenant()
		if t == nil {
			return out, notDue
		}
		index := c.nextInQueue(t, now)
		q := t.queue[index].Query
		if c.isBusy(q.Work) {
			return out, c.windowBegin + c.windowLength()
		}
		t.Counts.AdmittedFromQueue++
		t.removeAt(index)
		c.admit(t, q, now)
		out = append(out, Dequeued{ID: q.ID, Admitted: true})
	}
}

// expireQueued rejects queries whose time to wait is over.
func (c *Controller) expireQueued(now time.Duration, out []Dequeued, next time.Duration) ([]Dequeued, time.Duration) {
	for i := range c.tenants {
		t := &c.tenants[i]
		for j := 0; j < len(t.queue); {
			queued := t.queue[j]
			if queued.expiresAt > now {
				next = min(next, queued.expiresAt)
				j++
				continue
			}
			t.Counts.Expired++
			out = append(out, Dequeued{ID: queued.ID, RetryAfter: c.reject(t, queued.Query, now)})
			t.removeAt(j)
		}
	}
	return out, next
}

// nextTenant is the tenant whose next query starts first, by its start tag; nil: no query waits.
func (c *Controller) nextTenant() (next *tenant) {
	for i := range c.tenants {
		t := &c.tenants[i]
		if len(t.queue) == 0 {
			continue
		}
		if next == nil || c.startsBefore(t, next) {
			next = t
		}
	}
	return next
}

// startsBefore orders tenants; those without weight come after all others.
func (c *Controller) startsBefore(a, b *tenant) bool {
	aHasWeight := a.weight > 0
	bHasWeight := b.weight > 0
	if aHasWeight != bHasWeight {
		return aHasWeight
	}
	return max(a.nextStart, c.virtualTime) < max(b.nextStart, c.virtualTime)
}

// nextInQueue is the index of the query whose client was given least lately; of one client's the one that came first.
func (c *Controller) nextInQueue(t *tenant, now time.Duration) (index int) {
	minClientWork := math.Inf(1)
	for i := range t.queue {
		clientWork := c.recentClientWork(t.queue[i].Client, now)
		if clientWork < minClientWork {
			index = i
			minClientWork = clientWork
		}
	}
	return index
}

func (t *tenant) removeAt(index int) {
	t.queuedWork -= t.queue[index].Work
	t.queue = slices.Delete(t.queue, index, index+1)
	t.Counts.Queued = len(t.queue)
}

// Remove takes a query out of its queue, as its client left or the broker stops. It returns whether the query was queued.
func (c *Controller) Remove(tenant int, id uint64) bool {
	t := &c.tenants[tenant]
	index := slices.IndexFunc(t.queue, func(q queuedQuery) bool { return q.ID == id })
	if index < 0 {
		return false
	}
	t.removeAt(index)
	return true
}
