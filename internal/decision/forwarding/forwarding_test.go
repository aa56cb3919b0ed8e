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

var policy = Policy{Share: 0.1, Burst: 3, MostAbroad: 4, LeastLeft: 50 * ms, Speak: 50 * ms, Resume: 300 * ms, Accept: 0.5,
	MostRemember: 8}

// near is a near side with links that stand and have been heard well of.
func near(links int) *Near {
	var names []string
	for i := range links {
		names = append(names, fmt.Sprint("far", i))
	}
	n := NewNear(policy, names)
	for i := range links {
		n.Up(Peer(i), 1, 10, 0)
		n.Heard(Peer(i), Status{Room: 1}, 80*ms, 1*ms)
	}
	n.Acts()
	return n
}

func kinds(acts []Act) (all []Kind) {
	for _, a := range acts {
		all = append(all, a.Kind)
	}
	return all
}

// What may be forwarded, and what not.
func TestOffer(t *testing.T) {
	due := 1000 * ms
	for what, c := range map[string]struct {
		s    Search
		with func(n *Near)
		at   time.Duration
		want bool
	}{
		"as it is":                          {Search{}, func(*Near) {}, 10 * ms, true},
		"it came from another site":         {Search{Foreign: true}, func(*Near) {}, 10 * ms, false},
		"it was brought back":               {Search{Home: true}, func(*Near) {}, 10 * ms, false},
		"too late":                          {Search{}, func(*Near) {}, due - 150*ms, false},
		"no budget":                         {Search{}, func(n *Near) { n.tokens = 0.9 }, 10 * ms, false},
		"too many abroad":                   {Search{}, func(n *Near) { n.policy.MostAbroad = 0 }, 10 * ms, false},
		"the link is down":                  {Search{}, func(n *Near) { n.Down(0, nil, 5*ms) }, 10 * ms, false},
		"no credit":                         {Search{}, func(n *Near) { n.Up(0, 1, 0, 0) }, 10 * ms, false},
		"nothing heard yet":                 {Search{}, func(n *Near) { n.Up(0, 1, 10, 0) }, 10 * ms, false},
		"what was heard is old":             {Search{Due: 5 * time.Second}, func(*Near) {}, 2500 * ms, false},
		"old, but it has answered since":    {Search{Due: 5 * time.Second}, func(n *Near) { n.peers[0].good = 2400 * ms }, 2500 * ms, true},
		"it refuses its own":                {Search{}, func(n *Near) { n.Heard(0, Status{Room: 1, Refusing: true}, 0, 9*ms) }, 10 * ms, false},
		"it did, but has answered since":    {Search{}, func(n *Near) { n.Heard(0, Status{Refusing: true}, 0, 5*ms); n.peers[0].good = 8 * ms }, 10 * ms, true},
		"no room there":                     {Search{}, func(n *Near) { n.Heard(0, Status{}, 0, 9*ms) }, 10 * ms, false},
		"it stops, whatever it answered":    {Search{}, func(n *Near) { n.Heard(0, Status{Room: 1, Stopping: true}, 0, 5*ms); n.peers[0].good = 8 * ms }, 10 * ms, false},
		"it refused ours, whatever it says": {Search{}, func(n *Near) { n.peers[0].until = 50 * ms }, 10 * ms, false},
		"it lacks a shard":                  {Search{Shards: []int{3, 4}}, func(n *Near) { n.Heard(0, Status{Room: 1, Lacking: []int{4}}, 0, 9*ms) }, 10 * ms, false},
		"it lacks another":                  {Search{Shards: []int{3}}, func(n *Near) { n.Heard(0, Status{Room: 1, Lacking: []int{4}}, 0, 9*ms) }, 10 * ms, true},
		"its answers take longer than that": {Search{}, func(n *Near) { n.peers[0].took = 2 * time.Second }, 10 * ms, false},
	} {
		n := near(1)
		c.with(n)
		n.Acts()
		c.s.ID = 9
		if c.s.Due == 0 {
			c.s.Due = due
		}
		if got := n.Offer(c.s, c.at); got != c.want {
			t.Errorf("%s: %v", what, got)
		} else if got {
			if a := n.Acts(); len(a) != 1 || a[0].Kind != Forward || a[0].Left > c.s.Due-c.at-policy.Speak {
				t.Errorf("%s: %+v", what, a)
			}
		}
	}
}

