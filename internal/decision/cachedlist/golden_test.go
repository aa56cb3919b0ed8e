package cachedlist

import (
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

var record = flag.Bool("record", false, "write the golden files instead of comparing with them")

// sequence makes pseudo-random calls to a table and its evaluator, and hashes each result in order.
type sequence struct {
	rnd       *rand.Rand
	digest    hash.Hash64
	nodes     int
	policy    Policy
	table     *EntryTable
	evaluator *Evaluator
	start     Timestamp
	now       time.Duration
}

func (s *sequence) print(values ...any) { fmt.Fprintln(s.digest, values...) }

func (s *sequence) name() string { return fmt.Sprintf("n%02d", s.rnd.IntN(s.nodes)) }

func (s *sequence) randomEntry(name string) Entry {
	ages := []time.Duration{0, time.Minute, time.Hour, day, 7 * day, 29 * day, 30*day - time.Minute, 31 * day, -time.Hour,
		-time.Second}
	at := s.start + Timestamp(s.now.Milliseconds()) - Timestamp(ages[s.rnd.IntN(len(ages))].Milliseconds())
	e := Entry{Name: name, Zone: []string{"a", "b"}[s.rnd.IntN(2)], Cell: int(name[2]-'0') % 3, State: State(max(0, s.rnd.IntN(7)-4)),
		ConfirmedAt: at, StateSince: at - Timestamp(s.rnd.IntN(3)*1000), Generation: uint64(s.rnd.IntN(20))}
	if s.rnd.IntN(8) > 0 {
		e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + s.rnd.IntN(2))}), 80)
	}
	if s.rnd.IntN(3) == 0 {
		e.StartedAt = at - Timestamp(s.rnd.IntN(3)*5000)
	}
	if s.rnd.IntN(12) == 0 {
		e.ConfirmedAt = 0
	}
	e.ConfirmedBy = Source(s.rnd.IntN(4))
	return e
}

func (s *sequence) randomEntries() (some []Entry) {
	for n := range s.nodes {
		if s.rnd.IntN(3) > 0 {
			some = append(some, s.randomEntry(fmt.Sprintf("n%02d", n)))
		}
	}
	return some
}

func (s *sequence) randomList() List {
	return List{[]string{"", "d", "e"}[s.rnd.IntN(3)], uint64(s.rnd.IntN(20)), s.rnd.IntN(3) > 0, s.randomEntries()}
}

func (s *sequence) printEntry(e Entry) {
	s.print(e.Name, e.Address, e.Zone, e.Cell, uint8(e.State), int64(e.StartedAt), int64(e.ConfirmedAt),
		uint8(e.ConfirmedBy), int64(e.StateSince), e.Generation)
}

func (s *sequence) printUpdates(updates []EndpointUpdate) {
	s.print("facts", len(updates))
	for _, u := range updates {
		s.print(u.ID.Addr, u.ID.Port, u.Usable, u.SlowStart)
		s.printEntry(u.Entry)
	}
}

func (s *sequence) printHead(h Head) {
	s.print(h.Service, h.Deployment, h.Generation, int64(h.ConfirmedAt))
}

func (s *sequence) printState() {
	c := s.evaluator.Snapshot(s.now)
	s.print(c.Confirmed, c.Unconfirmed, c.Ejected, c.Excluded, c.Ejections, c.Trials, c.Reinstated, int64(c.ListAge), c.LocalNetworkFault)
	s.print("lines", len(s.evaluator.CollectLogLines()))
	for n := range s.nodes {
		errorProbability, status := s.evaluator.ErrorProbability(id(fmt.Sprintf("n%02d", n)), s.now)
		s.print(errorProbability, uint8(status))
	}
	s.printHead(s.table.Head)
	for _, e := range s.table.SortedByName() {
		s.printEntry(e)
		age, known := s.evaluator.EntryAge(&e)
		s.print(int64(age), known, s.evaluator.PriorErrorProbability(&e))
	}
}

// restart replaces the table and the evaluator by those of a broker that has just started with the given entries.
func (s *sequence) restart(entries []Entry, head Head) {
	s.start += Timestamp(s.now.Milliseconds()) + Timestamp(s.rnd.IntN(100_000))
	s.now = 0
	s.table = NewEntryTable(head, entries)
	if s.rnd.IntN(2) == 0 {
		s.table.MergeConfigured(s.randomList(), s.start)
	}
	s.evaluator = NewEvaluator(s.policy, s.table, s.start)
	s.printUpdates(s.evaluator.Start(id))
}

func (s *sequence) printChanges() {
	c, any := s.table.CollectChanges()
	s.print("changes", any, len(c.Put), len(c.Removed))
	s.printHead(c.Head)
	slices.SortFunc(c.Put, func(x, y Entry) int { return strings.Compare(x.Name, y.Name) })
	for _, e := range c.Put {
		s.printEntry(e)
	}
	slices.Sort(c.Removed)
	s.print(c.Removed)
}

