package readpin

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// replica is one that is known from outside: when its state is of, and what it says of that by a clock that is off.
type replica struct {
	asof, stall time.Duration
	slow        float64
	off         time.Duration
}

func writes(t time.Duration) uint64 { return uint64(max(0, t+time.Hour) / (7 * ms)) }

func (r *replica) read(now time.Duration) Report {
	if now > r.stall {
		r.asof = max(r.asof, now-3*ms)
	}
	head := time.Duration(float64(now-r.asof)*(1-r.slow)) - r.off
	return Report{writes(r.asof), (max(0, head) + ms - 1) / ms * ms}
}

// playReplicas plays replicas that stall and restart before brokers that answer, share what they know over links that hold it back, and
// are audited against the writers' own history. It returns how many judgements were checked and how many were wrong; claims of
// what is not asked are held to the truth too.
func playReplicas(seed uint64, age func(b *Tracker)) (checked, wrong int) {
	rnd := rand.New(rand.NewPCG(seed, 9))
	const nodes, brokers = 4, 3
	var reps [nodes]replica
	var books [brokers]*Tracker
	for i := range books {
		books[i] = testTracker(nodes, 1)
		age(books[i])
	}
	for i := range reps {
		reps[i] = replica{slow: rnd.Float64() * 1e-3, off: upTo(rnd, 5*ms)}
	}
	type message struct {
		at, asked time.Duration
		data      []byte
	}
	var inbox [brokers][]message
	for now := time.Second; now < 20*time.Second; now += upTo(rnd, 4*ms) {
		if rnd.IntN(800) == 0 {
			reps[rnd.IntN(nodes)].stall = now + upTo(rnd, 3*time.Second)
		}
		if rnd.IntN(3000) == 0 {
			r := &reps[rnd.IntN(nodes)]
			r.asof, r.stall = r.asof-upTo(rnd, 4*time.Second), now+upTo(rnd, time.Second)
		}
		at := rnd.IntN(brokers)
		b := books[at]
		if rnd.IntN(20) == 0 { // pulled: asked some time ago, written meanwhile, here later
			asked := now - upTo(rnd, 10*ms)
			inbox[at] = append(inbox[at], message{now + upTo(rnd, 2*time.Second), asked, books[(at+1)%brokers].EncodePositions(now)})
		}
		for _, l := range inbox[at] {
			if l.at <= now && b.MergePositions(now, l.data, now-l.asked) != nil {
				wrong++
			}
		}
		for len(inbox[at]) > 0 && inbox[at][0].at <= now {
			inbox[at] = inbox[at][1:]
		}
		for i := range reps { // what a broker would rely on without asking holds
			if bound := b.StalenessBound(now, id(i), 0); bound != UnknownAge && reps[i].stall != 0 {
				checked++
				if f := b.position(&b.nodes[i], 0); reps[i].asof < now-bound && writes(reps[i].asof) >= f.offset {
					wrong++
				}
			}
		}
		a := Requirement{ReceivedAt: now - upTo(rnd, 30*ms), MaxStaleness: 20*ms + upTo(rnd, 400*ms)}
		need := writes(now - upTo(rnd, time.Second))
		got, m, _ := b.EligibleReplicas(now, 0, need, &a, nil)
		if len(got) == 0 {
			continue
		}
		i := rnd.IntN(len(got))
		node := int(b.byID[got[i]])
		r := reps[node].read(now + upTo(rnd, 2*ms))
		s := b.Assess(m, now, r, true)
		b.Observe(now+3*ms, got[i], 0, now, r)
		checked++
		if r := &reps[node]; s.Fresh && (r.asof < a.ReceivedAt-a.MaxStaleness || writes(r.asof) < need) || s.AsOf > r.asof {
			wrong++
		}
	}
	return checked, wrong
}

// No bound and no judgement is ever optimistic, by the writers' history; one that leaves the clocks' error out is found.
func TestNeverOptimistic(t *testing.T) {
	total := 0
	for seed := range uint64(12) {
		checked, wrong := playReplicas(seed, func(*Tracker) {})
		require(t, wrong == 0, "seed %d: %d of %d wrong", seed, wrong, checked)
		total += checked
	}
	require(t, total > 100_000, "%d checked", total)
	found := 0
	for seed := range uint64(12) {
		_, wrong := playReplicas(seed, func(b *Tracker) { b.config.ClockError, b.config.MaxDrift = 0, 0 })
		found += wrong
	}
	require(t, found > 0, "an optimistic age is not found")
}

