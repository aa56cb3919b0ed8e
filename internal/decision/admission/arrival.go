package admission

import "time"

// promisedWaitDivisor divides the longest wait of a new query while the tenant's share is promised to rejected clients.
const promisedWaitDivisor = 3

// Ruling is what an arrival brings about.
type Ruling struct {
	Decision   Decision
	RetryAfter time.Duration // if the query is rejected
	Evicted    Dequeued      // the queued query that is rejected in its place; ID 0: none
}

// Arrive decides on a query. One tenant's flood does not use up the capacity of others: its queries wait behind one another, and a query that
// can't be served in time is rejected at once.
func (c *Controller) Arrive(q Query, now time.Duration) Ruling {
	t := &c.tenants[q.Tenant]
	isBusy := c.isBusy(q.Work)
	c.agePromises(t, q, now)
	if !t.spendRetryToken(q.Retry, c.policy.RetryShare, isBusy) {
		c.queriesWaited = true
		return c.rejection(t, q, now)
	}
	if !isBusy && len(t.queue) == 0 {
		c.admit(t, q, now)
		return Ruling{Decision: Admit}
	}
	c.queriesWaited = true
	patience := time.Duration(c.policy.MaxWaitShare * float64(q.TimeLeft))
	ahead, heaviest := c.workAhead(t, q, now)
	wait := c.drainTime(t, ahead, now)
	othersPromised := !q.Retry && t.promisedUntil > now
	if othersPromised && wait > patience/promisedWaitDivisor { // the rest of the wait is kept for clients that return after their Retry-After
		return c.rejection(t, q, now)
	}
	isFull := len(t.queue) >= c.policy.MaxQueued
	if wait > patience || isFull && heaviest < 0 {
		return c.rejection(t, q, now)
	}
	ruling := Ruling{Decision: Enqueue}
	if isFull {
		ruling.Evicted = c.evict(t, heaviest, now)
	}
	t.enqueue(q, now, patience)
	return ruling
}

// rejection rejects an arriving query.
func (c *Controller) rejection(t *tenant, q Query, now time.Duration) Ruling {
	return Ruling{Decision: Reject, RetryAfter: c.reject(t, q, now)}
}

// isBusy reports whether the store has no capacity now for this much more work.
func (c *Controller) isBusy(work float64) bool {
	return c.inFlight+work > c.maxInFlight() && c.inFlight >= c.policy.MinWork
}

// spendRetryToken counts a query as new or as a retry. It returns false for a retry beyond the tenant's share of retries if
// the store is busy.
func (t *tenant) spendRetryToken(isRetry bool, retryShare float64, isBusy bool) bool {
	if !isRetry {
		t.retryTokens = min(maxRetryTokens, t.retryTokens+retryShare)
		return true
	}
	t.Counts.Retries++
	if isBusy && t.retryTokens < 1 {
		return false
	}
	t.retryTokens = max(0, t.retryTokens-1)
	return true
}

func (t *tenant) enqueue(q Query, now, patience time.Duration) {
	t.queue = append(t.queue, queuedQuery{Query: q, expiresAt: now + patience})
	t.queuedWork += q.Work
	t.Counts.Queued = len(t.queue)
}

// evict rejects a queued query to make room for one of a client that had less work admitted recently.
func (c *Controller) evict(t *tenant, index int, now time.Duration) Dequeued {
	q := t.queue[index].Query
	evicted := Dequeued{ID: q.ID, RetryAfter: c.reject(t, q, now)}
	t.removeAt(index)
	return evicted
}

// workAhead returns the work queued ahead of a query in its tenant's queue: that of clients that had no more work admitted recently than
// the query's own client. heaviest is the index of a queued query of the client that had most, if that is more than the own client;
// otherwise -1. A query of an unknown client waits behind the whole queue and evicts none.
func (c *Controller) workAhead(t *tenant, q Query, now time.Duration) (work float64, heaviest int) {
	if q.Client == 0 {
		return t.queuedWork, -1
	}
	ownWork := c.clients.Estimate(q.Client, now)
	maxClientWork := 0.0
	heaviest = -1
	for i := range t.queue {
		clientWork := c.clientWork(t.queue[i].Client, now)
		if clientWork <= ownWork {
			work += t.queue[i].Work
		} else if clientWork > maxClientWork {
			maxClientWork = clientWork
			heaviest = i
		}
	}
	return work, heaviest
}

// clientWork returns the work recently admitted for a client; 0 if the client is unknown.
func (c *Controller) clientWork(client uint64, now time.Duration) float64 {
	if client == 0 {
		return 0
	}
	return c.clients.Estimate(client, now)
}

// agePromises turns promises whose Retry-After is over into retry tokens. Clients that retry at once prolong an overload; without a bound
// on retries they would take the capacity promised to clients that wait as told.
func (c *Controller) agePromises(t *tenant, q Query, now time.Duration) {
	elapsed := float64(now - t.promisesAgedAt)
	due := min(t.promises, elapsed/max(1, float64(c.drainTime(t, q.Work, now))))
	t.promisesAgedAt = now
	t.promises -= due
	t.retryTokens = min(maxRetryTokens, t.retryTokens+due)
}

// drainTime returns how long a tenant's share of the store takes for an amount of work.
func (c *Controller) drainTime(t *tenant, work float64, now time.Duration) time.Duration {
	return time.Duration(work / (c.rate(now) * c.share(t)) * float64(time.Second))
}

// reject counts a rejection and returns the Retry-After, with some jitter: the time in which half of the tenant's queue drains and the
// clients rejected before return, at most Policy.MaxRetryAfter. So queries that are rejected together do not return together.
func (c *Controller) reject(t *tenant, q Query, now time.Duration) (retryAfter time.Duration) {
	t.Counts.Rejected++
	if c.policy.MaxRetryAfter == 0 {
		return 0
	}
	t.promisedUntil = max(t.promisedUntil, now+c.drainTime(t, t.queuedWork/2, now)) + c.drainTime(t, q.Work, now)
	t.promisedUntil = min(t.promisedUntil, now+c.policy.MaxRetryAfter)
	t.promises++
	retryAfter = t.promisedUntil - now
	retryAfter += time.Duration((c.random() - 0.5) * retryAfterJitter * float64(retryAfter))
	return min(c.policy.MaxRetryAfter, max(time.Millisecond, retryAfter))
}

// admit counts a query that is passed to the router, and advances the tenant's start tag.
func (c *Controller) admit(t *tenant, q Query, now time.Duration) {
	start := max(c.virtualTime, t.nextStart)
	c.virtualTime = start
	t.nextStart = start + q.Work/max(t.weight, minWeight)
	c.inFlight += q.Work
	if c.firstAdmittedAt == 0 {
		c.firstAdmittedAt = max(1, now)
	}
	t.Counts.Admitted++
	t.Counts.Work += q.Work
	if q.Client != 0 {
		c.clients.Add(q.Client, q.Work, now)
	}
}

// share returns a tenant's share, by weight, of the capacity that it divides with all tenants that have queued queries.
func (c *Controller) share(t *tenant) float64 {
	sum := 0.0
	for i := range c.tenants {
		other := &c.tenants[i]
		if other == t || len(other.queue) > 0 {
			sum += other.weight
		}
	}
	if t.weight == 0 || sum == 0 {
		return shareWithoutWeight
	}
	return t.weight / sum
}

// random returns a pseudo-random number in [0, 1).
func (c *Controller) random() float64 {
	c.randomState++
	return float64(mix(c.randomState)>>11) / (1 << 53)
}
