package forwarding

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

var record = flag.Bool("record", false, "write the golden file instead of comparing with it")

const (
	goldenFile  = "testdata/sequences.golden"
	goldenLinks = 3
)

func playSequence(seed uint64) uint64 {
	settings := Policy{
		ForwardShare:     0.4,
		Burst:            8,
		MaxForwarded:     12,
		MinRemainingTime: 50 * time.Millisecond,
		AnswerReserve:    40 * time.Millisecond,
		ResumeTimeout:    300 * time.Millisecond,
		RemoteShare:      0.5,
		MaxRemembered:    14,
	}
	p := &player{rnd: rand.New(rand.NewPCG(seed, 22)), digest: fnv.New64a(), now: time.Second, links: map[uint64]LinkIndex{},
		profile: profile(seed) % profileCount}
	p.forwarder = NewForwarder(settings, []string{"far0", "far1", "far2"})
	p.receiver = NewReceiver(settings)
	for range 500 {
		p.now += p.randomDuration(40 * time.Millisecond)
		if p.chance(80) {
			p.now += p.randomDuration(3 * time.Second)
		}
		if p.chance(2) {
			p.forwarderStep()
		} else {
			p.receiverStep()
		}
	}
	return p.digest.Sum64()
}

// The file holds one digest per sequence, as commit 1a4b6be produced it.
func TestSequencesAreAsRecorded(t *testing.T) {
	var lines []string
	for seed := range uint64(900) {
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
