package routing

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// The attempts of 20 or 30 brokers together must not overload a node that has just started: within the time after which an overloaded
// node fails, it gets no more attempts than OverloadMultiple times its capacity at that age, plus a margin for chance. Meanwhile half of
// the brokers restart and do not know what the others send, and a burst of queries arrives.
func TestWarmingUpNodeUnderManyBrokers(t *testing.T) {
	const window, burstAt = 1500 * ms, 2500 * ms
	for seed := range int64(6) {
		brokers := []int{20, 30}[seed%2]
		rnd := rand.New(rand.NewSource(seed))
		settings := smallSettings()
		rigs := []*rig(nil)
		warmingUp := nodeID(0)
		settings.BrokerCount = brokers
		start := func(i int, now time.Duration) *rig {
			settings.Seed = uint64(seed)<<20 + uint64(i)<<10 + uint64(now/ms)
			r := newRig(settings, 6)
			r.now = now
			r.list(decision.ListUpdateReceived, decision.Endpoint{Node: warmingUp, State: decision.Ready, StartedAt: 0})
			return r
		}
		for i := range brokers {
			rigs = append(rigs, start(i, 0))
		}
		sends := []time.Duration(nil)
		warmedUpSends := 0
		countSends := func(r *rig) {
			sends = append(sends, r.sends[warmingUp]...)
			for i := 1; i < 6; i++ {
				warmedUpSends += len(r.sends[nodeID(i)])
			}
		}
		for step := range 1600 {
			now := time.Duration(step) * 5 * ms
			if now == burstAt {
				for i := range brokers / 2 {
					countSends(rigs[i])
					rigs[i] = start(i, now)
				}
			}
			load := 2
			if now > burstAt && now < 2*burstAt {
				load = 3
			}
			for _, r := range rigs {
				if rnd.Intn(2*brokers) < load {
					r.query(0, 3*time.Second, rnd.Intn(4), rnd.Intn(4))
				}
				r.endAttempts(decision.OK, 80*ms, func(decision.NodeID) bool { return rnd.Intn(8) == 0 })
				r.step(5 * ms)
			}
		}
		for _, r := range rigs {
			countSends(r)
		}
		full := float64(warmedUpSends) / 5 / 8 // attempts per second sent to a warmed-up node, taken to be its capacity
		for from := time.Duration(0); from < 8*time.Second; from += 50 * ms {
			n := 0
			capacity := 0.3 + 0.7*from.Seconds()/8
			for _, at := range sends {
				if at >= from && at < from+window {
					n++
				}
			}
			allowed := settings.OverloadMultiple * capacity * full * window.Seconds()
			limit := allowed + 2*math.Sqrt(allowed) + 2
			require(t, float64(n) <= limit, "seed %d, %d brokers: %d attempts sent from %v on, limit %.1f", seed, brokers, n, from, limit)
		}
		require(t, len(sends) > 20, "the warming-up node gets too few attempts, want more than 20 in all")
	}
}
