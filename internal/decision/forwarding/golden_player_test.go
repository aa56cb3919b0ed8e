package forwarding

import (
	"fmt"
	"hash"
	"math/rand/v2"
	"strings"
	"time"

	"flaxfront/internal/decision"
)

// player drives a Forwarder with three links and a Receiver with three origins by pseudo-random events, and digests the results.
type player struct {
	rnd         *rand.Rand
	digest      hash.Hash64
	now         time.Duration
	forwarder   *Forwarder
	receiver    *Receiver
	lastID      uint64
	serials     uint64
	disconnects uint64
	links       map[uint64]LinkIndex
	profile     profile
}

// profile selects the events that a sequence has more of than others.
type profile uint64

const (
	mixedProfile     profile = iota
	rejectionProfile         // nearly every forwarded query is rejected
	flappingProfile          // links are lost and established again to the same process
	profileCount
)

func (p *player) randomDuration(most time.Duration) time.Duration {
	return time.Duration(p.rnd.Int64N(int64(most)))
}

func (p *player) chance(in int) bool { return p.rnd.IntN(in) == 0 }

func (p *player) digestValues(results ...any) { fmt.Fprintln(p.digest, results...) }

func (p *player) recentID() uint64 {
	if p.lastID == 0 {
		return 0
	}
	return p.lastID - uint64(p.rnd.Int64N(int64(min(p.lastID, 12))))
}

func (p *player) shards() (all []int) {
	for range p.rnd.IntN(3) {
		all = append(all, p.rnd.IntN(6))
	}
	return all
}

func (p *player) offer() {
	p.lastID++
	query := Query{
		ID:                p.lastID,
		Idempotency:       decision.Idempotency(p.rnd.IntN(3)),
		IdempotencyWindow: p.randomDuration(900 * time.Millisecond),
		Deadline:          p.now + p.randomDuration(1500*time.Millisecond),
		Shards:            p.shards(),
	}
	query.Remote = p.chance(20)
	query.Returned = p.chance(20)
	p.digestValues(p.forwarder.Offer(query, p.now))
}

func (p *player) link(index LinkIndex) {
	event := p.rnd.IntN(6)
	if p.profile == rejectionProfile && event < 3 && !p.chance(20) {
		event = 3
	}
	switch event {
	case 0:
		p.disconnects++
		var unsent []uint64
		for id, linkIndex := range p.links {
			if linkIndex == index && (id+p.disconnects)%3 == 0 {
				unsent = append(unsent, id)
			}
		}
		p.forwarder.LinkDown(index, unsent, p.now)
	case 1, 2:
		epoch := uint64(1)
		if p.profile == mixedProfile {
			epoch += uint64(p.rnd.IntN(2))
		}
		p.forwarder.LinkUp(index, epoch, 1+p.rnd.IntN(6), p.now)
	default:
		status := Status{FreeShare: float64(p.rnd.IntN(5)) / 4, Shedding: p.chance(8), Draining: p.chance(12)}
		if p.chance(3) {
			status.UnavailableShards = p.shards()
		}
		p.forwarder.HandleStatus(index, status, p.randomDuration(60*time.Millisecond), p.now)
	}
}

func (p *player) drain() {
	for _, a := range p.forwarder.DrainActions() {
		p.digestValues(a.Kind, a.ID, int(a.Link), int64(a.RemainingTime), a.Retry, a.MayHaveRun, strings.Contains(a.Text, "again"))
		if a.Kind == Forward {
			p.links[a.ID] = a.Link
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
		RemainingTime: p.randomDuration(800 * time.Millisecond),
	}
	p.digestValues(uint8(p.receiver.HandleQuery(q, load, p.now)))
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
		p.digestValues(p.receiver.CancelledByLinkLoss(k))
	case 5, 6:
		p.digestValues(p.receiver.Cancel(k))
	case 7, 8, 9, 10, 11:
		p.digestValues(p.receiver.QueryEnded(k))
	case 12:
		var sum uint64
		expired := p.receiver.ForgetExpired(p.now)
		for _, key := range expired {
			sum += key.ID*7 + key.Origin.Epoch + uint64(len(key.Origin.Name))
		}
		p.digestValues(len(expired), sum)
	default:
		p.receive(origin)
	}
	p.digestValues(p.receiver.FreeShare(20), p.receiver.Shedding(p.now))
	c := p.receiver.Counters
	p.digestValues(c.Received, c.Admitted, c.Rejected, c.Joined, c.Repeated, c.Cancelled, c.InFlight, c.Remembered)
}

func (p *player) forwarderStep() {
	index := LinkIndex(p.rnd.IntN(goldenLinks))
	switch p.rnd.IntN(16) {
	case 0, 1, 2, 3, 4:
		p.offer()
	case 5, 6, 7:
		id := p.recentID()
		if linkIndex, known := p.links[id]; known && !p.chance(6) {
			index = linkIndex
		}
		outcome := Outcome(p.rnd.IntN(3))
		if p.profile == rejectionProfile && !p.chance(15) {
			outcome = Rejected
		}
		if p.profile != flappingProfile || p.chance(3) {
			p.digestValues(p.forwarder.HandleResult(index, id, outcome, p.now))
		} else {
			p.link(index)
		}
	case 8:
		p.forwarder.Abandon(p.recentID())
	case 9, 10, 11:
		p.link(index)
	case 12, 13:
		p.forwarder.QueryAccepted()
	default:
		p.digestValues(int64(p.forwarder.Tick(p.now)))
	}
	p.drain()
	c := p.forwarder.Counters
	p.digestValues(c.Forwarded, c.Answered, c.Rejected, c.Failed, c.LinkLost, c.Retried, c.Returned, c.TimedOut, c.NoBudget, c.NoLink,
		c.NoTime, c.InFlight)
	for _, s := range p.forwarder.Snapshot(p.now) {
		p.digestValues(s.Name, s.Up, s.Usable, s.Draining, s.InFlight, s.Credit, int64(s.RoundTrip), int64(s.AnswerTime), s.FreeShare, s.Shedding,
			int64(s.StatusAge), int64(s.RemainingBackoff))
	}
}
