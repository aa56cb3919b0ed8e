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
	asOf, stalledUntil time.Duration
	drift              float64
	clockError         time.Duration
}

func offsetAt(t time.Duration) uint64 { return uint64(max(0, t+time.Hour) / (7 * ms)) }

func (r *replica) read(now time.Duration) Report {
	if now > r.stalledUntil {
		r.asOf = max(r.asOf, now-3*ms)
	}
	head := time.Duration(float64(now-r.asOf)*(1-r.drift)) - r.clockError
	return Report{offsetAt(r.asOf), (max(0, head) + ms - 1) / ms * ms}
}

// simulateReplicas plays replicas that stall and restart before brokers that answer, share what they know over links that hold it back, and
// are audited against the writers' own history. It returns how many judgements were checked and how many were wrong; claims of
// what is not asked are held to the truth too.
func simulateReplicas(seed uint64, configure func(tracker *Tracker)) (checked, wrong int) {
	rnd := rand.New(rand.NewPCG(seed, 9))
	const nodes, brokers = 4, 3
	var replicas [nodes]replica
	var trackers [brokers]*Tracker
	for i := range trackers {
		trackers[i] = testTracker(nodes, 1)
		configure(trackers[i])
	}
	for i := range replicas {
		replicas[i] = replica{drift: rnd.Float64() * 1e-3, clockError: upTo(rnd, 5*ms)}
	}
	type message struct {
		at, asked time.Duration
		data      []byte
	}
	var inbox [brokers][]message
	for now := time.Second; now < 20*time.Second; now += upTo(rnd, 4*ms) {
		if rnd.IntN(800) == 0 {
			replicas[rnd.IntN(nodes)].stalledUntil = now + upTo(rnd, 3*time.Second)
		}
		if rnd.IntN(3000) == 0 {
			r := &replicas[rnd.IntN(nodes)]
			r.asOf, r.stalledUntil = r.asOf-upTo(rnd, 4*time.Second), now+upTo(rnd, time.Second)
		}
		at := rnd.IntN(brokers)
		tracker := trackers[at]
		if rnd.IntN(20) == 0 { // pulled: asked some time ago, written meanwhile, here later
			asked := now - upTo(rnd, 10*ms)
			inbox[at] = append(inbox[at], message{now + upTo(rnd, 2*time.Second), asked, trackers[(at+1)%brokers].EncodePositions(now)})
		}
		for _, received := range inbox[at] {
			if received.at <= now && tracker.MergePositions(now, received.data, now-received.asked) != nil {
				wrong++
			}
		}
		for len(inbox[at]) > 0 && inbox[at][0].at <= now {
			inbox[at] = inbox[at][1:]
		}
		for i := range replicas { // what a broker would rely on without asking holds
			if bound := tracker.StalenessBound(now, id(i), 0); bound != UnknownAge && replicas[i].stalledUntil != 0 {
				checked++
				if known := tracker.position(&tracker.nodes[i], 0); replicas[i].asOf < now-bound && offsetAt(replicas[i].asOf) >= known.offset {
					wrong++
				}
			}
		}
		requirement := Requirement{ReceivedAt: now - upTo(rnd, 30*ms), MaxStaleness: 20*ms + upTo(rnd, 400*ms)}
		minOffset := offsetAt(now - upTo(rnd, time.Second))
		got, promise, _ := tracker.EligibleReplicas(now, 0, minOffset, &requirement, nil)
		if len(got) == 0 {
			continue
		}
		i := rnd.IntN(len(got))
		node := int(tracker.byID[got[i]])
		r := replicas[node].read(now + upTo(rnd, 2*ms))
		assessment := tracker.Assess(promise, now, r, true)
		tracker.Observe(now+3*ms, got[i], 0, now, r)
		checked++
		if r := &replicas[node]; assessment.Fresh && (r.asOf < requirement.ReceivedAt-requirement.MaxStaleness || offsetAt(r.asOf) < minOffset) || assessment.AsOf > r.asOf {
			wrong++
		}
	}
	return checked, wrong
}

// No bound and no judgement is ever optimistic, by the writers' history; one that leaves the clocks' error out is found.
func TestNeverOptimistic(t *testing.T) {
	total := 0
	for seed := range uint64(12) {
		checked, wrong := simulateReplicas(seed, func(*Tracker) {})
		require(t, wrong == 0, "seed %d: %d of %d wrong", seed, wrong, checked)
		total += checked
	}
	require(t, total > 100_000, "%d checked", total)
	found := 0
	for seed := range uint64(12) {
		_, wrong := simulateReplicas(seed, func(b *Tracker) { b.config.ClockError, b.config.MaxDrift = 0, 0 })
		found += wrong
	}
	require(t, found > 0, "an optimistic age is not found")
}

