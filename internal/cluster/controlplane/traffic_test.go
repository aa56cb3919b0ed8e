package controlplane

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision/statemachine"
)

var brokers = flag.Int("brokers", 40, "number of brokers in TestTraffic")

type traffic struct{ framesIn, framesOut, bytesIn, bytesOut float64 }

func (p *Participant) traffic() traffic {
	c := &p.Counts
	return traffic{float64(c.FramesIn.Load()), float64(c.FramesOut.Load()), float64(c.BytesIn.Load()), float64(c.BytesOut.Load())}
}

// TestTraffic bounds the control plane's own traffic, in frames and bytes a second, in a tier at rest and while entries are committed. The bounds
// hold for any number of brokers. Queries cause no such traffic.
func TestTraffic(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		c.adjustOptions = func(o *Options) {
			o.CollectReport = func() Report {
				return Report{Classes: []Class{{"a", 123456, 789, 12, 3}, {"b", 123456, 789, 12, 3}, {"c", 123456, 789, 12, 3}}}
			}
		}
		for i := range *brokers {
			c.start(i + 1)
		}
		c.waitUntil("all brokers are connected", time.Minute, c.allConnected)
		entries := 0
		for _, busy := range []bool{false, true} {
			const span = 10
			time.Sleep(2 * time.Second)
			before := map[string]traffic{}
			for name, p := range c.participants {
				before[name] = p.traffic()
			}
			for range span * 10 {
				if busy {
					entries++
					if _, err := c.propose("b4", &statemachine.SetNodeList{Epoch: uint64(entries)}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Until(time.Now().Truncate(100 * time.Millisecond).Add(100 * time.Millisecond)))
			}
			worst := map[string]traffic{}
			lead := c.leader()
			for name, p := range c.participants {
				now, was := p.traffic(), before[name]
				rates := traffic{(now.framesIn - was.framesIn) / span, (now.framesOut - was.framesOut) / span, (now.bytesIn - was.bytesIn) / span,
					(now.bytesOut - was.bytesOut) / span}
				kind := "follower"
				if name == lead {
					kind = "leader"
				} else if p.voterID != 0 {
					kind = "voter"
				} else if readInLoop(p, p.followerCount) > 0 {
					kind = "follower with followers"
				}
				w := worst[kind]
				worst[kind] = traffic{max(w.framesIn, rates.framesIn), max(w.framesOut, rates.framesOut), max(w.bytesIn, rates.bytesIn), max(w.bytesOut, rates.bytesOut)}
			}
			kinds := []string{"leader", "voter", "follower with followers", "follower"}
			for _, kind := range kinds {
				w := worst[kind]
				t.Logf("%d brokers, proposals in progress: %v; highest rates of a %s: %.0f frames/s in, %.0f out; %.1f KB/s in, %.1f out", *brokers, busy, kind,
					w.framesIn, w.framesOut, w.bytesIn/1e3, w.bytesOut/1e3)
				if w.framesIn > 1000 || w.bytesIn > 1e6 || w.bytesOut > 2e6 || !slices.Contains(kinds, kind) {
					t.Errorf("a %s exceeds 1000 frames/s in, 1 MB/s in or 2 MB/s out: %s", kind, fmt.Sprint(w))
				}
			}
		}
	})
}
