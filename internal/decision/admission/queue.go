package admission

// This file owns those that wait: who goes in next, and who has waited too long.

import (
	"math"
	"slices"
	"time"
)

// Dequeued is a search that waited: it enters now, or its time in the queue has run out.
type Dequeued struct {
	ID         uint64
	Admitted   bool
	RetryAfter time.Duration
}

// Tick lets in what there is room for, in the order of start tags, and turns away whose time to wait is over. It tells when
// to come again.
func (d *Controller) Tick(now time.Duration, out []Dequeued) (lets []Dequeued, next time.Duration) {
	if d.adjust(now) {
		d.short = slices.ContainsFunc(d.tenants, func(t tenant) bool { return len(t.queue) > 0 })
	}
	next = math.MaxInt64
	out = append(out, d.evicted...)
	d.evicted = d.evicted[:0]
	for {
		t := d.first()
		if t == nil {
			break
		}
		j := d.pick(t, now)
		s := t.queue[j].Query
		if d.inHand+s.Work > d.most() && d.inHand >= d.policy.MinWork {
			next = min(next, d.begun+d.period())
			break
		}
		t.Counts.AdmittedFromQueue++
		d.remove(t, j)
		d.enter(t, s, now)
		out = append(out, Dequeued{ID: s.ID, Admitted: true})
	}
	return d.expire(now, out, next)
}

// expire turns away whose time to wait is over. Danger: a broker that comes round late would refuse all that waited, however
// much room there is by now; so those that fit go in first.
func (d *Controller) expire(now time.Duration, out []Dequeued, next time.Duration) ([]Dequeued, time.Duration) {
	for i := range d.tenants {
		t := &d.tenants[i]
		for j := 0; j < len(t.queue); j++ {
			if w := &t.queue[j]; w.until <= now {
				t.Counts.Expired++
				_, hint := d.turn(t, w.Query, now)
				out = append(out, Dequeued{ID: w.ID, RetryAfter: hint})
				d.remove(t, j)
				j--
			} else {
				next = min(next, w.until)
			}
		}
	}
	return out, next
}

// first is the tenant whose next search starts first; one without weight comes after all others.
func (d *Controller) first() (best *tenant) {
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
func (d *Controller) pick(t *tenant, now time.Duration) int {
	best, least := 0, math.Inf(1)
	for j := range t.queue {
		given := 0.0
		if client := t.queue[j].Client; client != 0 {
			given = d.clients.Estimate(client, now)
		}
		if given < least {
			best, least = j, given
		}
	}
	return best
}

func (d *Controller) remove(t *tenant, j int) {
	t.queued -= t.queue[j].Work
	t.queue = slices.Delete(t.queue, j, j+1)
	t.Counts.Queued = len(t.queue)
}

// Remove takes a search out of a queue, as its client went or its broker stops; false: it does not wait.
func (d *Controller) Remove(tenant int, id uint64) bool {
	t := &d.tenants[tenant]
	for j := range t.queue {
		if t.queue[j].ID == id {
			d.remove(t, j)
			return true
		}
	}
	return false
}
