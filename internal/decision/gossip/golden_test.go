package gossip

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"flaxfront/internal/decision"
)

var record = flag.Bool("record", false, "write the golden file instead of comparing with it")

const goldenFile = "testdata/sequences.golden"

// playSequence applies pseudo-random updates, local ones and those of other brokers, and digests every result in order.
func playSequence(seed uint64) uint64 {
	rnd := rand.New(rand.NewPCG(seed, 5))
	digest := fnv.New64a()
	filter := NewUpdateFilter(uint32(rnd.IntN(2)))
	someNode := func() decision.NodeID { return decision.NodeID{Addr: [4]byte{1}, Port: uint16(rnd.IntN(90))} }
	for range 400 {
		update := EndpointUpdate{uint64(rnd.IntN(40)), uint32(rnd.IntN(2)), someNode(), decision.EndpointState(rnd.IntN(3)), int64(rnd.IntN(5))}
		data := update.AppendTo(nil)
		digest.Write(data)
		data[rnd.IntN(len(data))] ^= byte(1 << rnd.IntN(8))
		decoded, ok := Decode(data[:len(data)-rnd.IntN(2)])
		fmt.Fprintln(digest, decoded.ListVersion, decoded.DiscoveryID, decoded.Node, uint8(decoded.State), decoded.StartedAtMS, ok)
		switch rnd.IntN(8) {
		case 0, 1, 2:
			fmt.Fprintln(digest, filter.RecordLocal(update, rnd.IntN(3) == 0))
		case 3:
			if rnd.IntN(5) == 0 {
				filter.Forget(uint64(rnd.IntN(40)), func(id decision.NodeID) bool { return id.Port < 30 })
			}
		default:
			fmt.Fprintln(digest, filter.Accept(update, rnd.IntN(5) > 0, decision.EndpointState(rnd.IntN(3)), int64(rnd.IntN(5))))
		}
		for _, l := range filter.RecentlyRemoved() {
			digest.Write(l.AppendTo(nil))
		}
	}
	fmt.Fprintln(digest, filter.Counts.Sent, filter.Counts.Accepted, filter.Counts.Ignored)
	return digest.Sum64()
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
