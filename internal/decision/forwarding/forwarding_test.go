package forwarding

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// The courses that are drawn are the same in each run; -rapid.seed given on the command line draws others.
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

// newConnectedForwarder is a forwarding side with links that are up and whose status is good.
func newConnectedForwarder(links int) *Forwarder {
	var names []string
	for i := range links {
		names = append(names, fmt.Sprint("remote", i))
	}
	n := NewForwarder(policy, names)
	for i := range links {
		n.LinkUp(LinkIndex(i), 1, 10, 0)
		n.HandleStatus(LinkIndex(i), Status{FreeShare: 1}, 80*ms, 1*ms)
	}
	n.DrainActions()
	return n
}

func kinds(acts []Action) (all []ActionKind) {
	for _, a := range acts {
		all = append(all, a.Kind)
	}
	return all
}

// What may be forwarded, and what not.
func TestOffer(t *testing.T) {
	due := 1000 * ms
	for what, c := range map[string]struct {
		s    Query
		with func(n *Forwarder)
		at   time.Duration
		want bool
	}{
		"as it is":                  {Query{}, func(*Forwarder) {}, 10 * ms, true},
		"it came from another site": {Query{Remote: true}, func(*Forwarder) {}, 10 * ms, false},
		"it was brought back":       {Query{Returned: true}, func(*Forwarder) {}, 10 * ms, false},
		"too late":                  {Query{}, func(*Forwarder) {}, due - 150*ms, false},
		"no budget":                 {Query{}, func(n *Forwarder) { n.budget = 0.9 }, 10 * ms, false},
		"too many in flight":        {Query{}, func(n *Forwarder) { n.policy.MaxForwarded = 0 }, 10 * ms, false},
		"the link is down":          {Query{}, func(n *Forwarder) { n.LinkDown(0, nil, 5*ms) }, 10 * ms, false},
		"no credit":                 {Query{}, func(n *Forwarder) { n.LinkUp(0, 1, 0, 0) }, 10 * ms, false},
		"no status yet":             {Query{}, func(n *Forwarder) { n.LinkUp(0, 1, 10, 0) }, 10 * ms, false},
		"the status is old":         {Query{Deadline: 5 * time.Second}, func(*Forwarder) {}, 2500 * ms, false},
		"old, but it has answered since": {Query{Deadline: 5 * time.Second}, func(n *Forwarder) {
			n.links[0].answeredAt = 2400 * ms
		}, 2500 * ms, true},
		"it sheds its own": {Query{}, func(n *Forwarder) {
			n.HandleStatus(0, Status{FreeShare: 1, Shedding: true}, 0, 9*ms)
		}, 10 * ms, false},
		"it did, but has answered since": {Query{}, func(n *Forwarder) {
			n.HandleStatus(0, Status{Shedding: true}, 0, 5*ms)
			n.links[0].answeredAt = 8 * ms
		}, 10 * ms, true},
		"no capacity there": {Query{}, func(n *Forwarder) { n.HandleStatus(0, Status{}, 0, 9*ms) }, 10 * ms, false},
		"it drains, whatever it answered": {Query{}, func(n *Forwarder) {
			n.HandleStatus(0, Status{FreeShare: 1, Draining: true}, 0, 5*ms)
			n.links[0].answeredAt = 8 * ms
		}, 10 * ms, false},
		"it rejected ours, whatever it says": {Query{}, func(n *Forwarder) { n.links[0].backoffUntil = 50 * ms }, 10 * ms, false},
		"it lacks a shard": {Query{Shards: []int{3, 4}}, func(n *Forwarder) {
			n.HandleStatus(0, Status{FreeShare: 1, UnavailableShards: []int{4}}, 0, 9*ms)
		}, 10 * ms, false},
		"it lacks another": {Query{Shards: []int{3}}, func(n *Forwarder) {
			n.HandleStatus(0, Status{FreeShare: 1, UnavailableShards: []int{4}}, 0, 9*ms)
		}, 10 * ms, true},
		"its answers take longer than that": {Query{}, func(n *Forwarder) { n.links[0].answerTime = 2 * time.Second }, 10 * ms, false},
	} {
		n := newConnectedForwarder(1)
		c.with(n)
		n.DrainActions()
		c.s.ID = 9
		if c.s.Deadline == 0 {
			c.s.Deadline = due
		}
		if got := n.Offer(c.s, c.at); got != c.want {
			t.Errorf("%s: %v", what, got)
		} else if got {
			if a := n.DrainActions(); len(a) != 1 || a[0].Kind != Forward || a[0].RemainingTime > c.s.Deadline-c.at-policy.AnswerReserve {
				t.Errorf("%s: %+v", what, a)
			}
		}
	}
}

