package controlplane

import (
	"encoding/binary"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
)

// TestTopicAge checks that a topic's data is never older than the age passed to Merge, and not much younger.
func TestTopicAge(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		start := time.Now()
		var merged atomic.Int64
		for i := range 6 {
			c.maxFollowers = 1
			p := c.start(i + 1)
			p.runInLoop(t.Context(), func() {
				p.topics = append(p.topics, Topic{Name: "t",
					Collect: func() ([]byte, time.Duration) {
						at := p.options.Now() - 70*time.Millisecond // collected 70 ms ago
						return binary.BigEndian.AppendUint64(nil, uint64(time.Since(start)-70*time.Millisecond)), max(0, at)
					},
					Merge: func(data []byte, transit time.Duration) {
						merged.Add(1)
						age := time.Since(start) - time.Duration(binary.BigEndian.Uint64(data))
						if transit < age || transit > age+4*heartbeatInterval {
							t.Errorf("Merge got an age of %v for data of age %v", transit, age)
						}
					}})
			})
		}
		time.Sleep(10 * time.Second)
		if merged.Load() < 100 {
			t.Errorf("topics were merged %d times, want at least 100", merged.Load())
		}
	})
}

// TestOperatorRequests checks that invalid requests are rejected with an *InvalidRequestError and a remedy, and that a drain appears in the
// views of all brokers.
func TestOperatorRequests(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 4 {
			p := c.start(i + 1)
			p.runInLoop(t.Context(), func() {
				p.findNode = func(text string) (id decision.NodeID, ok bool) { return decision.NodeID{Port: 7}, text == "n7" }
			})
		}
		c.waitUntil("all brokers are connected", 5*time.Second, c.allConnected)
		leading := c.participants[c.leader()]
		for _, r := range []struct {
			verb string
			Request
		}{{"dance", Request{}}, {VerbDrain, Request{Node: "n8"}}, {VerbRelease, Request{}}, {VerbRemoveBroker, Request{Broker: "b9"}}, {VerbPolicy, Request{}}} {
			err := readInLoop(leading, func() error { _, err := leading.entryFor(r.verb, &r.Request); return err })
			if !errors.As(err, new(*InvalidRequestError)) || remedyOf(err) == "" {
				t.Errorf("%s: got %v, want an *InvalidRequestError with a remedy", r.verb, err)
			}
		}
		if _, err := leading.Propose(t.Context(), &statemachine.SetNodeList{Epoch: 1, Nodes: []statemachine.NodeInfo{{Node: decision.NodeID{Port: 7}}}}); err != nil {
			t.Fatal(err)
		}
		e := readInLoop(leading, func() statemachine.Entry { e, _ := leading.entryFor(VerbDrain, &Request{Node: "n7"}); return e })
		r, err := leading.Propose(t.Context(), e)
		if err != nil {
			t.Fatal(err)
		}
		c.waitUntil("all views show the drain", time.Second, func() bool {
			for _, p := range c.participants {
				if d := p.View().Drains; len(d) != 1 || d[0].Number != r.Number {
					return false
				}
			}
			return true
		})
	})
}
