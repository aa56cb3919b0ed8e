package admission

import (
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

var record = flag.Bool("record", false, "write the golden file instead of comparing with it")

const goldenFile = "testdata/sequences.golden"

// player drives one controller with pseudo-random clients and a store whose delay changes, and digests the results.
type player struct {
	rnd        *rand.Rand
	digest     hash.Hash64
	controller *Controller
	now        time.Duration
	nextID     uint64
	waiting    map[uint64]Query
	order      []uint64 // keys of waiting, in order of arrival
	admitted   []Query
	admittedAt []time.Duration // of admitted, by index
	delay      time.Duration   // of the store
	evicted    []Dequeued      // since the last tick, with which they are digested, as when the digests were recorded
	tenants    int
}

func (p *player) randomDuration(most time.Duration) time.Duration {
	return time.Duration(p.rnd.Int64N(int64(most)))
}

func (p *player) digestFloats(values ...float64) {
	for _, v := range values {
		fmt.Fprintf(p.digest, "%x ", math.Float64bits(v))
	}
}

func (p *player) arrive() {
	p.nextID++
	s := Query{
		ID:       p.nextID,
		Tenant:   p.rnd.IntN(p.tenants),
		Client:   uint64(p.rnd.IntN(6)),
		Work:     float64(1 + p.rnd.IntN(5)),
		TimeLeft: p.randomDuration(2*time.Second) + time.Millisecond,
		Retry:    p.rnd.IntN(5) == 0,
	}
	ruling := p.controller.Arrive(s, p.now)
	fmt.Fprintln(p.digest, uint8(ruling.Decision), int64(ruling.RetryAfter))
	if ruling.Evicted.ID != 0 {
		p.evicted = append(p.evicted, ruling.Evicted)
	}
	switch ruling.Decision {
	case Admit:
		p.recordAdmitted(s)
	case Enqueue:
		p.waiting[s.ID] = s
		p.order = append(p.order, s.ID)
	}
}

func (p *player) recordAdmitted(s Query) {
	p.admitted = append(p.admitted, s)
	p.admittedAt = append(p.admittedAt, p.now)
}

func (p *player) removeWaiting(id uint64) {
	delete(p.waiting, id)
	for i, o := range p.order {
		if o == id {
			p.order = append(p.order[:i], p.order[i+1:]...)
			break
		}
	}
}

func (p *player) tick() {
	dequeued, next := p.controller.Tick(p.now, p.evicted)
	p.evicted = nil
	fmt.Fprintln(p.digest, len(dequeued), int64(next))
	for _, l := range dequeued {
		fmt.Fprintln(p.digest, l.ID, l.Admitted, int64(l.RetryAfter))
		if l.Admitted {
			p.recordAdmitted(p.waiting[l.ID])
		}
		p.removeWaiting(l.ID)
	}
}

func (p *player) completeOne() {
	if len(p.admitted) == 0 {
		return
	}
	i := p.rnd.IntN(len(p.admitted))
	elapsed := p.now - p.admittedAt[i]
	if elapsed < p.delay && p.rnd.IntN(4) > 0 {
		return
	}
	ownDelay := time.Duration(0)
	if p.rnd.IntN(3) == 0 {
		ownDelay = p.randomDuration(elapsed + 2)
	}
	answered := p.rnd.IntN(6) > 0
	p.controller.Complete(Completion{Work: p.admitted[i].Work, Elapsed: elapsed, OwnDelay: ownDelay, Answered: answered,
		Shed: !answered && p.rnd.IntN(2) == 0}, p.now)
	p.admitted = append(p.admitted[:i], p.admitted[i+1:]...)
	p.admittedAt = append(p.admittedAt[:i], p.admittedAt[i+1:]...)
}

func (p *player) step() {
	p.now += p.randomDuration(15 * time.Millisecond)
	if p.rnd.IntN(200) == 0 {
		p.now += p.randomDuration(8 * time.Second)
	}
	switch p.rnd.IntN(14) {
	case 0:
		p.tick()
	case 1, 2, 3, 4, 5:
		p.completeOne()
	case 6:
		if p.rnd.IntN(20) == 0 {
			p.delay = p.randomDuration(300 * time.Millisecond)
		}
		p.controller.SetLateness(p.randomDuration(20 * time.Millisecond))
	case 7:
		if len(p.order) > 0 && p.rnd.IntN(3) == 0 {
			id := p.order[p.rnd.IntN(len(p.order))]
			fmt.Fprintln(p.digest, p.controller.Remove(p.waiting[id].Tenant, id))
			p.removeWaiting(id)
		}
		fmt.Fprintln(p.digest, p.controller.Remove(0, 1<<40))
	default:
		p.arrive()
	}
	s := p.controller.State(p.now)
	p.digestFloats(s.Limit, s.InFlight, s.Rate, s.DelayFactor, float64(s.Baseline))
}

func playSequence(seed uint64) uint64 {
	rnd := rand.New(rand.NewPCG(seed, 3))
	policy := Policy{
		MaxWaitShare:  0.1 + rnd.Float64()/2,
		MaxQueued:     1 + rnd.IntN(8),
		MinWork:       float64(1 + rnd.IntN(8)),
		MaxRetryAfter: time.Duration(rnd.IntN(3)) * time.Second,
		RetryShare:    rnd.Float64(),
		Seed:          seed,
	}
	tenants := 1 + rnd.IntN(4)
	for range tenants {
		policy.Weights = append(policy.Weights, float64(rnd.IntN(4)))
	}
	p := &player{rnd: rnd, digest: fnv.New64a(), controller: NewController(policy), now: time.Second, waiting: map[uint64]Query{},
		delay: 20 * time.Millisecond, tenants: tenants}
	for range 800 {
		p.step()
	}
	s := p.controller.State(p.now)
	for _, c := range s.Tenants {
		fmt.Fprintln(p.digest, c.Admitted, c.AdmittedFromQueue, c.Rejected, c.Expired, c.Retries, c.Queued)
		p.digestFloats(c.Work)
	}
	fmt.Fprintln(p.digest, s.TenantsByWork())
	return p.digest.Sum64()
}

// The file holds one digest per sequence, as commit 1a4b6be produced it.
func TestSequencesAreAsRecorded(t *testing.T) {
	var lines []string
	for seed := range uint64(300) {
		lines = append(lines, fmt.Sprintf("%d %016x", seed, playSequence(seed)))
	}
	text := strings.Join(lines, "\n") + "\n"
	if *record {
		if err := os.WriteFile(goldenFile, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(string(want), "\n") {
		if i < len(lines) && lines[i] != line {
			t.Fatalf("sequence and digest are %s, recorded as %s", lines[i], line)
		}
	}
	if string(want) != text {
		t.Error("the golden file has a different number of sequences")
	}
}
