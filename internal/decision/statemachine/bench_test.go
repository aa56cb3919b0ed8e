package statemachine

import (
	"fmt"
	"slices"
	"testing"
)

// fullTier returns a tier of 300 brokers and 200 nodes with 20,000 rows of grants, and the entries that renew each grant.
func fullTier(b *testing.B) (*State, [][]byte) {
	s, sequence := New(), uint64(0)
	encode := func(e Entry) []byte { sequence++; return Encode(ProposalID{0, 1, sequence}, e) }
	apply := func(e Entry) {
		if r := s.Apply(s.AppliedIndex()+1, encode(e)); r.Err != nil {
			b.Fatal(r.Err)
		}
	}
	var budgets []NodeBudget
	for i := range 200 {
		budgets = append(budgets, NodeBudget{NodeID{Addr: [4]byte{10, 0, 1, byte(i)}, Port: 80}, 1000, 1})
	}
	for i := range 300 {
		apply(&RegisterBroker{Slot(i), fmt.Sprint("b", i), 1, "1", fmt.Sprint("z", i%3), 1})
		apply(&ReturnToService{Slot: Slot(i), Incarnation: 1})
	}
	apply(&ConnectionPolicy{1, "text", 300, budgets})
	var repeated [][]byte
	for number := range uint64(2) {
		for i := range 300 {
			var rows []LeaseRow
			for j := range 66 {
				rows = append(rows, LeaseRow{budgets[(i+j*3)%200].Node, fmt.Sprint("tenant", j%50), 1 + number})
			}
			slices.SortFunc(rows, CompareLeaseRows)
			grant := &GrantLease{Slot(i), 1, number + 1, rows}
			if number == 0 {
				apply(grant)
				apply(&AcknowledgeLease{Slot(i), 1, 1})
			} else {
				repeated = append(repeated, encode(grant), encode(&AcknowledgeLease{Slot(i), 1, 2}))
			}
		}
	}
	return s, repeated
}

// BenchmarkGrant applies two entries: a broker's new grant of 66 rows and its acknowledgement.
func BenchmarkGrant(b *testing.B) {
	start, again := fullTier(b)
	base := start.Snapshot()
	s := start
	b.SetBytes(int64(len(again[0]) + len(again[1])))
	for i := 0; b.Loop(); i++ {
		k := 2 * (i % 300)
		if i%300 == 0 && i > 0 {
			b.StopTimer()
			s, _ = Restore(base)
			b.StartTimer()
		}
		for _, data := range again[k : k+2] {
			if r := s.Apply(s.AppliedIndex()+1, data); r.Err != nil {
				b.Fatal(r.Err)
			}
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	s, _ := fullTier(b)
	n := 0
	for b.Loop() {
		n = len(s.Snapshot())
	}
	b.ReportMetric(float64(n), "bytes")
}

func BenchmarkRestore(b *testing.B) {
	s, _ := fullTier(b)
	x := s.Snapshot()
	for b.Loop() {
		if _, err := Restore(x); err != nil {
			b.Fatal(err)
		}
	}
}
