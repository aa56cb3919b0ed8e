package ownership

import (
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

var record = flag.Bool("record", false, "write the golden file instead of comparing with it")

const (
	goldenFile    = "testdata/sequences.golden"
	goldenBrokers = 3
)

// player drives brokers that share jobs over links that delay, lose and corrupt claims, and digests the results.
type player struct {
	rnd      *rand.Rand
	digest   hash.Hash64
	now      time.Duration
	brokers  [goldenBrokers]*Coordinator
	messages [][]byte
}

func (p *player) randomDuration(most time.Duration) time.Duration {
	return time.Duration(p.rnd.Int64N(int64(most)))
}

func (p *player) start(i int) {
	policy := Policy{Lease: 2 * time.Second, SettleTime: 500 * time.Millisecond, RenewInterval: time.Second}
	jobs := []Job{{"counters", time.Second}, {"sweep", 5 * time.Second}, {"report", 700 * time.Millisecond}}
	p.brokers[i] = NewCoordinator(policy, uint32(i+1), jobs, p.now)
	p.setMembers(i)
}

func (p *player) setMembers(i int) {
	var members []Member
	for id := range goldenBrokers {
		if id == i || p.rnd.IntN(5) > 0 {
			members = append(members, Member{uint32(id + 1), uint8(p.rnd.IntN(4))})
		}
	}
	p.brokers[i].SetMembers(members, p.now-p.randomDuration(3*time.Second))
}

func (p *player) send(coordinator *Coordinator) {
	for _, c := range coordinator.DrainClaims() {
		data := c.AppendTo(nil)
		p.digest.Write(data)
		if p.rnd.IntN(20) == 0 {
			data[p.rnd.IntN(len(data))] ^= byte(1 << p.rnd.IntN(8))
		}
		p.messages = append(p.messages, data)
	}
}

func (p *player) tick(i int) {
	coordinator := p.brokers[i]
	runs, next := coordinator.Tick(p.now)
	fmt.Fprintln(p.digest, len(runs), int64(next))
	for _, r := range runs {
		fmt.Fprintln(p.digest, r.Job, r.Fence)
		for j, other := range p.brokers {
			if j != i {
				fmt.Fprintln(p.digest, other.AcceptFence(r.Job, r.Fence))
			}
		}
		if p.rnd.IntN(6) > 0 {
			p.now += p.randomDuration(20 * time.Millisecond)
			coordinator.RunEnded(r, p.rnd.IntN(4) > 0, p.now)
		}
	}
	p.send(coordinator)
}

func (p *player) step() {
	p.now += p.randomDuration(150 * time.Millisecond)
	if p.rnd.IntN(80) == 0 {
		p.now += p.randomDuration(4 * time.Second)
	}
	i := p.rnd.IntN(goldenBrokers)
	switch p.rnd.IntN(20) {
	case 0, 1:
		p.setMembers(i)
	case 2:
		if p.rnd.IntN(12) == 0 {
			p.brokers[i].ReleaseAll(p.now)
			p.send(p.brokers[i])
		}
	case 3:
		if p.rnd.IntN(8) == 0 {
			p.start(i)
		}
	case 4:
		fmt.Fprintln(p.digest, p.brokers[i].AcceptFence(p.rnd.IntN(3), uint32(p.rnd.IntN(6))))
	case 5, 6, 7, 8, 9, 10:
		if len(p.messages) > 0 {
			at := p.rnd.IntN(len(p.messages))
			c, ok := DecodeClaim(p.messages[at])
			fmt.Fprintln(p.digest, ok, c.Job, c.Fence, c.Owner, c.RunCount, int64(c.SinceLastRun), c.Released)
			if ok {
				fmt.Fprintln(p.digest, p.brokers[i].HandleClaim(c, p.now))
			}
			if p.rnd.IntN(3) == 0 {
				p.messages = append(p.messages[:at], p.messages[at+1:]...)
			}
		}
	default:
		p.tick(i)
	}
	for _, s := range p.brokers[i].Snapshot() {
		fmt.Fprintln(p.digest, s.Owner, s.Fence, int64(s.OwnerHeardAt), int64(s.LastRunAt), s.RunCount, int64(s.DueAt), s.OwnRuns, s.RejectedRuns, s.Owned, s.Running)
	}
}

func playSequence(seed uint64) uint64 {
	p := &player{rnd: rand.New(rand.NewPCG(seed, 21)), digest: fnv.New64a(), now: time.Minute}
	for i := range p.brokers {
		p.start(i)
	}
	for range 300 {
		p.step()
	}
	return p.digest.Sum64()
}

// The file holds one digest per sequence, as commit 1a4b6be produced it.
func TestSequencesAreAsRecorded(t *testing.T) {
	var lines []string
	for seed := range uint64(500) {
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
