package readpin

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

var record = flag.Bool("record", false, "write the golden file instead of comparing with it")

const goldenFile = "testdata/sequences.golden"

// sequence makes one pseudo-random sequence of calls to two trackers, and hashes each result in order.
type sequence struct {
	rnd      *rand.Rand
	digest   hash.Hash64
	config   Config
	trackers [2]*Tracker
	now      time.Duration
	dst      []decision.NodeID
}

func (p *sequence) writeInts(values ...int64) {
	for _, v := range values {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], uint64(v))
		p.digest.Write(b[:])
	}
}

func (p *sequence) writeBool(v bool) {
	if v {
		p.writeInts(1)
	} else {
		p.writeInts(0)
	}
}

func (p *sequence) writeNode(id decision.NodeID) {
	p.digest.Write(id.Addr[:])
	p.writeInts(int64(id.Port))
}

func (p *sequence) upTo(most time.Duration) time.Duration {
	return time.Duration(p.rnd.Int64N(int64(most)))
}

func (p *sequence) randomNode() decision.NodeID {
	return decision.NodeID{Addr: [4]byte{10, 0, 0, byte(p.rnd.IntN(9))}, Port: 7}
}

func (p *sequence) randomReport() Report {
	r := Report{Offset: uint64(p.rnd.IntN(60)), HeadAge: p.upTo(900 * time.Millisecond)}
	switch p.rnd.IntN(6) {
	case 0:
		r.HeadAge = UnknownAge
	case 1:
		r.HeadAge = 0
	case 2:
		r.HeadAge = p.upTo(20 * time.Second)
	}
	return r
}

func (p *sequence) randomConfig() Config {
	c := DefaultConfig(1+p.rnd.IntN(7), 1+p.rnd.IntN(4), 1)
	c.CellsPerShard = 1 + p.rnd.IntN(c.Cells)
	c.MaxInFlight = 1 + p.rnd.IntN(6)
	c.SafeRate = float64(p.rnd.IntN(20))
	c.MaxMessageBytes = 40 + p.rnd.IntN(400)
	return c
}

func (p *sequence) updateEndpoints(tracker *Tracker) {
	entries := make([]decision.Endpoint, p.rnd.IntN(8))
	for i := range entries {
		entries[i] = decision.Endpoint{Node: p.randomNode(), Cell: p.rnd.IntN(6), State: decision.EndpointState(p.rnd.IntN(3))}
	}
	tracker.UpdateEndpoints(p.now, p.rnd.IntN(3) == 0, entries)
}

func (p *sequence) handleShardRequest(tracker *Tracker) {
	requirement := Requirement{ReceivedAt: p.now - p.upTo(50*time.Millisecond), AllowStale: p.rnd.IntN(4) == 0}
	if p.rnd.IntN(2) == 0 {
		requirement.Pin = HashPin("session", fmt.Sprint(p.rnd.IntN(4)))
	}
	if p.rnd.IntN(2) == 0 {
		requirement.MaxStaleness = p.upTo(600 * time.Millisecond)
	}
	shard := p.rnd.IntN(p.config.Shards+2) - 1
	minOffset := uint64(0)
	if p.rnd.IntN(2) == 0 {
		minOffset = uint64(p.rnd.IntN(60))
	}
	got, promise, retryAfter := tracker.EligibleReplicas(p.now, shard, minOffset, &requirement, p.dst[:0])
	p.writeInts(int64(len(got)), int64(promise.Offset), int64(promise.AsOf), int64(promise.ReceivedAt), int64(retryAfter))
	for _, id := range got {
		p.writeNode(id)
	}
	if len(got) == 0 {
		return
	}
	to, sent := got[p.rnd.IntN(len(got))], p.now
	tracker.AttemptSent(p.now, requirement.Pin, to)
	if p.rnd.IntN(3) > 0 {
		tracker.AttemptEnded(requirement.Pin, to)
	}
	r, reported := p.randomReport(), p.rnd.IntN(5) > 0
	p.now += p.upTo(5 * time.Millisecond)
	assessment := tracker.Assess(promise, sent, r, reported)
	p.writeBool(assessment.Fresh)
	p.writeInts(int64(assessment.Offset), int64(assessment.AsOf))
	if reported {
		tracker.Observe(p.now, to, shard, sent, r)
	}
	if assessment.AsOf != DistantPast {
		p.writeInts(int64(tracker.Staleness(p.now, assessment.AsOf)))
	}
}