func (s *sequence) recordRandomOutcome(name string) {
	outcome := decision.Outcome(s.rnd.IntN(9))
	if s.rnd.IntN(3) > 0 {
		outcome = []decision.Outcome{decision.OK, decision.ConnectFailed, decision.TimedOut}[s.rnd.IntN(3)]
	}
	took := []time.Duration{0, time.Millisecond, 399 * time.Millisecond, 400 * time.Millisecond, time.Second}[s.rnd.IntN(5)]
	s.evaluator.RecordOutcome(id(name), outcome, took, s.now)
}

func (s *sequence) step() {
	s.now += time.Duration(s.rnd.IntN([]int{1, 101, 1001, 40_001}[s.rnd.IntN(4)])) * time.Millisecond
	switch s.rnd.IntN(40) {
	case 0:
		if len(s.evaluator.updates) > 2 { // an unstable sort of more than 12 updates, some for the same node, has no fixed order
			updates, _ := s.evaluator.Tick(s.now)
			s.printUpdates(updates)
		}
		ended, inService := s.evaluator.ApplyList(s.randomList(), id, s.now)
		s.print("listed", ended, inService)
	case 1, 2, 3, 4:
		s.evaluator.DiscoveryFailed()
	case 5:
		s.restart(s.table.SortedByName(), s.table.Head)
	case 6:
		s.print("imported", s.evaluator.Import(s.randomEntries(), id, s.now))
	case 7:
		s.print("forgot", s.evaluator.Forget([]string{s.name(), s.name()}, id))
	case 8:
		name := s.name()
		s.evaluator.ApplyGossip(name, id(name), State(s.rnd.IntN(3)), s.start+Timestamp(s.rnd.IntN(3)-1), s.now)
	case 9:
		s.print("dropped", s.table.Evict(s.rnd.IntN(s.nodes+2), time.Duration(s.rnd.IntN(3))*time.Hour, s.start+Timestamp(s.now.Milliseconds())))
	case 10, 11:
		s.printChanges()
	case 12: // all endpoints fail alike, as if this broker's own network were down
		for n := range s.nodes {
			s.evaluator.RecordOutcome(id(fmt.Sprintf("n%02d", n)), decision.ConnectFailed, 0, s.now)
		}
	case 13: // one endpoint fails until it is ejected, while another answers
		name, other := s.name(), s.name()
		for range 12 {
			s.now += 150 * time.Millisecond
			s.evaluator.RecordOutcome(id(other), decision.OK, 0, s.now)
			s.evaluator.RecordOutcome(id(name), decision.ConnectFailed, 0, s.now)
		}
	case 14:
		s.print(s.table.Len())
		e, known := s.table.Get(s.name())
		s.print(known)
		s.printEntry(e)
	default:
		for range s.rnd.IntN(6) {
			s.recordRandomOutcome(s.name())
		}
	}
	if s.rnd.IntN(3) > 0 {
		updates, next := s.evaluator.Tick(s.now)
		s.printUpdates(updates)
		s.print(int64(next))
	}
	s.printState()
}

func runSequence(seed uint64) uint64 {
	s := &sequence{rnd: rand.New(rand.NewPCG(seed, 9)), digest: fnv.New64a(), start: startedAt}
	s.nodes = 1 + s.rnd.IntN(10)
	s.policy = Policy{HalfLife: []time.Duration{day, 7 * day}[s.rnd.IntN(2)], MaxAge: 30 * day,
		EjectionThreshold: []float64{0.9, 0.95, 0.5}[s.rnd.IntN(3)], TrialInterval: []time.Duration{time.Second, 30 * time.Second}[s.rnd.IntN(2)]}
	head := Head{Service: "d", Deployment: "x", Generation: uint64(s.rnd.IntN(20)), ConfirmedAt: startedAt - Timestamp(s.rnd.IntN(1000_000))}
	if s.rnd.IntN(2) == 0 {
		head.ConfirmedAt = 0
	}
	s.restart(s.randomEntries(), head)
	for range 150 {
		s.step()
	}
	return s.digest.Sum64()
}

// compareWithGolden compares the digests of a number of sequences with those of commit 1a4b6be, which the file holds.
func compareWithGolden(t *testing.T, file string, sequences uint64, run func(seed uint64) uint64) {
	t.Helper()
	var lines []string
	for seed := range sequences {
		lines = append(lines, fmt.Sprintf("%d %016x", seed, run(seed)))
	}
	text := strings.Join(lines, "\n") + "\n"
	if *record {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
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

func TestSequencesAreAsRecorded(t *testing.T) {
	compareWithGolden(t, "testdata/sequences.golden", 1500, runSequence)
}
