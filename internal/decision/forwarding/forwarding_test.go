package forwarding

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// Each run draws the same sequences; -rapid.seed on the command line draws others.
func init() { flag.Set("rapid.seed", "1") }

const ms = time.Millisecond

var policy = Policy{
	ForwardShare:     0.1,
	Burst:            3,
	MaxForwarded:     4,
	MinRemainingTime: 50 * ms,
	AnswerReserve:    50 * ms,
	ResumeTimeout:    300 * ms,
	RemoteShare:      0.5,
	MaxRemembered:    8,
}

// newConnectedForwarder returns a Forwarder whose links are up and usable.
func newConnectedForwarder(links int) *Forwarder {
	var names []string
	for i := range links {
		names = append(names, fmt.Sprint("remote", i))
	}
	f := NewForwarder(policy, names)
	for i := range links {
		f.LinkUp(LinkIndex(i), 1, 10, 0)
		f.HandleStatus(LinkIndex(i), Status{FreeShare: 1}, 80*ms, 1*ms)
	}
	f.DrainActions()
	return f
}

func kinds(acts []Action) (all []ActionKind) {
	for _, a := range acts {
		all = append(all, a.Kind)
	}
	return all
}

// Which queries are forwarded, by state of the query, the budget and the link.
func TestOffer(t *testing.T) {
	deadline := 1000 * ms
	for name, c := range map[string]struct {
		query   Query
		prepare func(f *Forwarder)
		at      time.Duration
		want    bool
	}{
		"usable link":          {Query{}, func(*Forwarder) {}, 10 * ms, true},
		"from another site":    {Query{Remote: true}, func(*Forwarder) {}, 10 * ms, false},
		"returned before":      {Query{Returned: true}, func(*Forwarder) {}, 10 * ms, false},
		"too little time left": {Query{}, func(*Forwarder) {}, deadline - 150*ms, false},
		"no budget":            {Query{}, func(f *Forwarder) { f.budget = 0.9 }, 10 * ms, false},
		"too many in flight":   {Query{}, func(f *Forwarder) { f.policy.MaxForwarded = 0 }, 10 * ms, false},
		"link down":            {Query{}, func(f *Forwarder) { f.LinkDown(0, nil, 5*ms) }, 10 * ms, false},
		"no credit":            {Query{}, func(f *Forwarder) { f.LinkUp(0, 1, 0, 0) }, 10 * ms, false},
		"no status yet":        {Query{}, func(f *Forwarder) { f.LinkUp(0, 1, 10, 0) }, 10 * ms, false},
		"old status":           {Query{Deadline: 5 * time.Second}, func(*Forwarder) {}, 2500 * ms, false},
		"old status, but a recent answer": {Query{Deadline: 5 * time.Second}, func(f *Forwarder) {
			f.links[0].answeredAt = 2400 * ms
		}, 2500 * ms, true},
		"other site sheds load": {Query{}, func(f *Forwarder) {
			f.HandleStatus(0, Status{FreeShare: 1, Shedding: true}, 0, 9*ms)
		}, 10 * ms, false},
		"other site shed load, but has answered since": {Query{}, func(f *Forwarder) {
			f.HandleStatus(0, Status{Shedding: true}, 0, 5*ms)
			f.links[0].answeredAt = 8 * ms
		}, 10 * ms, true},
		"no capacity at the other site": {Query{}, func(f *Forwarder) { f.HandleStatus(0, Status{}, 0, 9*ms) }, 10 * ms, false},
		"other site drains, despite a recent answer": {Query{}, func(f *Forwarder) {
			f.HandleStatus(0, Status{FreeShare: 1, Draining: true}, 0, 5*ms)
			f.links[0].answeredAt = 8 * ms
		}, 10 * ms, false},
		"backoff, despite a good status": {Query{}, func(f *Forwarder) { f.links[0].backoffUntil = 50 * ms }, 10 * ms, false},
		"other site lacks a shard of the query": {Query{Shards: []int{3, 4}}, func(f *Forwarder) {
			f.HandleStatus(0, Status{FreeShare: 1, UnavailableShards: []int{4}}, 0, 9*ms)
		}, 10 * ms, false},
		"other site lacks another shard": {Query{Shards: []int{3}}, func(f *Forwarder) {
			f.HandleStatus(0, Status{FreeShare: 1, UnavailableShards: []int{4}}, 0, 9*ms)
		}, 10 * ms, true},
		"answers take longer than the time left": {Query{}, func(f *Forwarder) { f.links[0].answerTime = 2 * time.Second }, 10 * ms, false},
	} {
		f := newConnectedForwarder(1)
		c.prepare(f)
		f.DrainActions()
		c.query.ID = 9
		if c.query.Deadline == 0 {
			c.query.Deadline = deadline
		}
		if got := f.Offer(c.query, c.at); got != c.want {
			t.Errorf("%s: forwarded is %v", name, got)
		} else if got {
			if a := f.DrainActions(); len(a) != 1 || a[0].Kind != Forward || a[0].RemainingTime > c.query.Deadline-c.at-policy.AnswerReserve {
				t.Errorf("%s: actions %+v", name, a)
			}
		}
	}
}

