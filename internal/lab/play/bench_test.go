package play

import (
	"log/slog"
	"testing"
	"time"

	"flaxfront/internal/lab/script"
)

// benchScript returns a script without faults, with a load that keeps two in five cores busy.
func benchScript(t testing.TB, nodes, brokers int, last time.Duration) *script.Script {
	t.Helper()
	s, err := script.Decode("bench", []byte(`{"fleet": {"call_work": "0s"}, "brokers": {"sockets": 8192},
		"types": [{"name": "find", "least_parts": 4, "most_parts": 4, "work": "10ms"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	s.Length, s.Fleet.Nodes, s.Fleet.Cells, s.Brokers.Count = last, nodes, max(1, nodes/4), brokers
	s.Load.Rate = 20 * float64(nodes)
	if _, err := s.Check(); err != nil {
		t.Fatal(err)
	}
	return s
}

// BenchmarkSearch measures the cost of a simulated query of four shard requests on one core, with its nodes, clients and audits.
func BenchmarkSearch(b *testing.B) {
	for _, of := range []struct {
		name           string
		nodes, brokers int
	}{{"10 nodes", 10, 1}, {"100 nodes", 100, 10}, {"1000 nodes", 1000, 100}} {
		b.Run(of.name, func(b *testing.B) {
			slog.SetDefault(slog.New(slog.DiscardHandler))
			s := benchScript(b, of.nodes, of.brokers, time.Duration(float64(time.Second)*max(2, 100/float64(of.nodes))))
			asked := int64(0)
			for b.Loop() {
				r, err := Play(s, Options{Cores: 1, Policy: Module})
				if err != nil || r.Broken > 0 {
					b.Fatal(err, r.Breaches)
				}
				asked += r.Counts.Asked
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(asked), "ns/search")
		})
	}
}