// Each rejection closes a link for longer, so that two overloaded sites do not hand work back and forth; an answer opens it.
func TestRejectionsStartBackoff(t *testing.T) {
	n := newConnectedForwarder(1)
	now, last := 10*ms, time.Duration(0)
	for id := uint64(1); id <= 8; id++ {
		n.budget = 2
		n.HandleStatus(0, Status{FreeShare: 1}, 0, now)
		if !n.Offer(Query{ID: id, Deadline: now + time.Second}, now) {
			t.Fatalf("query %d at %v not forwarded", id, now)
		}
		n.HandleResult(0, id, Rejected, now)
		if got := kinds(n.DrainActions()); !slices.Equal(got, []ActionKind{Forward, Shed}) {
			t.Fatalf("actions %v", got)
		}
		backoff := n.links[0].backoffUntil - now
		if backoff < last || backoff > maxRejectionBackoff {
			t.Errorf("rejection %d closes for %v after %v", id, backoff, last)
		}
		last = backoff
		now += backoff
	}
	n.HandleStatus(0, Status{FreeShare: 1}, 0, now)
	n.budget = 2
	n.Offer(Query{ID: 100, Deadline: now + time.Second}, now)
	if !n.HandleResult(0, 100, Answered, now+10*ms) || n.links[0].backoff != 0 {
		t.Error("an answer does not open it")
	}
}

// What a lost link leaves, by effect and by what is known.
func TestLinkLost(t *testing.T) {
	for what, c := range map[string]struct {
		effect decision.Idempotency
		unsent bool
		then   func(n *Forwarder)
		want   []ActionKind
		risk   bool
	}{
		"idempotent":                       {decision.Idempotent, false, func(*Forwarder) {}, []ActionKind{Resubmit}, false},
		"never sent, without effect twice": {decision.NonIdempotent, true, func(*Forwarder) {}, []ActionKind{Resubmit}, false},
		"non-idempotent, the link stays away": {decision.NonIdempotent, false, func(n *Forwarder) {
			n.Tick(500 * ms)
		}, []ActionKind{Fail}, false},
		"non-idempotent, the same process": {decision.NonIdempotent, false, func(n *Forwarder) {
			n.LinkUp(0, 1, 10, 300*ms)
		}, []ActionKind{Forward}, false},
		"non-idempotent, another process": {decision.NonIdempotent, false, func(n *Forwarder) {
			n.LinkUp(0, 2, 10, 300*ms)
		}, []ActionKind{Fail}, false},
		"idempotency-keyed, another process in its window": {decision.IdempotencyKeyed, false, func(n *Forwarder) {
			n.LinkUp(0, 2, 10, 300*ms)
		}, []ActionKind{Resubmit}, true},
		"idempotency-keyed, past its window": {decision.IdempotencyKeyed, false, func(n *Forwarder) {
			n.links[0].up = false
			n.queries[9].IdempotencyWindow = 100 * ms
			n.Tick(500 * ms)
		}, []ActionKind{Fail}, false},
		"its client departs": {decision.NonIdempotent, false, func(n *Forwarder) {
			n.Abandon(9)
			n.LinkUp(0, 1, 10, 300*ms)
		}, nil, false},
	} {
		n := newConnectedForwarder(1)
		n.Offer(Query{ID: 9, Idempotency: c.effect, IdempotencyWindow: 800 * ms, Deadline: 2 * time.Second}, 10*ms)
		n.DrainActions()
		var unsent []uint64
		if c.unsent {
			unsent = []uint64{9}
		}
		n.LinkDown(0, unsent, 100*ms)
		c.then(n)
		acts := n.DrainActions()
		if got := kinds(acts); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, not %v", what, got, c.want)
		} else if len(acts) > 0 && (acts[0].MayHaveRun != c.risk || acts[0].Kind == Forward != acts[0].Retry) {
			t.Errorf("%s: %+v", what, acts[0])
		}
		if c.risk && acts[0].RemainingTime > 800*ms-290*ms {
			t.Errorf("%s: %v left, past its window", what, acts[0].RemainingTime)
		}
	}
}

// Whoever waits too long is told while there is time to speak.
func TestTimedOutBeforeDeadline(t *testing.T) {
	for effect, want := range map[decision.Idempotency]ActionKind{
		decision.Idempotent:       Shed,
		decision.IdempotencyKeyed: Fail,
		decision.NonIdempotent:    Fail,
	} {
		n := newConnectedForwarder(1)
		n.Offer(Query{ID: 9, Idempotency: effect, Deadline: time.Second}, 10*ms)
		n.DrainActions()
		next := n.Tick(20 * ms)
		if next != 950*ms {
			t.Fatalf("comes again at %v", next)
		}
		n.Tick(next)
		if got := kinds(n.DrainActions()); !slices.Equal(got, []ActionKind{Cancel, want}) {
			t.Errorf("effect %d: %v", effect, got)
		}
	}
}