// Each rejection makes a link unusable for longer, so that two overloaded sites do not forward queries back and forth; an answer ends that.
func TestRejectionsStartBackoff(t *testing.T) {
	f := newConnectedForwarder(1)
	now, last := 10*ms, time.Duration(0)
	for id := uint64(1); id <= 8; id++ {
		f.budget = 2
		f.HandleStatus(0, Status{FreeShare: 1}, 0, now)
		if !f.Offer(Query{ID: id, Deadline: now + time.Second}, now) {
			t.Fatalf("query %d at %v not forwarded", id, now)
		}
		f.HandleResult(0, id, Rejected, now)
		if got := kinds(f.DrainActions()); !slices.Equal(got, []ActionKind{Forward, Shed}) {
			t.Fatalf("actions %v", got)
		}
		backoff := f.links[0].backoffUntil - now
		if backoff < last || backoff > maxRejectionBackoff {
			t.Errorf("backoff after rejection %d is %v, the one before was %v", id, backoff, last)
		}
		last = backoff
		now += backoff
	}
	f.HandleStatus(0, Status{FreeShare: 1}, 0, now)
	f.budget = 2
	f.Offer(Query{ID: 100, Deadline: now + time.Second}, now)
	if !f.HandleResult(0, 100, Answered, now+10*ms) || f.links[0].backoff != 0 {
		t.Error("an answer does not end the backoff")
	}
}

// What happens to a forwarded query whose link is lost, by its idempotency and by what is known about it.
func TestLinkLost(t *testing.T) {
	for name, c := range map[string]struct {
		idempotency decision.Idempotency
		unsent      bool
		then        func(f *Forwarder)
		want        []ActionKind
		risk        bool
	}{
		"idempotent":                 {decision.Idempotent, false, func(*Forwarder) {}, []ActionKind{Resubmit}, false},
		"non-idempotent, never sent": {decision.NonIdempotent, true, func(*Forwarder) {}, []ActionKind{Resubmit}, false},
		"non-idempotent, the link stays down": {decision.NonIdempotent, false, func(f *Forwarder) {
			f.Tick(500 * ms)
		}, []ActionKind{Fail}, false},
		"non-idempotent, new link to the same process": {decision.NonIdempotent, false, func(f *Forwarder) {
			f.LinkUp(0, 1, 10, 300*ms)
		}, []ActionKind{Forward}, false},
		"non-idempotent, new link to another process": {decision.NonIdempotent, false, func(f *Forwarder) {
			f.LinkUp(0, 2, 10, 300*ms)
		}, []ActionKind{Fail}, false},
		"idempotency-keyed, new link to another process within the window": {decision.IdempotencyKeyed, false, func(f *Forwarder) {
			f.LinkUp(0, 2, 10, 300*ms)
		}, []ActionKind{Resubmit}, true},
		"idempotency-keyed, after the window": {decision.IdempotencyKeyed, false, func(f *Forwarder) {
			f.links[0].up = false
			f.queries[9].IdempotencyWindow = 100 * ms
			f.Tick(500 * ms)
		}, []ActionKind{Fail}, false},
		"client leaves": {decision.NonIdempotent, false, func(f *Forwarder) {
			f.Abandon(9)
			f.LinkUp(0, 1, 10, 300*ms)
		}, nil, false},
	} {
		f := newConnectedForwarder(1)
		f.Offer(Query{ID: 9, Idempotency: c.idempotency, IdempotencyWindow: 800 * ms, Deadline: 2 * time.Second}, 10*ms)
		f.DrainActions()
		var unsent []uint64
		if c.unsent {
			unsent = []uint64{9}
		}
		f.LinkDown(0, unsent, 100*ms)
		c.then(f)
		acts := f.DrainActions()
		if got := kinds(acts); !slices.Equal(got, c.want) {
			t.Errorf("%s: actions %v, want %v", name, got, c.want)
		} else if len(acts) > 0 && (acts[0].MayHaveRun != c.risk || acts[0].Kind == Forward != acts[0].Retry) {
			t.Errorf("%s: action %+v", name, acts[0])
		}
		if c.risk && acts[0].RemainingTime > 800*ms-290*ms {
			t.Errorf("%s: remaining time %v exceeds the idempotency window", name, acts[0].RemainingTime)
		}
	}
}

// A query that times out ends while there is still time to answer its client.
func TestTimedOutBeforeDeadline(t *testing.T) {
	for idempotency, want := range map[decision.Idempotency]ActionKind{
		decision.Idempotent:       Shed,
		decision.IdempotencyKeyed: Fail,
		decision.NonIdempotent:    Fail,
	} {
		f := newConnectedForwarder(1)
		f.Offer(Query{ID: 9, Idempotency: idempotency, Deadline: time.Second}, 10*ms)
		f.DrainActions()
		next := f.Tick(20 * ms)
		if next != 950*ms {
			t.Fatalf("next Tick at %v", next)
		}
		f.Tick(next)
		if got := kinds(f.DrainActions()); !slices.Equal(got, []ActionKind{Cancel, want}) {
			t.Errorf("idempotency %d: actions %v", idempotency, got)
		}
	}
}
