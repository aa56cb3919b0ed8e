package chaos

// This file simulates the clients of a tier: they send queries to the brokers that serve, as a load balancer does, and audit
// every answer. A missing answer must not be excused, unless a fault hit the broker while the query was there.

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"flaxfront/internal/lab"
)

// Clients send queries to a tier until Stop.
type Clients struct {
	Audit           lab.Audit
	QueriesByBroker map[string]int

	mu     sync.Mutex
	result *lab.LoadResult
	stop   chan struct{}
	over   chan struct{}
}

// queryTypes are the query types that need a complete answer.
var queryTypes = []string{"find", "sign", "book"}

// Clients starts a load of rate queries per second over the given brokers; none: over all of the tier.
func (t *Tier) Clients(rate float64, seed uint64, over ...*Broker) *Clients {
	c := &Clients{Audit: lab.Audit{Fleet: []*lab.Fleet{t.Fleet}}, QueriesByBroker: map[string]int{}, stop: make(chan struct{}), over: make(chan struct{})}
	if len(over) == 0 {
		over = t.Brokers
	}
	rnd := rand.New(rand.NewPCG(seed, 0x6368616f73))
	load := lab.Load{QueryTypes: queryTypes, RecordResult: c.Audit.RecordResult, Tenant: "acme", Shards: 2 * t.Cells, MaxShards: 3, Rate: rate, RunTime: time.Hour,
		Stop: c.stop, Timeout: 2 * time.Second, Objective: time.Second, MinCompleteness: 1, Seed: seed}
	load.PickBroker = func() (string, func() bool) {
		c.mu.Lock()
		first := rnd.IntN(len(over))
		c.mu.Unlock()
		for i := range over {
			b := over[(first+i)%len(over)]
			if hits, well := b.Faults(); well && t.Monitor.Serves(b.Name) {
				c.mu.Lock()
				c.QueriesByBroker[b.Name]++
				c.mu.Unlock()
				return b.URL, func() bool {
					now, _ := b.Faults()
					return now != hits
				}
			}
		}
		return "http://127.0.0.1:1", func() bool { return false } // nobody serves: the query gets no answer
	}
	go func() {
		c.result = load.Run()
		close(c.over)
	}()
	return c
}

// Stop ends the load and returns its result with all violations of the rules.
func (c *Clients) Stop() *lab.LoadResult {
	close(c.stop)
	<-c.over
	time.Sleep(50 * time.Millisecond) // lets requests in flight at the nodes finish
	broken, _ := c.Audit.Check()
	c.result.Violations = slices.Concat(c.result.Violations, broken)
	return c.result
}
