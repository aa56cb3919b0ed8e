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

// Facts are never older than they are said to be.
func TestFacts(t *testing.T) {
	inside(t, func(t *testing.T, c *tier) {
		start := time.Now()
		var took atomic.Int64
		for i := range 6 {
			c.most = 1
			f := c.start(i + 1)
			f.runInLoop(t.Context(), func() {
				f.topics = append(f.topics, Topic{Name: "t",
					Collect: func() ([]byte, time.Duration) {
						at := f.options.Now() - 70*time.Millisecond // it has lain for so long
						return binary.BigEndian.AppendUint64(nil, uint64(time.Since(start)-70*time.Millisecond)), max(0, at)
					},
					Merge: func(data []byte, older time.Duration) {
						took.Add(1)
						age := time.Since(start) - time.Duration(binary.BigEndian.Uint64(data))
						if older < age || older > age+4*heartbeatInterval {
							t.Errorf("told %v older, it is %v", older, age)
						}
					}})
			})
		}
		time.Sleep(10 * time.Second)
		if took.Load() < 100 {
			t.Errorf("%d facts came", took.Load())
		}
	})
}

// Operators' requests: what is wrong is told with its type, and what is agreed shows on every broker.
func TestRequests(t *testing.T) {
	inside(t, func(t *testing.T, c *tier) {
		for i := range 4 {
			f := c.start(i + 1)
			f.runInLoop(t.Context(), func() {
				f.findNode = func(text string) (id decision.NodeID, ok bool) { return decision.NodeID{Port: 7}, text == "n7" }
			})
		}
		c.until("all are in", 5*time.Second, c.connected)
		lead := c.all[c.leader()]
		for _, r := range []struct {
			verb string
			Request
		}{{"dance", Request{}}, {VerbDrain, Request{Node: "n8"}}, {VerbRelease, Request{}}, {VerbRemoveBroker, Request{Broker: "b9"}}, {VerbPolicy, Request{}}} {
			err := peek(lead, func() error { _, err := lead.entryFor(r.verb, &r.Request); return err })
			if !errors.As(err, new(*InvalidRequestError)) || remedyOf(err) == "" {
				t.Errorf("%s: %v", r.verb, err)
			}
		}
		if _, err := lead.Propose(t.Context(), &statemachine.SetNodeList{Epoch: 1, Nodes: []statemachine.NodeInfo{{Node: decision.NodeID{Port: 7}}}}); err != nil {
			t.Fatal(err)
		}
		e := peek(lead, func() statemachine.Entry { e, _ := lead.entryFor(VerbDrain, &Request{Node: "n7"}); return e })
		r, err := lead.Propose(t.Context(), e)
		if err != nil {
			t.Fatal(err)
		}
		c.until("all see the drain", time.Second, func() bool {
			for _, f := range c.all {
				if d := f.View().Drains; len(d) != 1 || d[0].Number != r.Number {
					return false
				}
			}
			return true
		})
	})
}