func TestPositionsAreBoundedAndMerge(t *testing.T) {
	sender, receiver := testTracker(300, 40), testTracker(300, 40)
	now := time.Minute
	for i := range 300 {
		for shard := range 40 {
			sender.Observe(now, id(i), shard, now-ms, Report{uint64(i + 1), 10 * ms})
		}
	}
	for range 60 { // all get there, turn by turn
		data := sender.EncodePositions(now)
		require(t, len(data) <= sender.config.MaxMessageBytes, "%d bytes", len(data))
		require(t, receiver.MergePositions(now, data, 5*ms) == nil, "not taken")
	}
	for i := range 300 {
		for shard := range 40 {
			bound := receiver.StalenessBound(now, id(i), shard)
			require(t, bound >= 21*ms && bound <= 25*ms, "node %d, shard %d: %v", i, shard, bound)
		}
	}
	before := receiver.EncodePositions(now)
	receiver.cursor = 0
	receiver.MergePositions(now, sender.EncodePositions(now-40*time.Second), 5*ms) // older news worsens nothing
	receiver.cursor = 0
	require(t, len(before) > 0 && receiver.StalenessBound(now, id(299), 3) <= 25*ms, "older news counted")
	require(t, len(sender.EncodePositions(now+11*time.Second)) == 1, "old news passed on")
	sender.config.MaxMessageBytes = 64
	require(t, len(sender.EncodePositions(now)) > 20, "one node's facts that never fit are never told")
}

func FuzzMergePositions(f *testing.F) {
	sender := testTracker(3, 2)
	sender.Observe(time.Second, id(1), 1, time.Second-ms, Report{7, 12 * ms})
	f.Add(sender.EncodePositions(time.Second))
	f.Fuzz(func(t *testing.T, data []byte) {
		receiver := testTracker(3, 2)
		err := receiver.MergePositions(time.Minute, data, ms)
		var malformed *MalformedPositionsError
		if err != nil && (!errors.As(err, &malformed) || malformed.Remedy() == "" || !bytes.Equal(receiver.EncodePositions(time.Minute), []byte{wireVersion})) {
			t.Fatalf("half taken: %v", err)
		}
		for i := range 3 {
			if bound := receiver.StalenessBound(time.Minute, id(i), 1); bound != UnknownAge && bound < ms {
				t.Fatalf("%v out of a message that was on its way so long", bound)
			}
		}
	})
}

func benchTracker() *Tracker {
	tracker := NewTracker(DefaultConfig(64, 16, 1))
	var all []decision.Endpoint
	for i := range 128 {
		all = append(all, decision.Endpoint{Node: id(i), Cell: i % 16, State: decision.Ready})
	}
	tracker.UpdateEndpoints(0, true, all)
	for i := range 128 {
		for s := range 64 {
			tracker.Observe(time.Second, id(i), s, time.Second-ms, Report{50, 10 * ms})
		}
	}
	return tracker
}

// A part's whole way: chosen among eight holders, counted, judged and learned from.
func BenchmarkShardRequest(b *testing.B) {
	tracker, dst := benchTracker(), make([]decision.NodeID, 0, 16)
	requirement := Requirement{Pin: 9, ReceivedAt: time.Second, MaxStaleness: 250 * ms}
	r := Report{60, 10 * ms}
	b.ReportAllocs()
	for i := range b.N {
		got, promise, _ := tracker.EligibleReplicas(time.Second, i&63, 40, &requirement, dst[:0])
		tracker.AttemptSent(time.Second, 9, got[0])
		tracker.Assess(promise, time.Second, r, true)
		tracker.Observe(time.Second+ms, got[0], i&63, time.Second, r)
		tracker.AttemptEnded(9, got[0])
	}
}

func TestShardRequestAllocatesNothing(t *testing.T) {
	tracker, dst := benchTracker(), make([]decision.NodeID, 0, 16)
	requirement := Requirement{Pin: 9, ReceivedAt: time.Second, MaxStaleness: 250 * ms}
	n := testing.AllocsPerRun(1000, func() {
		got, promise, _ := tracker.EligibleReplicas(time.Second, 3, 40, &requirement, dst[:0])
		tracker.AttemptSent(time.Second, 9, got[0])
		tracker.Assess(promise, time.Second, Report{60, 10 * ms}, true)
		tracker.AttemptEnded(9, got[0])
	})
	require(t, n == 0, "%v allocations", n)
}

func upTo(rnd *rand.Rand, d time.Duration) time.Duration { return time.Duration(rnd.Int64N(int64(d))) }
