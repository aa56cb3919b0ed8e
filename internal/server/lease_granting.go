package server

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"flaxfront/internal/cluster/connpolicy"
	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/connlease"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/discovery"
)

const grantInterval = 500 * time.Millisecond

// demandSection names the section of a load report that carries a broker's demand for connections.
const demandSection = "need"

// policyNode returns the properties of a node that a policy's conditions can test.
func policyNode(n discovery.Node) connpolicy.Node {
	return connpolicy.Node{Name: n.Name, Zone: n.Zone, Cell: strconv.Itoa(n.Endpoint.Cell), Machine: n.Address.Addr().String()}
}

// leaseGranting is the leader's part in connection leases: it turns the brokers' demands into grants. It runs in the control plane's
// goroutine, must not block, and reads the nodes from a copy that the loop publishes.
type leaseGranting struct {
	leases        *connectionLeases
	leaseDuration time.Duration // prolonged by the largest clock drift
	linger        time.Duration // for which a node may keep a connection that its broker no longer uses
	term          uint64
	granter       *connlease.Granter // made anew for each term
	plan          *connlease.BudgetPlan
	version       uint64                       // of the plan's policy
	incarnations  map[statemachine.Slot]uint64 // as of the last recordRenewal
}

// openConnLeases makes the pool keep to connection leases, and lets this broker grant them while it is the leader.
func (s *Server) openConnLeases(streams int) {
	t, o := &s.start.Terms, &s.operator.ControlPlaneSettings
	b := newConnectionLeases(streams, t.Tenants)
	b.proposeEntry = s.proposeInBackground
	s.loop.useConnectionLeases(b)
	s.loop.pool.SetBudget(b)
	g := &leaseGranting{
		leases:        b,
		leaseDuration: o.Lease + time.Duration(float64(o.Lease)*o.Drift),
		linger:        t.Idle + t.LongestTimeout() + defaultCloseDelay,
	}
	s.controlPlane.SetPolicyCompiler(func(text string, state *statemachine.State) (*statemachine.ConnectionPolicy, error) {
		return g.compile(text, state, t.Tenants, o.Lease)
	})
	s.controlPlane.AddReportSection(controlplane.ReportSection{Name: demandSection, Collect: b.collectDemand})
	s.controlPlane.AddLeaderTask(controlplane.LeaderTask{Name: "budgets", Interval: grantInterval, Propose: g.proposeGrants})
}

// collectDemand returns the encoded demand for a load report, nil before the first measurement. It may be called from any goroutine.
func (b *connectionLeases) collectDemand() []byte {
	if report := b.demandReport.Load(); report != nil {
		return *report
	}
	return nil
}

// proposeInBackground proposes an entry without blocking the loop.
func (s *Server) proposeInBackground(e statemachine.Entry) {
	s.group.Go(func() error {
		ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout)
		defer cancel()
		if _, err := s.controlPlane.Propose(ctx, e); err != nil {
			slog.Debug("proposal rejected", "component", "connection-leases", "entry", fmt.Sprintf("%T", e), "error", err)
		}
		return nil
	})
}

// proposeGrants is the leader's task: it returns the entries to propose now.
func (g *leaseGranting) proposeGrants(m controlplane.LeaderContext) []statemachine.Entry {
	policies := m.State.Policies()
	newest := policies.InForce
	if newest == nil {
		return nil
	}
	if policies.Waiting != nil {
		newest = policies.Waiting
	}
	if (g.plan == nil || g.version != newest.Version) && !g.buildPlan(newest) {
		return nil
	}
	if g.granter == nil || g.term != m.Term {
		g.granter = connlease.NewGranter(g.leaseDuration, g.linger, m.Now)
		g.term = m.Term
		g.incarnations = map[statemachine.Slot]uint64{}
	}
	previous := uint64(0)
	if policies.Waiting != nil {
		previous = g.previousVersion(policies.InForce)
	}
	demand := map[statemachine.Slot][]connlease.ConnectionCount{}
	for _, b := range m.State.Brokers() {
		g.recordRenewal(b, m.LastLeaseGrant(b), m.Now)
		report, ok := m.Reports[b.Slot]
		if !ok || report.Incarnation != b.Incarnation {
			continue
		}
		version, counts, err := connlease.DecodeDemand(report.Sections[demandSection])
		if err == nil && (version == newest.Version || version == previous && previous > 0) {
			demand[b.Slot] = counts
		}
	}
	return g.granter.NextEntries(m.State, g.plan, demand, m.Term, m.Now)
}

// recordRenewal records when a broker's lease was renewed. An incarnation that has ended since the last call may have renewed its lease
// after that call, so it counts as renewed now: else its connections would be granted to another broker too early.
func (g *leaseGranting) recordRenewal(b statemachine.Broker, renewed, now time.Duration) {
	if previous := g.incarnations[b.Slot]; previous > 0 && previous != b.Incarnation {
		g.granter.RecordRenewal(b.Slot, previous, now)
	}
	g.incarnations[b.Slot] = b.Incarnation
	g.granter.RecordRenewal(b.Slot, b.Incarnation, renewed)
}