func (p *sequence) exchangePositions() {
	from, to := p.trackers[0], p.trackers[1]
	if p.rnd.IntN(2) == 0 {
		from, to = to, from
	}
	data := from.EncodePositions(p.now)
	p.digest.Write(data)
	if len(data) > 1 && p.rnd.IntN(5) == 0 {
		data[1+p.rnd.IntN(len(data)-1)] ^= byte(1 << p.rnd.IntN(8))
	}
	if p.rnd.IntN(9) == 0 {
		data = data[:p.rnd.IntN(len(data)+1)]
	}
	p.writeBool(to.MergePositions(p.now+p.upTo(10*time.Millisecond), data, p.upTo(20*time.Millisecond)) == nil)
}

func (p *sequence) step() {
	p.now += p.upTo(40 * time.Millisecond)
	if p.rnd.IntN(60) == 0 {
		p.now += p.upTo(40 * time.Second)
	}
	tracker := p.trackers[p.rnd.IntN(2)]
	switch p.rnd.IntN(24) {
	case 0, 1:
		p.updateEndpoints(tracker)
	case 2:
		tracker.SetEpoch(uint64(p.rnd.IntN(6)), []decision.NodeID{p.randomNode(), p.randomNode(), p.randomNode()})
		p.writeInts(int64(tracker.EpochNumber()))
	case 3, 4, 5:
		p.exchangePositions()
	case 6, 7, 8, 9:
		tracker.Observe(p.now, p.randomNode(), p.rnd.IntN(p.config.Shards+1), p.now-p.upTo(9*time.Millisecond), p.randomReport())
	case 10:
		p.writeInts(int64(tracker.StalenessBound(p.now, p.randomNode(), p.rnd.IntN(p.config.Shards+1))))
	case 11:
		if p.rnd.IntN(4) == 0 {
			p.config = p.randomConfig()
		} else {
			p.config.RecheckInterval += time.Millisecond
		}
		for _, tracker := range p.trackers {
			tracker.Reconfigure(p.config)
		}
	default:
		p.handleShardRequest(tracker)
	}
}

func runSequence(seed uint64) uint64 {
	p := &sequence{rnd: rand.New(rand.NewPCG(seed, 77)), digest: fnv.New64a(), now: time.Minute, dst: make([]decision.NodeID, 0, 16)}
	p.config = p.randomConfig()
	for i := range p.trackers {
		p.trackers[i] = NewTracker(p.config)
		p.updateEndpoints(p.trackers[i])
	}
	for range 150 {
		p.step()
	}
	for _, tracker := range p.trackers {
		c := tracker.Counts
		p.writeInts(int64(c.Chosen), int64(c.Refused), int64(c.AcceptedStale), int64(c.Spilled), int64(c.Fresh), int64(c.Stale),
			int64(c.Regressed), int64(c.Merged), int64(c.Malformed))
	}
	return p.digest.Sum64()
}

// The golden file holds the digest of each sequence as of commit 1a4b6be.
func TestSequencesAreAsRecorded(t *testing.T) {
	var lines []string
	for seed := range uint64(2000) {
		lines = append(lines, fmt.Sprintf("%d %016x", seed, runSequence(seed)))
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
			t.Fatalf("sequence and digest %q, recorded as %q", lines[i], line)
		}
	}
	if string(want) != text {
		t.Error("the golden file holds another number of sequences")
	}
}
