package routing_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"os"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

const (
	goldenFile    = "testdata/action-digests.txt"
	sequenceCount = 2400
)

var updateGolden = flag.Bool("update-golden", false, "write "+goldenFile+" anew; only for an intended change of decisions")

// TestGoldenActions plays pseudo-random event sequences and compares a digest of the actions of each with the digest on file, which was
// recorded at commit 1a4b6be. A digest covers every field of every action in order, except the text of log lines.
func TestGoldenActions(t *testing.T) {
	if *updateGolden {
		writeDigests(t)
	}
	want := readDigests(t)
	if len(want) != sequenceCount {
		t.Fatalf("%s has %d digests, want %d", goldenFile, len(want), sequenceCount)
	}
	const groups = 16
	for group := range groups {
		t.Run(fmt.Sprintf("group %d", group), func(t *testing.T) {
			t.Parallel()
			compareGroup(t, want, group, groups)
		})
	}
}

// compareGroup plays every sequence whose number modulo groups is group.
func compareGroup(t *testing.T, want []string, group, groups int) {
	t.Helper()
	differ := 0
	for number := group; number < len(want); number += groups {
		if got := playSequence(uint64(number)); got != want[number] {
			differ++
			if differ == 1 {
				t.Errorf("sequence %d: digest %s, want %s", number, got, want[number])
			}
		}
	}
	if differ > 0 {
		t.Errorf("%d sequences of the group differ", differ)
	}
}

func writeDigests(t *testing.T) {
	t.Helper()
	var text bytes.Buffer
	for number := range sequenceCount {
		fmt.Fprintln(&text, playSequence(uint64(number)))
	}
	if err := os.WriteFile(goldenFile, text.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

func readDigests(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	var digests []string
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		digests = append(digests, lines.Text())
	}
	return digests
}

// digest is a hash over actions, whose fields are encoded in a fixed order without their names.
type digest struct {
	sum hash.Hash64
	buf []byte
}

func newDigest() *digest { return &digest{sum: fnv.New64a()} }

func (d *digest) number(n uint64) { d.buf = binary.BigEndian.AppendUint64(d.buf, n) }

func (d *digest) flag(set bool) {
	if set {
		d.buf = append(d.buf, 1)
	} else {
		d.buf = append(d.buf, 0)
	}
}

// step adds the actions of one step.
func (d *digest) step(now time.Duration, actions []decision.Action) {
	d.buf = d.buf[:0]
	d.number(uint64(now))
	d.number(uint64(len(actions)))
	for i := range actions {
		a := &actions[i]
		d.buf = append(d.buf, byte(a.Kind))
		d.flag(a.Complete)
		d.flag(a.ExclusiveConnection)
		d.number(uint64(a.Attempt))
		d.buf = append(d.buf, a.Node.Addr[:]...)
		d.number(uint64(a.Node.Port))
		d.number(a.ID)
		d.number(uint64(a.TimerAt))
		d.number(uint64(a.RetryAfter))
		if a.Kind != decision.LogMessage {
			d.number(uint64(len(a.Text)))
			d.buf = append(d.buf, a.Text...)
		}
	}
	d.sum.Write(d.buf)
}

func (d *digest) String() string { return fmt.Sprintf("%016x", d.sum.Sum64()) }

// generator is the splitmix64 generator. Its numbers depend only on the seed, not on the Go version.
type generator uint64

func (g *generator) next() uint64 {
	*g += 0x9e3779b97f4a7c15
	z := uint64(*g)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// below returns a number from 0 to n-1.
func (g *generator) below(n int) int { return int(g.next() % uint64(n)) }

// oneIn returns true with probability 1/n.
func (g *generator) oneIn(n int) bool { return g.below(n) == 0 }

// share returns a number in [0, 1).
func (g *generator) share() float64 { return float64(g.next()>>11) / (1 << 53) }

// duration returns a duration in [0, limit), in whole milliseconds.
func (g *generator) duration(limit time.Duration) time.Duration {
	return time.Duration(math.Floor(g.share()*float64(limit/time.Millisecond))) * time.Millisecond
}

// choose returns one of the values.
func choose[T any](g *generator, values ...T) T { return values[g.below(len(values))] }
