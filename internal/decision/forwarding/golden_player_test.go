package forwarding

import (
	"fmt"
	"hash"
	"math/rand/v2"
	"strings"
	"time"

	"flaxfront/internal/decision"
)

// player plays one forwarding side with three links and one receiving side with three origins.
type player struct {
	rnd       *rand.Rand
	digest    hash.Hash64
	now       time.Duration
	forwarder *Forwarder
	receiver  *Receiver
	last      uint64
	serials   uint64
	losses    uint64
	where     map[uint64]LinkIndex
	course    course
}

// course is what a sequence has more of than others.
type course uint64

const (
	mixedCourse    course = iota
	rejectedCourse        // nearly every forwarded query is rejected
	flappingCourse        // links are lost and come back to the same process
	courses
)

func (p *player) span(most time.Duration) time.Duration {
	return time.Duration(p.rnd.Int64N(int64(most)))
}

func (p *player) chance(in int) bool { return p.rnd.IntN(in) == 0 }

func (p *player) number(results ...any) { fmt.Fprintln(p.digest, results...) }

func (p *player) some() uint64 {
	if p.last == 0 {
		return 0
	}
	return p.last - uint64(p.rnd.Int64N(int64(min(p.last, 12))))
}

func (p *player) shards() (all []int) {
	for range p.rnd.IntN(3) {
		all = append(all, p.rnd.IntN(6))
	}
	return all
}

func (p *player) offer() {
	p.last++
	s := Query{
		ID:                p.last,
		Idempotency:       decision.Idempotency(p.rnd.IntN(3)),
		IdempotencyWindow: p.span(900 * time.Millisecond),
		Deadline:          p.now + p.span(1500*time.Millisecond),
		Shards:            p.shards(),
	}
	s.Remote = p.chance(20)
	s.Returned = p.chance(20)
	p.number(p.forwarder.Offer(s, p.now))
}

func (p *player) link(at LinkIndex) {
	what := p.rnd.IntN(6)
	if p.course == rejectedCourse && what < 3 && !p.chance(20) {
		what = 3
	}
	switch what {
	case 0:
		p.losses++
		var unsent []uint64
		for id, peer := range p.where {
			if peer == at && (id+p.losses)%3 == 0 {
				unsent = append(unsent, id)
			}
		}
		p.forwarder.LinkDown(at, unsent, p.now)
	case 1, 2:
		epoch := uint64(1)
		if p.course == mixedCourse {
			epoch += uint64(p.rnd.IntN(2))
		}
		p.forwarder.LinkUp(at, epoch, 1+p.rnd.IntN(6), p.now)
	default:
		status := Status{FreeShare: float64(p.rnd.IntN(5)) / 4, Shedding: p.chance(8), Draining: p.chance(12)}
		if p.chance(3) {
			status.UnavailableShards = p.shards()
		}
		p.forwarder.HandleStatus(at, status, p.span(60*time.Millisecond), p.now)
	}
}

func (p *player) drain() {
	for _, a := range p.forwarder.DrainActions() {
		p.number(a.Kind, a.ID, int(a.Link), int64(a.RemainingTime), a.Retry, a.MayHaveRun, strings.Contains(a.Text, "again"))
		if a.Kind == Forward {
			p.where[a.ID] = a.Link
		}
	}
}

func (p *player) receive(origin Origin) {
	k := Key{Origin: origin, ID: uint64(p.rnd.IntN(40))}
	load := Load{Capacity: 10 + p.rnd.IntN(30), Used: p.rnd.IntN(25), Draining: p.chance(20), ShardUnavailable: p.chance(20)}
	link := p.serials - min(p.serials, uint64(p.rnd.IntN(4)))
	q := RemoteQuery{
		Key:           k,
		Link:          link,
		Idempotency:   decision.Idempotency(p.rnd.IntN(3)),
		ShardRequests: p.rnd.IntN(4),
		RemainingTime: p.span(800 * time.Millisecond),
	}
	p.number(uint8(p.receiver.HandleQuery(q, load, p.now)))
}

func (p *player) receiverStep() {
	origin := Origin{Name: fmt.Sprint("a/n", p.rnd.IntN(3)), Epoch: uint64(p.rnd.IntN(2))}
	k := Key{Origin: origin, ID: uint64(p.rnd.IntN(40))}
	switch p.rnd.IntN(24) {
	case 0:
		p.serials++
		p.receiver.LinkOpened(origin, p.serials-min(p.serials, uint64(p.rnd.IntN(5))))
	case 1:
		p.receiver.LinkClosed(origin, p.serials-min(p.serials, uint64(p.rnd.IntN(3))), p.now)
	case 2:
		p.receiver.QueryShed(p.now)
	case 3, 4:
		p.number(p.receiver.CancelledByLinkLoss(k))
	case 5, 6:
		p.number(p.receiver.Cancel(k))
	case 7, 8, 9, 10, 11:
		p.number(p.receiver.QueryEnded(k))
	case 12:
		var sum uint64
		gone := p.receiver.ForgetExpired(p.now)
		for _, g := range gone {
			sum += g.ID*7 + g.Origin.Epoch + uint64(len(g.Origin.Name))
		}
		p.number(len(gone), sum)
	default:
		p.receive(origin)
	}
	p.number(p.receiver.FreeShare(20), p.receiver.Shedding(p.now))
	c := p.receiver.Counters
	p.number(c.Received, c.Admitted, c.Rejected, c.Joined, c.Repeated, c.Cancelled, c.InFlight, c.Remembered)
}

func (p *player) forwarderStep() {
	at := LinkIndex(p.rnd.IntN(goldenLinks))
	switch p.rnd.IntN(16) {
	case 0, 1, 2, 3, 4:
		p.offer()
	case 5, 6, 7:
		id := p.some()
		if peer, known := p.where[id]; known && !p.chance(6) {
			at = peer
		}
		outcome := Outcome(p.rnd.IntN(3))
		if p.course == rejectedCourse && !p.chance(15) {
			outcome = Rejected
		}
		if p.course != flappingCourse || p.chance(3) {
			p.number(p.forwarder.HandleResult(at, id, outcome, p.now))
		} else {
			p.link(at)
		}
	case 8:
		p.forwarder.Abandon(p.some())
	case 9, 10, 11:
		p.link(at)
	case 12, 13:
		p.forwarder.QueryAccepted()
	default:
		p.number(int64(p.forwarder.Tick(p.now)))
	}
	p.drain()
	c := p.forwarder.Counters
	p.number(c.Forwarded, c.Answered, c.Rejected, c.Failed, c.LinkLost, c.Retried, c.Returned, c.TimedOut, c.NoBudget, c.NoLink,
		c.NoTime, c.InFlight)
	for _, s := range p.forwarder.Snapshot(p.now) {
		p.number(s.Name, s.Up, s.Usable, s.Draining, s.InFlight, s.Credit, int64(s.RoundTrip), int64(s.AnswerTime), s.FreeShare, s.Shedding,
			int64(s.StatusAge), int64(s.RemainingBackoff))
	}
}
