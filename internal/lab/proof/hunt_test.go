package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/lab/chaos"
)

// injectFault injects a random fault into the tier, for less time than the audit allows until a crash is known.
func (c *tier) injectFault(rnd *rand.Rand) {
	b := c.Brokers[rnd.IntN(len(c.Brokers))]
	span := time.Duration(100+rnd.IntN(1100)) * time.Millisecond
	switch rnd.IntN(7) {
	case 0, 1:
		if _, well := b.Faults(); !well {
			return
		}
		c.Monitor.ExpectKill(b.Name)
		b.Kill()
		b.WaitForEnd(waitLimit)
		time.Sleep(span)
		b.Version = "v2" // the installed version
		c.Start(b)
	case 2:
		b.Pause()
		time.Sleep(span)
		b.Resume()
	case 3:
		c.Mesh.Isolate(b.Index, rnd.IntN(2) == 0)
		time.Sleep(span)
		c.Mesh.Heal(rnd.IntN(2) == 0)
	case 4:
		c.Mesh.Partition([]int{0, 3, 4}, []int{1, 5}, []int{2, 6})
		time.Sleep(span)
		c.Mesh.Heal(true)
	case 5:
		c.Mesh.Reset(b.Index, (b.Index+1)%len(c.Brokers))
	case 6:
		c.Mesh.SetDelay(b.Index, span/10)
		time.Sleep(span)
		c.Mesh.SetDelay(b.Index, 0)
	}
}

// Under random faults a release keeps its limit and stops no broker twice, and it ends once there are no more faults.
func TestReleaseUnderFaults(t *testing.T) {
	for seed := range uint64(1 + *extraSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := startTier(t, chaos.Options{Brokers: 7, Voters: 3})
			clients := c.Clients(50, seed)
			c.restartWithVersion("v2")
			most := 1 + int(seed%2)
			c.mustRun("release", "--from", "v1", "--to", "v2", "--most", fmt.Sprint(most), "--gates", "off", "--pause", "0s", "--batch", "2,7")
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			rnd := rand.New(rand.NewPCG(seed, 3))
			var all sync.WaitGroup
			all.Go(func() {
				for ctx.Err() == nil {
					c.injectFault(rnd)
					time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
				}
			})
			all.Wait()
			c.waitForStatus("the release is done, or halted because a stopped broker came back with its old version", func(s *controlplane.Status) bool {
				return s.Release != nil && s.Release.State != statemachine.ReleaseRunning
			})
			c.all(statemachine.BrokerServing)
			c.checkRelease(most, clients.Stop())
			for _, b := range c.Brokers {
				if n := plannedStops(b); n > 1 || b.Version != "v2" {
					t.Errorf("%s was stopped %d times by the release and runs version %s", b.Name, n, b.Version)
				}
			}
		})
	}
}
