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

// player plays one pseudo-random sequence of calls and digests every result by position.
type player struct {
	rnd    *rand.Rand
	digest hash.Hash64
	config Config
	books  [2]*Tracker
	now    time.Duration
	dst    []decision.NodeID
}

func (p *player) number(values ...int64) {
	for _, v := range values {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], uint64(v))
		p.digest.Write(b[:])
	}
}

func (p *player) flag(v bool) {
	if v {
		p.number(1)
	} else {
		p.number(0)
	}
}

func (p *player) node(id decision.NodeID) {
	p.digest.Write(id.Addr[:])
	p.number(int64(id.Port))
}

func (p *player) span(most time.Duration) time.Duration {
	return time.Duration(p.rnd.Int64N(int64(most)))
}

func (p *player) someNode() decision.NodeID {
	return decision.NodeID{Addr: [4]byte{10, 0, 0, byte(p.rnd.IntN(9))}, Port: 7}
}

func (p *player) someReport() Report {
	r := Report{Offset: uint64(p.rnd.IntN(60)), HeadAge: p.span(900 * time.Millisecond)}
	switch p.rnd.IntN(6) {
	case 0:
		r.HeadAge = UnknownAge
	case 1:
		r.HeadAge = 0
	case 2:
		r.HeadAge = p.span(20 * time.Second)
	}
	return r
}

func (p *player) layout() Config {
	c := DefaultConfig(1+p.rnd.IntN(7), 1+p.rnd.IntN(4), 1)
	c.CellsPerShard = 1 + p.rnd.IntN(c.Cells)
	c.MaxInFlight = 1 + p.rnd.IntN(6)
	c.SafeRate = float64(p.rnd.IntN(20))
	c.MaxMessageBytes = 40 + p.rnd.IntN(400)
	return c
}

func (p *player) list(b *Tracker) {
	entries := make([]decision.Endpoint, p.rnd.IntN(8))
	for i := range entries {
		entries[i] = decision.Endpoint{Node: p.someNode(), Cell: p.rnd.IntN(6), State: decision.EndpointState(p.rnd.IntN(3))}
	}
	b.UpdateEndpoints(p.now, p.rnd.IntN(3) == 0, entries)
}

func (p *player) choose(b *Tracker) {
	a := Requirement{ReceivedAt: p.now - p.span(50*time.Millisecond), AllowStale: p.rnd.IntN(4) == 0}
	if p.rnd.IntN(2) == 0 {
		a.Pin = HashPin("session", fmt.Sprint(p.rnd.IntN(4)))
	}
	if p.rnd.IntN(2) == 0 {
		a.MaxStaleness = p.span(600 * time.Millisecond)
	}
	shard := p.rnd.IntN(p.config.Shards+2) - 1
	need := uint64(0)
	if p.rnd.IntN(2) == 0 {
		need = uint64(p.rnd.IntN(60))
	}
	got, must, back := b.EligibleReplicas(p.now, shard, need, &a, p.dst[:0])
	p.number(int64(len(got)), int64(must.Offset), int64(must.AsOf), int64(must.ReceivedAt), int64(back))
	for _, id := range got {
		p.node(id)
	}
	if len(got) == 0 {
		return
	}
	to, sent := got[p.rnd.IntN(len(got))], p.now
	b.AttemptSent(p.now, a.Pin, to)
	if p.rnd.IntN(3) > 0 {
		b.AttemptEnded(a.Pin, to)
	}
	r, told := p.someReport(), p.rnd.IntN(5) > 0
	p.now += p.span(5 * time.Millisecond)
	shown := b.Assess(must, sent, r, told)
	p.flag(shown.Fresh)
	p.number(int64(shown.Offset), int64(shown.AsOf))
	if told {
		b.Observe(p.now, to, shard, sent, r)
	}
	if shown.AsOf != DistantPast {
		p.number(int64(b.Staleness(p.now, shown.AsOf)))
	}
}

func (p *player) exchange() {
	from, to := p.books[0], p.books[1]
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
	p.flag(to.MergePositions(p.now+p.span(10*time.Millisecond), data, p.span(20*time.Millisecond)) == nil)
}

func (p *player) step() {
	p.now += p.span(40 * time.Millisecond)
	if p.rnd.IntN(60) == 0 {
		p.now += p.span(40 * time.Second)
	}
	b := p.books[p.rnd.IntN(2)]
	switch p.rnd.IntN(24) {
	case 0, 1:
		p.list(b)
	case 2:
		b.SetEpoch(uint64(p.rnd.IntN(6)), []decision.NodeID{p.someNode(), p.someNode(), p.someNode()})
		p.number(int64(b.EpochNumber()))
	case 3, 4, 5:
		p.exchange()
	case 6, 7, 8, 9:
		b.Observe(p.now, p.someNode(), p.rnd.IntN(p.config.Shards+1), p.now-p.span(9*time.Millisecond), p.someReport())
	case 10:
		p.number(int64(b.StalenessBound(p.now, p.someNode(), p.rnd.IntN(p.config.Shards+1))))
	case 11:
		if p.rnd.IntN(4) == 0 {
			p.config = p.layout()
		} else {
			p.config.RecheckInterval += time.Millisecond
		}
		for _, b := range p.books {
			b.Reconfigure(p.config)
		}
	default:
		p.choose(b)
	}
}

func playSequence(seed uint64) uint64 {
	p := &player{rnd: rand.New(rand.NewPCG(seed, 77)), digest: fnv.New64a(), now: time.Minute, dst: make([]decision.NodeID, 0, 16)}
	p.config = p.layout()
	for i := range p.books {
		p.books[i] = NewTracker(p.config)
		p.list(p.books[i])
	}
	for range 150 {
		p.step()
	}
	for _, b := range p.books {
		c := b.Counts
		p.number(int64(c.Chosen), int64(c.Refused), int64(c.AcceptedStale), int64(c.Spilled), int64(c.Fresh), int64(c.Stale),
			int64(c.Regressed), int64(c.Merged), int64(c.Malformed))
	}
	return p.digest.Sum64()
}

// The file holds one digest for each sequence, as commit 1a4b6be gave them.
func TestSequencesAreAsRecorded(t *testing.T) {
	var lines []string
	for seed := range uint64(2000) {
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
			t.Fatalf("sequence %s was recorded as %s", lines[i], line)
		}
	}
	if string(want) != text {
		t.Error("the file has another number of sequences")
	}
}