func TestPositionsAreBoundedAndMerge(t *testing.T) {
	b, o := testTracker(300, 40), testTracker(300, 40)
	now := time.Minute
	for i := range 300 {
		for shard := range 40 {
			b.Observe(now, id(i), shard, now-ms, Report{uint64(i + 1), 10 * ms})
		}
	}
	for range 60 { // all get there, turn by turn
		data := b.EncodePositions(now)
		require(t, len(data) <= b.config.MaxMessageBytes, "%d bytes", len(data))
		require(t, o.MergePositions(now, data, 5*ms) == nil, "not taken")
	}
	for i := range 300 {
		for shard := range 40 {
			bound := o.StalenessBound(now, id(i), shard)
			require(t, bound >= 21*ms && bound <= 25*ms, "node %d, shard %d: %v", i, shard, bound)
		}
	}
	was := o.EncodePositions(now)
	o.cursor = 0
	o.MergePositions(now, b.EncodePositions(now-40*time.Second), 5*ms) // older news worsens nothing
	o.cursor = 0
	require(t, len(was) > 0 && o.StalenessBound(now, id(299), 3) <= 25*ms, "older news counted")
	require(t, len(b.EncodePositions(now+11*time.Second)) == 1, "old news passed on")
	b.config.MaxMessageBytes = 64
	require(t, len(b.EncodePositions(now)) > 20, "one node's facts that never fit are never told")
}

func FuzzTake(f *testing.F) {
	b := testTracker(3, 2)
	b.Observe(time.Second, id(1), 1, time.Second-ms, Report{7, 12 * ms})
	f.Add(b.EncodePositions(time.Second))
	f.Fuzz(func(t *testing.T, data []byte) {
		o := testTracker(3, 2)
		err := o.MergePositions(time.Minute, data, ms)
		var bad *MalformedPositionsError
		if err != nil && (!errors.As(err, &bad) || bad.Remedy() == "" || !bytes.Equal(o.EncodePositions(time.Minute), []byte{wireVersion})) {
			t.Fatalf("half taken: %v", err)
		}
		for i := range 3 {
			if bound := o.StalenessBound(time.Minute, id(i), 1); bound != UnknownAge && bound < ms {
				t.Fatalf("%v out of a message that was on its way so long", bound)
			}
		}
	})
}

func benchTracker() *Tracker {
	b := NewTracker(DefaultConfig(64, 16, 1))
	var all []decision.Endpoint
	for i := range 128 {
		all = append(all, decision.Endpoint{Node: id(i), Cell: i % 16, State: decision.Ready})
	}
	b.UpdateEndpoints(0, true, all)
	for i := range 128 {
		for s := range 64 {
			b.Observe(time.Second, id(i), s, time.Second-ms, Report{50, 10 * ms})
		}
	}
	return b
}

// A part's whole way: chosen among eight holders, counted, judged and learned from.
func BenchmarkPart(b *testing.B) {
	k, dst := benchTracker(), make([]decision.NodeID, 0, 16)
	a := Requirement{Pin: 9, ReceivedAt: time.Second, MaxStaleness: 250 * ms}
	r := Report{60, 10 * ms}
	b.ReportAllocs()
	for i := range b.N {
		got, m, _ := k.EligibleReplicas(time.Second, i&63, 40, &a, dst[:0])
		k.AttemptSent(time.Second, 9, got[0])
		k.Assess(m, time.Second, r, true)
		k.Observe(time.Second+ms, got[0], i&63, time.Second, r)
		k.AttemptEnded(9, got[0])
	}
}

func TestPartAllocatesNothing(t *testing.T) {
	k, dst := benchTracker(), make([]decision.NodeID, 0, 16)
	a := Requirement{Pin: 9, ReceivedAt: time.Second, MaxStaleness: 250 * ms}
	n := testing.AllocsPerRun(1000, func() {
		got, m, _ := k.EligibleReplicas(time.Second, 3, 40, &a, dst[:0])
		k.AttemptSent(time.Second, 9, got[0])
		k.Assess(m, time.Second, Report{60, 10 * ms}, true)
		k.AttemptEnded(9, got[0])
	})
	require(t, n == 0, "%v allocations", n)
}

func upTo(rnd *rand.Rand, d time.Duration) time.Duration { return time.Duration(rnd.Int64N(int64(d))) }
