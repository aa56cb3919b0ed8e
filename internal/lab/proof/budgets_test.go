package proof

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/lab"
	"flaxfront/internal/lab/chaos"
)

const nodeBudget = 7

// connectionPolicy is a policy for five brokers with a budget of 7 connections to a node: the floors of 1 leave 2 to be divided.
const connectionPolicy = `{
  "brokers": 5, "nodes": 8, "lease": "1500ms", "closing": "200ms",
  "classes": [{"name": "all", "budget": "7", "floor": "1"}],
  "tenants": [{"name": "acme", "guarantee": "shared / 3", "weight": "2"}, {"name": "quiet", "guarantee": "0"}],
}`

// Five brokers keep to each node's connection budget while load moves between them, one is paused beyond its lease, one is killed, and
// the policy changes and is rolled back. The nodes count their connections themselves.
func TestNodeConnectionBudgets(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 5, Voters: 3, Fleet: map[string]any{"budgets": true}})
	file := filepath.Join(t.TempDir(), "policy.json5")
	setPolicy := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c.mustRun("policy", "set", file)
	}
	if out, err := c.Command("policy", "set", c.CommandFile); err == nil {
		t.Errorf("a file that is not a policy was accepted: %s", out)
	}
	// stall has the nodes repeatedly accept shard requests without answering for a moment, so that brokers open more connections.
	stall := func(times int) {
		for range times {
			for _, mode := range []lab.Mode{lab.Hanging, lab.Serving} {
				for _, n := range c.Nodes {
					if err := n.SetMode(mode); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(quietSpan / 2)
			}
		}
	}
	peak := func() (most int) {
		for _, n := range c.Nodes {
			_, peak := n.Conns()
			most = max(most, peak)
			n.ResetPeak()
		}
		return most
	}
	all := c.Clients(600, 2)
	peakWithoutPolicy := 0
	c.waitFor("a node has more connections than the budget, without a policy", func() bool {
		stall(1)
		peakWithoutPolicy = max(peakWithoutPolicy, peak())
		return peakWithoutPolicy > nodeBudget
	})
	all.Stop()
	first := c.Clients(400, 3, c.Brokers[0], c.Brokers[1])
	setPolicy(connectionPolicy)
	c.waitForStatus("the policy is in force", func(s *controlplane.Status) bool { return s.Policy != nil && s.Policy.Version == 1 })
	time.Sleep(lease + quietSpan) // connections that were open before the policy are closed by then
	peak()
	c.waitFor("all brokers keep to the policy", func() bool { stall(1); return peak() <= nodeBudget })
	second := c.Clients(400, 4, c.Brokers[2], c.Brokers[3])
	first.Stop()
	stall(2)
	c.Brokers[2].Pause()
	c.Brokers[4].Kill()
	stall(3)
	setPolicy(strings.Replace(connectionPolicy, "shared / 3", "shared", 1))
	c.Brokers[2].Resume()
	stall(1)
	c.mustRun("policy", "back")
	stall(1)
	c.waitFor("the broker holds connection leases", func() bool { stall(1); return holdsUnits(c.Brokers[3]) })
	out, peakUnderPolicy := second.Stop(), peak()
	if c.Brokers[3].Terminate(); !c.Brokers[3].WaitForEnd(waitLimit) || len(c.Brokers[3].LogLines(0, "connection leases released")) == 0 {
		t.Error("a broker that shut down in an orderly way released no connection leases")
	}
	t.Logf("at most %d connections to a node under the policy, budget %d; %d without it; %d of %d queries answered", peakUnderPolicy, nodeBudget,
		peakWithoutPolicy, out.Answered, out.Asked)
	if peakUnderPolicy > nodeBudget {
		t.Errorf("a node had %d connections, its budget is %d", peakUnderPolicy, nodeBudget)
	}
}

// holdsUnits reports whether a broker holds connection leases under its present session: after a lost session it starts with none.
func holdsUnits(b *chaos.Broker) (now bool) {
	session := ""
	for _, line := range b.LogLines(0, "") {
		if _, inc, ok := strings.Cut(line, " incarnation="); ok && strings.Contains(line, connected) && inc != session {
			session, now = inc, false
		}
		now = now || strings.Contains(line, "connection leases held")
	}
	return now
}
