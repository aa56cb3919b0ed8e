package membership

import (
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"
)

var record = flag.Bool("record", false, "write the golden file instead of comparing with it")

const (
	goldenFile      = "testdata/sequences.golden"
	goldenSequences = 200
	goldenSteps     = 1200
)

// datagram is a packet in flight.
type datagram struct {
	from   netip.AddrPort
	packet Packet
}

// simulation runs members over links that delay, reorder, lose, duplicate and damage datagrams.
type simulation struct {
	rnd         *rand.Rand
	digest      hash.Hash64
	now         time.Duration
	policy      Policy
	lossPercent int // of the datagrams
	members     []*Detector
	incarnation uint32
	inFlight    []datagram
	mutedMember int // this member is not heard by others; -1: none
}

func goldenAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

func (p *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(p.rnd.Int64N(int64(limit)))
}

func (p *simulation) start(i int) {
	p.incarnation++
	seeds := []netip.AddrPort{goldenAddress(0), goldenAddress(1), goldenAddress(2)}
	p.members[i] = New(p.policy, fmt.Sprintf("broker-%d", i), goldenAddress(i), uint8(i), p.incarnation, seeds)
}

func (p *simulation) writeMember(m Member) {
	fmt.Fprintln(p.digest, uint32(m.ID), m.Name, m.Address, m.Incarnation, m.Weight, uint8(m.State), m.State.String(), int64(m.StateChangedAt))
}

// drain writes all output of a member to the digest, and puts its datagrams in flight or loses them.
func (p *simulation) drain(i int) {
	m := p.members[i]
	for _, packet := range m.DrainPackets() {
		fmt.Fprintln(p.digest, packet.To)
		p.digest.Write(packet.Data)
		if i == p.mutedMember || p.rnd.IntN(100) < p.lossPercent {
			continue
		}
		if p.rnd.IntN(40) == 0 {
			packet.Data[p.rnd.IntN(len(packet.Data))] ^= byte(1 << p.rnd.IntN(8))
		}
		if p.rnd.IntN(80) == 0 {
			packet.Data = packet.Data[:p.rnd.IntN(len(packet.Data)+1)]
		}
		p.inFlight = append(p.inFlight, datagram{goldenAddress(i), packet})
	}
	for _, change := range m.DrainChanges() {
		p.writeMember(change.Member)
		fmt.Fprintln(p.digest, uint8(change.PreviousState), change.New)
	}
	for _, message := range m.DrainBroadcasts() {
		fmt.Fprintf(p.digest, "%x\n", message)
	}
	p.writeMember(m.Self())
	c := m.Counts
	fmt.Fprintln(p.digest, c.Probes, c.FailedProbes, c.Suspicions, c.DeclaredDead, c.Refutations, c.DatagramsSent,
		c.DatagramsReceived, c.MalformedDatagrams, c.LocalHealthMultiplier)
	fmt.Fprintln(p.digest, m.LivingCount(), int64(m.LastContact()), len(p.inFlight))
}

func (p *simulation) deliver() {
	if len(p.inFlight) == 0 {
		return
	}
	position := p.rnd.IntN(min(len(p.inFlight), 6))
	d := p.inFlight[position]
	if p.rnd.IntN(20) > 0 { // else it stays in flight and is delivered again
		p.inFlight = append(p.inFlight[:position], p.inFlight[position+1:]...)
	}
	for i := range p.members {
		if goldenAddress(i) == d.packet.To {
			p.members[i].HandleDatagram(d.from, d.packet.Data, p.now)
			p.drain(i)
		}
	}
}

func (p *simulation) event(i int) {
	switch p.rnd.IntN(8) {
	case 0:
		p.members[i].Broadcast(uint64(p.rnd.IntN(4)), make([]byte, p.rnd.IntN(p.policy.MaxDatagramBytes)))
		if p.rnd.IntN(12) == 0 {
			for key := range 530 {
				p.members[i].Broadcast(uint64(10+key), []byte{byte(key), byte(key >> 8)})
			}
		}
	case 1:
		p.members[i].SetWeight(uint8(p.rnd.IntN(4)))
	case 2:
		if p.rnd.IntN(4) == 0 {
			p.members[i].Leave()
		}
	case 3:
		if p.rnd.IntN(2) == 0 {
			p.start(i)
		}
	case 4:
		p.mutedMember = p.rnd.IntN(len(p.members))
	case 5, 6:
		p.mutedMember = -1
	case 7:
		p.now += p.randomDuration(6 * p.policy.ProbeInterval)
	}
	p.drain(i)
}

func (p *simulation) step() {
	i := p.rnd.IntN(len(p.members))
	switch p.rnd.IntN(50) {
	case 0:
		p.event(i)
	case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12:
		p.now += p.randomDuration(p.policy.ProbeInterval / 10)
		next := p.members[i].Tick(p.now)
		fmt.Fprintln(p.digest, int64(next))
		p.drain(i)
	default:
		p.deliver()
	}
	if p.rnd.IntN(10) == 0 {
		for _, m := range p.members[i].Members() {
			p.writeMember(m)
		}
	}
}

func goldenPolicy(rnd *rand.Rand, seed uint64) Policy {
	return Policy{
		ProbeInterval:      time.Second,
		ProbeTimeout:       300 * time.Millisecond,
		IndirectProbes:     rnd.IntN(4),
		SuspicionFactor:    1 + rnd.Float64()*2,
		MaxSuspicionFactor: 1 + rnd.Float64()*4,
		ForgetAfter:        time.Duration(5+rnd.IntN(30)) * time.Second,
		SyncInterval:       time.Duration(2+rnd.IntN(6)) * time.Second,
		MaxDatagramBytes:   100 + rnd.IntN(200),
		MaxMembers:         3 + rnd.IntN(12),
		WithoutLifeguard:   rnd.IntN(6) == 0,
		Seed:               seed,
	}
}

func runSequence(seed uint64) uint64 {
	rnd := rand.New(rand.NewPCG(seed, 22))
	p := &simulation{rnd: rnd, digest: fnv.New64a(), now: time.Minute, policy: goldenPolicy(rnd, seed), lossPercent: rnd.IntN(4) * 10, mutedMember: -1}
	p.members = make([]*Detector, 2+rnd.IntN(9))
	for i := range p.members {
		p.start(i)
	}
	for range goldenSteps {
		p.step()
	}
	return p.digest.Sum64()
}

// The golden file holds one digest for each sequence, as recorded with commit 1a4b6be.
func TestSequencesAreAsRecorded(t *testing.T) {
	var lines []string
	for seed := range uint64(goldenSequences) {
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
			t.Fatalf("the digest of a sequence differs: got %s, recorded %s", lines[i], line)
		}
	}
	if string(want) != text {
		t.Error("the golden file has a different number of sequences")
	}
}
