package admission

import (
	"math"
	"slices"
	"time"
)

// Dequeued is a query that has left its queue, admitted or rejected.
type Dequeued struct {
	ID         uint64
	Admitted   bool
	RetryAfter time.Duration // if it is rejected
}

// notDue is the time of the next Tick if no query is queued.
const notDue time.Duration = math.MaxInt64

// Tick appends to out the queries that leave the queues: those that the store has capacity for, in the order of their start tags, and those
// whose wait has expired. next is when to call Tick again.
func (c *Controller) Tick(now time.Duration, out []Dequeued) (dequeued []Dequeued, next time.Duration) {
	if c.endWindowIfDue(now) {
		c.queriesWaited = slices.ContainsFunc(c.tenants, func(t tenant) bool { return len(t.queue) > 0 })
	}
	out, next = c.admitQueued(now, out)
	// Admission comes before expiry: otherwise a broker that runs late would reject all queued queries, whatever capacity is free by now.
	return c.expireQueued(now, out, next)
}

// admitQueued admits queued queries while the store has capacity.
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

// expireQueued rejects queries whose wait has expired.
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

// nextTenant returns the tenant whose next query has the lowest start tag; nil if no query is queued.
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

// startsBefore reports whether the next query of tenant a has a lower start tag than that of b. Tenants without weight come after all
// others.
func (c *Controller) startsBefore(a, b *tenant) bool {
	aHasWeight := a.weight > 0
	bHasWeight := b.weight > 0
	if aHasWeight != bHasWeight {
		return aHasWeight
	}
	return max(a.nextStart, c.virtualTime) < max(b.nextStart, c.virtualTime)
}

// nextInQueue returns the index of the query whose client had the least work admitted recently; among equals, of the one that arrived
// first.
func (c *Controller) nextInQueue(t *tenant, now time.Duration) (index int) {
	minClientWork := math.Inf(1)
	for i := range t.queue {
		clientWork := c.clientWork(t.queue[i].Client, now)
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

// Remove takes a query out of its queue because its client left or the broker stops. It reports whether the query was queued.
func (c *Controller) Remove(tenant int, id uint64) bool {
	t := &c.tenants[tenant]
	index := slices.IndexFunc(t.queue, func(q queuedQuery) bool { return q.ID == id })
	if index < 0 {
		return false
	}
	t.removeAt(index)
	return true
}
