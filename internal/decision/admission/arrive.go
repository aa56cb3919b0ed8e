package admission

// This file owns the ruling on a search that arrives, and the time that one turned away is told.

import (
	"time"
)

// Arrive rules on a search. Danger: one customer's flood takes all places and everybody else is refused. Its searches wait
// behind one another, not before anybody else's; what can't be served in time is refused at once and never held.
func (d *Controller) Arrive(s Query, now time.Duration) (Decision, time.Duration) {
	t := &d.tenants[s.Tenant]
	busy := d.inHand+s.Work > d.most() && d.inHand >= d.policy.MinWork
	d.ripen(t, s, now)
	if !s.Retry {
		t.tokens = min(tokenMost, t.tokens+d.policy.RetryShare)
	} else if t.Counts.Retries++; busy && t.tokens < 1 {
		d.short = true
		return d.turn(t, s, now)
	} else {
		t.tokens = max(0, t.tokens-1)
	}
	if !busy && len(t.queue) == 0 {
		d.enter(t, s, now)
		return Admit, 0
	}
	d.short = true
	patience := time.Duration(d.policy.MaxWaitShare * float64(s.TimeLeft))
	ahead, heaviest := d.ahead(t, s, now)
	full := len(t.queue) >= d.policy.MaxQueued
	switch {
	case !s.Retry && t.promised > now && d.drain(t, ahead, now) > patience/3: // the rest is for those who come when told
		return d.turn(t, s, now)
	case d.drain(t, ahead, now) > patience || full && heaviest < 0:
		return d.turn(t, s, now)
	case full: // the client that was given most gives way
		_, hint := d.turn(t, t.queue[heaviest].Query, now)
		d.evicted = append(d.evicted, Dequeued{ID: t.queue[heaviest].ID, RetryAfter: hint})
		d.remove(t, heaviest)
	}
	t.queue = append(t.queue, waiting{s, now, now + patience})
	t.queued += s.Work
	t.Counts.Queued = len(t.queue)
	return Enqueue, 0
}

// ahead is the work that waits before a search in its tenant's queue: that of clients that were given no more than its own.
// The other result is the place of one whose client was given most, if that is more; else -1.
func (d *Controller) ahead(t *tenant, s Query, now time.Duration) (work float64, heaviest int) {
	if s.Client == 0 {
		return t.queued, -1
	}
	own, most := d.clients.Estimate(s.Client, now), 0.0
	heaviest = -1
	for j := range t.queue {
		given := 0.0
		if client := t.queue[j].Client; client != 0 {
			given = d.clients.Estimate(client, now)
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
func (d *Controller) ripen(t *tenant, s Query, now time.Duration) {
	ripe := min(t.owed, float64(now-t.ripened)/max(1, float64(d.drain(t, s.Work, now))))
	t.ripened, t.owed = now, t.owed-ripe
	t.tokens = min(tokenMost, t.tokens+ripe)
}

// drain is how long a tenant's share takes for some work.
func (d *Controller) drain(t *tenant, work float64, now time.Duration) time.Duration {
	return time.Duration(work / (d.rate(now) * d.share(t, now)) * float64(time.Second))
}

// turn refuses a search with the time at which there will be room for it: when the tenant's queue has gone down, and those
// who were told before it have come back. So the ones turned away together do not come back together.
func (d *Controller) turn(t *tenant, s Query, now time.Duration) (Decision, time.Duration) {
	t.Counts.Rejected++
	if d.policy.MaxRetryAfter == 0 {
		return Reject, 0
	}
	t.promised = max(t.promised, now+d.drain(t, t.queued/2, now)) + d.drain(t, s.Work, now)
	t.promised = min(t.promised, now+d.policy.MaxRetryAfter)
	hint := t.promised - now
	t.owed++
	hint += time.Duration((d.chance() - 0.5) * spread * float64(hint))
	return Reject, min(d.policy.MaxRetryAfter, max(time.Millisecond, hint))
}

// enter books a search that goes to the module.
func (d *Controller) enter(t *tenant, s Query, now time.Duration) {
	start := max(d.virtual, t.tag)
	d.virtual = start
	t.tag = start + s.Work/max(t.weight, 1e-6)
	if d.inHand += s.Work; d.opened == 0 {
		d.opened = max(1, now)
	}
	t.Counts.Admitted++
	t.Counts.Work += s.Work
	if s.Client != 0 {
		d.clients.Add(s.Client, s.Work, now)
	}
}

// share is how much of that is a tenant's, beside all whose searches wait.
func (d *Controller) share(t *tenant, now time.Duration) float64 {
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

// chance draws from [0, 1).
func (d *Controller) chance() float64 {
	d.rnd++
	return float64(mix(d.rnd)>>11) / (1 << 53)
}
