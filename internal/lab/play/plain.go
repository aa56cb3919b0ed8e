package play

// This file owns the policies that the module is held against: random choice, which any broker could do, and a seer, which looks
// into the nodes and so can't exist. Both keep the rules on effects and answers; neither copies slow parts.

import (
	"math/rand/v2"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// foresee tells when a node would have answered a part that it is sent now; false: it would not.
type foresee func(id decision.NodeID, now time.Duration) (time.Duration, bool)

// plain is a policy without memory of nodes.
type plain struct {
	t      *decision.Settings
	rnd    *rand.Rand
	see    foresee
	list   map[decision.NodeID]decision.Endpoint
	cells  [][]decision.NodeID
	hand   []*simple
	byID   map[uint64]*simple
	owners map[uint64]*simple
	asked  bool
	due    time.Duration
}

type simple struct {
	id             uint64
	typ            *decision.QueryType
	deadline, last time.Duration
	parts          []piece
	over           bool
	got            float64
}

type piece struct {
	id     uint64
	shard  int
	weight float64
	tries  uint16
	out    int
	in     bool
	dead   bool
}

func newPlain(t decision.Settings, rnd *rand.Rand, see foresee) *plain {
	return &plain{t: &t, rnd: rnd, see: see, list: map[decision.NodeID]decision.Endpoint{}, cells: make([][]decision.NodeID, t.Cells),
		byID: map[uint64]*simple{}, owners: map[uint64]*simple{}}
}

func (p *plain) Step(now time.Duration, events []decision.Event, out []decision.Action) []decision.Action {
	if !p.asked && now >= p.due {
		p.asked = true
		out = append(out, decision.Action{Kind: decision.SubscribeList})
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case decision.FullListReceived, decision.ListUpdateReceived:
			p.relist(e)
		case decision.ListPollFailed:
			p.asked, p.due = false, now+time.Second
		case decision.QueryReceived:
			y := &p.t.QueryTypes[e.Type]
			s := &simple{id: e.ID, typ: y, deadline: now + min(y.LatencyObjective, e.RemainingTime) - 50*time.Millisecond, last: now + e.RemainingTime - 15*time.Millisecond}
			p.hand = append(p.hand, s)
			p.byID[e.ID] = s
		case decision.ShardRequestReceived:
			s := p.hand[len(p.hand)-1]
			s.parts = append(s.parts, piece{id: e.ID, shard: e.Shard, weight: e.Weight})
			p.owners[e.ID] = s
		case decision.AttemptEnded:
			if s := p.owners[e.ID]; s != nil {
				k := &s.parts[slices.IndexFunc(s.parts, func(k piece) bool { return k.id == e.ID })]
				if k.out--; e.Outcome == decision.OK && !k.in {
					k.in, s.got = true, s.got+k.weight
				} else if e.Outcome != decision.Cancelled {
					never := e.Outcome == decision.Rejected || e.Outcome == decision.ConnectFailed || e.Outcome == decision.NeverSent
					k.dead = k.tries >= 3 || !never && s.typ.Idempotency != decision.Idempotent
				}
			}
		case decision.ClientDeparted:
			if s := p.byID[e.ID]; s != nil {
				s.over = true
			}
		}
	}
	next := now + time.Hour
	for _, s := range p.hand {
		if !s.over {
			out = p.look(s, now, out)
		}
		if !s.over {
			next = min(next, s.last)
			if s.deadline > now {
				next = min(next, s.deadline)
			}
		}
	}
	p.hand = slices.DeleteFunc(p.hand, func(s *simple) bool {
		if s.over {
			delete(p.byID, s.id)
			for i := range s.parts {
				delete(p.owners, s.parts[i].id)
			}
		}
		return s.over
	})
	if !p.asked {
		next = min(next, max(p.due, now+1))
	}
	return append(out, decision.Action{Kind: decision.SetTimer, TimerAt: next})
}

func (p *plain) relist(e *decision.Event) {
	if e.Kind == decision.FullListReceived {
		clear(p.list)
	}
	for _, n := range e.Endpoints {
		if n.State == decision.Ready {
			p.list[n.Node] = n
		} else {
			delete(p.list, n.Node)
		}
	}
	for i := range p.cells {
		p.cells[i] = p.cells[i][:0]
	}
	for id, n := range p.list {
		p.cells[n.Cell] = append(p.cells[n.Cell], id)
	}
	for i := range p.cells {
		slices.SortFunc(p.cells[i], func(a, b decision.NodeID) int {
			return slices.Compare(append(a.Addr[:], byte(a.Port>>8), byte(a.Port)), append(b.Addr[:], byte(b.Port>>8), byte(b.Port)))
		})
	}
}

