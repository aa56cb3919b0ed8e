package readpin

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// replica is a simulated replica: the true age of its state is known, and it reports that age by an inaccurate clock.
type replica struct {
	asOf, stalledUntil time.Duration
	drift              float64
	clockError         time.Duration
}

// offsetAt returns the position of the last write that was acknowledged by t: there is a write every 7 ms.
func offsetAt(t time.Duration) uint64 { return uint64(max(0, t+time.Hour) / (7 * ms)) }

// read returns the replica's report at a time, after it has caught up if it is not stalled.
func (r *replica) read(now time.Duration) Report {
	if now > r.stalledUntil {
		r.asOf = max(r.asOf, now-3*ms)
	}
	head := time.Duration(float64(now-r.asOf)*(1-r.drift)) - r.clockError
	return Report{offsetAt(r.asOf), (max(0, head) + ms - 1) / ms * ms}
}

// simulateReplicas simulates replicas that stall and restart, and brokers that assess their answers and exchange positions over slow links.
// It returns how many assessments and staleness bounds it checked against the true history of writes, and how many of them were too
// optimistic. Positions that could not be merged count as wrong, too.
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
		if rnd.IntN(20) == 0 { // positions pulled from another broker: requested before now, encoded now, received later
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
		for i := range replicas { // the bound that a broker relies on without asking must hold
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

// No staleness bound and no assessment is more optimistic than the history of writes allows. If the clocks' errors are ignored, the check
// does find wrong ones.
func TestNeverOptimistic(t *testing.T) {
	total := 0
	for seed := range uint64(12) {
		checked, wrong := simulateReplicas(seed, func(*Tracker) {})
		require(t, wrong == 0, "seed %d: %d of %d bounds and assessments too optimistic", seed, wrong, checked)
		total += checked
	}
	require(t, total > 100_000, "only %d bounds and assessments checked, want more than 100,000", total)
	found := 0
	for seed := range uint64(12) {
		_, wrong := simulateReplicas(seed, func(b *Tracker) { b.config.ClockError, b.config.MaxDrift = 0, 0 })
		found += wrong
	}
	require(t, found > 0, "no optimistic bound or assessment found although clock errors are ignored")
}

func TestPositionsAreBoundedAndMerge(t *testing.T) {
	sender, receiver := testTracker(300, 40), testTracker(300, 40)
	now := time.Minute
	for i := range 300 {
		for shard := range 40 {
			sender.Observe(now, id(i), shard, now-ms, Report{uint64(i + 1), 10 * ms})
		}
	}
	for range 60 { // after enough messages all positions have been sent
		data := sender.EncodePositions(now)
		require(t, len(data) <= sender.config.MaxMessageBytes, "a message of %d bytes exceeds MaxMessageBytes", len(data))
		require(t, receiver.MergePositions(now, data, 5*ms) == nil, "a message is rejected")
	}
	for i := range 300 {
		for shard := range 40 {
			bound := receiver.StalenessBound(now, id(i), shard)
			require(t, bound >= 21*ms && bound <= 25*ms, "node %d, shard %d: staleness bound %v, want 21 to 25 ms", i, shard, bound)
		}
	}
	before := receiver.EncodePositions(now)
	receiver.cursor = 0
	receiver.MergePositions(now, sender.EncodePositions(now-40*time.Second), 5*ms) // older observations must not worsen the bound
	receiver.cursor = 0
	require(t, len(before) > 0 && receiver.StalenessBound(now, id(299), 3) <= 25*ms, "an older observation worsened the bound")
	require(t, len(sender.EncodePositions(now+11*time.Second)) == 1, "positions older than maxSharedAge are sent")
	sender.config.MaxMessageBytes = 64
	require(t, len(sender.EncodePositions(now)) > 20, "no position is sent of a node whose positions don't fit into one message")
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
			t.Fatalf("unexpected error, without remedy, or positions of a malformed message were used: %v", err)
		}
		for i := range 3 {
			if bound := receiver.StalenessBound(time.Minute, id(i), 1); bound != UnknownAge && bound < ms {
				t.Fatalf("staleness bound %v is shorter than the message's transit time", bound)
			}
		}
	})
}

// benchTracker returns a tracker of 128 nodes in 16 cells, with a known position of each of the 64 shards.
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

// BenchmarkShardRequest measures all calls for one shard request: select among eight replicas, count, assess and observe.
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
