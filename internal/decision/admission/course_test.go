package admission

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Each run draws the same sequences; -rapid.seed on the command line draws others.
func init() { flag.Set("rapid.seed", "1") }

// In random sequences each query has one outcome, the work in flight adds up, no query waits while there is capacity or beyond its share
// of its remaining time, and each Retry-After is within its bound.
func TestRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0.1, 0.4, 1}), 1, 4).Draw(t, "weights")
		p := Policy{Weights: weights, MaxWaitShare: 0.25, MaxQueued: 5, MinWork: 4, MaxRetryAfter: time.Second, RetryShare: 0.2, Seed: 3}
		controller, now := NewController(p), time.Duration(0)
		admitted, queued := map[uint64]float64{}, map[uint64]Query{}
		waitUntil := map[uint64]time.Duration{}
		checkRetryAfter := func(h time.Duration) {
			if h < 0 || h > p.MaxRetryAfter {
				t.Fatalf("Retry-After %v is out of bounds", h)
			}
		}
		tick := func() {
			dequeued, _ := controller.Tick(now, nil)
			for _, l := range dequeued {
				s, there := queued[l.ID]
				if !there {
					t.Fatalf("query %d left its queue twice", l.ID)
				}
				delete(queued, l.ID)
				if l.Admitted {
					admitted[l.ID] = s.Work
				}
				checkRetryAfter(l.RetryAfter)
			}
			sum := 0.0
			for _, w := range admitted {
				sum += w
			}
			if math.Abs(sum-controller.inFlight) > 1e-6 {
				t.Fatalf("%v of work in flight, %v counted", sum, controller.inFlight)
			}
			if len(queued) > 0 && controller.inFlight < p.MinWork {
				t.Fatalf("%d queries wait while only %v of work is in flight", len(queued), controller.inFlight)
			}
			for id := range queued {
				if now > waitUntil[id] {
					t.Fatalf("query %d waits beyond its time", id)
				}
			}
		}
		for id := uint64(1); id < uint64(rapid.IntRange(2, 150).Draw(t, "steps")); id++ {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * ms
			if rapid.Bool().Draw(t, "tick before") {
				tick()
			}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				s := Query{ID: id, Tenant: rapid.IntRange(0, len(weights)-1).Draw(t, "tenant"), Client: uint64(rapid.IntRange(0, 3).Draw(t, "client")),
					Work: float64(rapid.IntRange(1, 9).Draw(t, "work")), TimeLeft: time.Duration(rapid.IntRange(1, 2000).Draw(t, "left")) * ms,
					Retry: rapid.Bool().Draw(t, "repeat")}
				ruling := controller.Arrive(s, now)
				checkRetryAfter(ruling.RetryAfter)
				if evicted := ruling.Evicted; evicted.ID != 0 {
					if _, there := queued[evicted.ID]; !there || ruling.Decision != Enqueue || evicted.Admitted {
						t.Fatalf("query %d evicts query %d, which is not queued: %+v", id, evicted.ID, ruling)
					}
					delete(queued, evicted.ID)
					checkRetryAfter(evicted.RetryAfter)
				}
				switch ruling.Decision {
				case Admit:
					admitted[id] = s.Work
				case Enqueue:
					queued[id], waitUntil[id] = s, now+time.Duration(0.25*float64(s.TimeLeft))
				}
			case 2:
				for k, w := range admitted {
					delete(admitted, k)
					controller.Complete(Completion{Work: w, Elapsed: time.Duration(rapid.IntRange(1, 500).Draw(t, "took")) * ms, Answered: true}, now)
					break
				}
			default:
				for k, s := range queued {
					delete(queued, k)
					if !controller.Remove(s.Tenant, k) || controller.Remove(s.Tenant, k) {
						t.Fatalf("query %d was not found, or was found twice", k)
					}
					break
				}
			}
			if rapid.Bool().Draw(t, "tick behind") {
				tick()
			}
		}
		tick()
	})
}

// Among a million clients the sketch finds the one that floods, and does not take quiet ones for it.
func TestSketch(t *testing.T) {
	s, rnd := NewSketch(11), rand.New(rand.NewPCG(1, 1))
	for i := range 1_000_000 {
		now := time.Duration(i) * 5 * time.Microsecond
		s.Add(rnd.Uint64(), 1, now)
		if i%10 == 0 {
			s.Add(42, 1, now)
		}
	}
	now := 5 * time.Second
	flood := s.Estimate(42, now) // 20,000 a second, remembered for 2 s
	if flood < 30_000 || flood > 60_000 {
		t.Errorf("estimate of the flooding client is %.0f", flood)
	}
	wrong := 0
	for range 1000 {
		if s.Estimate(rnd.Uint64(), now) > flood/20 {
			wrong++
		}
	}
	if wrong > 20 {
		t.Errorf("%d of 1,000 quiet clients are estimated at over a twentieth of the flooding client", wrong)
	}
	a, b := NewSketch(1).columns(42), NewSketch(2).columns(42)
	if a == b {
		t.Error("two brokers hash alike: a client can target another's counters")
	}
}

// BenchmarkAdmission measures one admission, which must not allocate.
func BenchmarkAdmission(b *testing.B) {
	d := NewController(Policy{Weights: []float64{0.5, 0.5}, MaxWaitShare: 0.25, MaxQueued: 64, MinWork: 1e9, MaxRetryAfter: time.Second, Seed: 1})
	d.limit = 1e9
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * time.Microsecond
		d.Arrive(Query{ID: uint64(i), Tenant: i & 1, Client: uint64(i), Work: 2, TimeLeft: time.Second}, now)
		d.Complete(Completion{Work: 2, Elapsed: ms, Answered: true}, now)
	}
}

// BenchmarkClientCounts compares the sketch with a map that is cleared of decayed counts, for an unbounded number of clients.
func BenchmarkClientCounts(b *testing.B) {
	b.Run("sketch", func(b *testing.B) {
		s := NewSketch(1)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			s.Add(mix(uint64(i)), 1, time.Duration(i)*time.Microsecond)
		}
	})
	b.Run("map", func(b *testing.B) {
		type count struct {
			n  float64
			at time.Duration
		}
		m := map[uint64]count{}
		b.ReportAllocs()
		most := 0
		for i := 0; b.Loop(); i++ {
			now := time.Duration(i) * time.Microsecond
			k := mix(uint64(i))
			c := m[k]
			m[k] = count{c.n*math.Exp(-float64(now-c.at)/float64(sketchTimeConstant)) + 1, now}
			if most = max(most, len(m)); i%1_000_000 == 0 {
				for k, c := range m {
					if now-c.at > sketchTimeConstant {
						delete(m, k)
					}
				}
			}
		}
		b.ReportMetric(float64(most), "names")
	})
}