// look sends what can be sent of a search and ends it if it can be ended.
func (p *plain) look(s *simple, now time.Duration, out []decision.Action) []decision.Action {
	hopeful, ran := s.got, false
	for i := range s.parts {
		k := &s.parts[i]
		if k.in || k.dead || k.out > 0 {
			if !k.dead && !k.in {
				hopeful += k.weight
			}
			ran = ran || k.in || k.out > 0
			continue
		}
		node, ok := p.choose(s, k, now)
		if !ok {
			if p.see != nil { // it sees that nobody can
				k.dead = now+20*time.Millisecond > s.deadline || k.tries > 0
			} else {
				k.dead = true
			}
			if !k.dead {
				hopeful += k.weight
			}
			continue
		}
		hopeful += k.weight
		k.out, k.tries, ran = k.out+1, k.tries+1, true
		out = append(out, decision.Action{Kind: decision.SendAttempt, ID: k.id, Node: node})
	}
	end := func(kind decision.ActionKind, whole bool) []decision.Action {
		s.over = true
		out = append(out, decision.Action{Kind: kind, ID: s.id, Complete: whole, RetryAfter: 200 * time.Millisecond})
		for i := range s.parts {
			if k := &s.parts[i]; k.out > 0 {
				out = append(out, decision.Action{Kind: decision.CancelAttempt, ID: k.id, Attempt: k.tries - 1})
			}
		}
		return out
	}
	const eps = 5e-5
	switch {
	case s.got >= s.typ.FullCompleteness-eps:
		return end(decision.AnswerQuery, true)
	case s.got >= s.typ.MinCompleteness-eps && (now >= s.deadline || hopeful-s.got < eps):
		return end(decision.AnswerQuery, false)
	case hopeful < s.typ.MinCompleteness-eps, now >= s.last:
		if s.typ.Idempotency == decision.Idempotent && now < s.last || !ran && s.untouched() {
			return end(decision.ShedQuery, false)
		}
		return end(decision.FailQuery, false)
	}
	return out
}

func (s *simple) untouched() bool {
	return !slices.ContainsFunc(s.parts, func(k piece) bool { return k.tries > 0 })
}

// choose takes any holder, or the one that the seer sees answer first, if that is in time.
func (p *plain) choose(s *simple, k *piece, now time.Duration) (decision.NodeID, bool) {
	holders := p.cells[k.shard%p.t.Cells]
	if len(holders) == 0 {
		return decision.NodeID{}, false
	}
	if p.see == nil {
		return holders[p.rnd.IntN(len(holders))], true
	}
	best, at := decision.NodeID{}, never
	for _, id := range holders {
		if when, ok := p.see(id, now); ok && when < at {
			best, at = id, when
		}
	}
	return best, at <= s.deadline
}

// foresee looks into a node.
func (w *world) foresee(id decision.NodeID, now time.Duration) (time.Duration, bool) {
	n := w.byID[id]
	if n == nil || n.dead || n.fallen || n.gone > 0 || n.hung > 0 || len(n.queue) >= w.script.Fleet.Queue {
		return 0, false
	}
	if n.cold && n.now-n.boot < w.script.Fleet.WarmUpAfter { // its ration: what it can do, not what it would take
		can := n.capacity() * float64(len(n.cores)) * float64(w.script.Fleet.CrashAfter)
		if float64(n.sum) > 0.6*w.script.Fleet.CrashMultiple*can {
			return 0, false
		}
	}
	work := time.Duration(0)
	for _, j := range n.queue {
		work += j.work
	}
	for _, j := range n.cores {
		if j != nil {
			work += j.work / 2
		}
	}
	own := w.script.Types[0].Work + w.script.Fleet.CallWork
	took := float64(work)/float64(len(n.cores)) + float64(own)
	return max(now, n.still) + time.Duration(took/n.capacity()*w.plan.Slow(n.n, now)) + 2*w.script.Network.CrossZoneDelay, true
}