// Each refusal closes a link for longer, so that two overloaded sites do not hand work back and forth; an answer opens it.
func TestRefusalsClose(t *testing.T) {
	n := near(1)
	now, last := 10*ms, time.Duration(0)
	for id := uint64(1); id <= 8; id++ {
		n.tokens = 2
		n.Heard(0, Status{Room: 1}, 0, now)
		if !n.Offer(Search{ID: id, Due: now + time.Second}, now) {
			t.Fatalf("search %d at %v not forwarded", id, now)
		}
		n.Back(0, id, Refused, now)
		if got := kinds(n.Acts()); !slices.Equal(got, []Kind{Forward, Shed}) {
			t.Fatalf("acts %v", got)
		}
		shut := n.peers[0].until - now
		if shut < last || shut > refusedMost {
			t.Errorf("refusal %d closes for %v after %v", id, shut, last)
		}
		last = shut
		now += shut
	}
	n.Heard(0, Status{Room: 1}, 0, now)
	n.tokens = 2
	n.Offer(Search{ID: 100, Due: now + time.Second}, now)
	if !n.Back(0, 100, Answered, now+10*ms) || n.peers[0].penalty != 0 {
		t.Error("an answer does not open it")
	}
}

// What a lost link leaves, by effect and by what is known.
func TestLost(t *testing.T) {
	for what, c := range map[string]struct {
		effect decision.Idempotency
		unsent bool
		then   func(n *Near)
		want   []Kind
		risk   bool
	}{
		"idempotent":                             {decision.Idempotent, false, func(*Near) {}, []Kind{Home}, false},
		"never sent, without effect twice":       {decision.NonIdempotent, true, func(*Near) {}, []Kind{Home}, false},
		"non-idempotent, the link stays away":    {decision.NonIdempotent, false, func(n *Near) { n.Tick(500 * ms) }, []Kind{Fail}, false},
		"non-idempotent, the same process":       {decision.NonIdempotent, false, func(n *Near) { n.Up(0, 1, 10, 300*ms) }, []Kind{Forward}, false},
		"non-idempotent, another process":        {decision.NonIdempotent, false, func(n *Near) { n.Up(0, 2, 10, 300*ms) }, []Kind{Fail}, false},
		"tokened, another process in its window": {decision.IdempotencyKeyed, false, func(n *Near) { n.Up(0, 2, 10, 300*ms) }, []Kind{Home}, true},
		"tokened, past its window":               {decision.IdempotencyKeyed, false, func(n *Near) { n.peers[0].up = false; n.trips[9].Window = 100 * ms; n.Tick(500 * ms) }, []Kind{Fail}, false},
		"its client goes":                        {decision.NonIdempotent, false, func(n *Near) { n.Gone(9); n.Up(0, 1, 10, 300*ms) }, nil, false},
	} {
		n := near(1)
		n.Offer(Search{ID: 9, Effect: c.effect, Window: 800 * ms, Due: 2 * time.Second}, 10*ms)
		n.Acts()
		var unsent []uint64
		if c.unsent {
			unsent = []uint64{9}
		}
		n.Down(0, unsent, 100*ms)
		c.then(n)
		acts := n.Acts()
		if got := kinds(acts); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, not %v", what, got, c.want)
		} else if len(acts) > 0 && (acts[0].Risk != c.risk || acts[0].Kind == Forward != acts[0].Again) {
			t.Errorf("%s: %+v", what, acts[0])
		}
		if c.risk && acts[0].Left > 800*ms-290*ms {
			t.Errorf("%s: %v left, past its window", what, acts[0].Left)
		}
	}
}

// Whoever waits too long is told while there is time to speak.
func TestGivenUpInTime(t *testing.T) {
	for effect, want := range map[decision.Idempotency]Kind{decision.Idempotent: Shed, decision.IdempotencyKeyed: Fail, decision.NonIdempotent: Fail} {
		n := near(1)
		n.Offer(Search{ID: 9, Effect: effect, Due: time.Second}, 10*ms)
		n.Acts()
		next := n.Tick(20 * ms)
		if next != 950*ms {
			t.Fatalf("comes again at %v", next)
		}
		n.Tick(next)
		if got := kinds(n.Acts()); !slices.Equal(got, []Kind{Cancel, want}) {
			t.Errorf("effect %d: %v", effect, got)
		}
	}
}
