package server

import (
	"log/slog"

	"flaxfront/internal/cluster/connpolicy"
	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/connlease"
	"flaxfront/internal/decision/statemachine"
)

// handleView applies the policies and the grant of a new view.
func (b *connectionLeases) handleView(v *controlplane.View) {
	b.view = v
	b.nextTick = 0
	if v.Index == 0 {
		return
	}
	if v.Policy != nil && v.Policy.Version != b.version {
		b.applyPolicy(v.Policy)
	}
	b.updateReserved(v)
	granted := v.Lease.Number > 0 && !v.Lease.Ended
	if granted && v.Lease.Incarnation == v.Self.Incarnation && v.Self.Incarnation > 0 && v.Policy != nil {
		b.acceptGrant(v)
	} else {
		b.holdLogged = false
	}
}

// applyPolicy compiles an agreed policy. One that does not compile here was agreed by a version that reads policies differently: only the
// reserved connections may be opened then.
func (b *connectionLeases) applyPolicy(p *statemachine.ConnectionPolicy) {
	b.version = p.Version
	compiled, err := connpolicy.Compile("agreed", p.Text)
	if err != nil {
		slog.Error("agreed connection policy does not compile; only reserved connections are used", "component", "connection-leases", "version", p.Version,
			"error", err)
		b.mapTenants(nil)
		return
	}
	b.mapTenants(compiled.Tenants)
	b.closeDelay = compiled.Closing
	b.holder.SetCloseDelay(b.closeDelay)
}

// acceptGrant passes the grant of a view to the holder. Grants are numbered from 1 again for a broker that was forgotten and comes back as a
// new incarnation.
func (b *connectionLeases) acceptGrant(v *controlplane.View) {
	grant := v.Lease
	if grant.Incarnation != b.grantIncarnation {
		b.grantIncarnation = grant.Incarnation
		b.holder.ResetGrantNumber()
	}
	rows := b.grantedRows(grant.Granted)
	if b.holder.AcceptGrant(grant.Number, rows, v.LeaseEnd) && len(rows) > 0 && !b.holdLogged {
		b.holdLogged = true
		slog.Info("connection leases held", "component", "connection-leases", "number", grant.Number, "rows", len(rows))
	}
	if grant.Acknowledged {
		b.holder.RecordAcked(grant.Number)
	}
}

// updateReserved sets the reserved connections of each node: those of the policy in force or, while another waits, the lower of both. While
// no policy is known, one may have been agreed without this broker; so it opens connections without limit only while its session's lease runs.
func (b *connectionLeases) updateReserved(v *controlplane.View) {
	if v.Policy == nil {
		if v.LeaseValid(b.loop.since()) {
			b.holder.SetUnlimited()
		} else {
			b.holder.SetReserved(nil, 1)
		}
		return
	}
	versions := [2]uint64{v.Policy.Version, v.Policy.Version}
	if v.WaitingPolicy != nil {
		versions[1] = v.WaitingPolicy.Version
	}
	b.agreedVersion = versions[1]
	if versions == b.reservedVersions && b.reserved != nil {
		return
	}
	reserved := reservedPerBroker(v.Policy)
	if v.WaitingPolicy != nil {
		waiting := reservedPerBroker(v.WaitingPolicy)
		for id, n := range reserved {
			reserved[id] = min(n, waiting[id])
		}
	}
	b.reserved = reserved
	b.reservedVersions = versions
	b.holder.SetReserved(reserved, 1)
}

func reservedPerBroker(p *statemachine.ConnectionPolicy) map[decision.NodeID]int {
	reserved := make(map[decision.NodeID]int, len(p.Budgets))
	for _, budget := range p.Budgets {
		reserved[budget.Node] = int(budget.ReservedPerBroker)
	}
	return reserved
}

// grantedRows returns a grant's rows with tenants by their index in the settings. It drops rows of other tenants.
func (b *connectionLeases) grantedRows(granted []statemachine.LeaseRow) (rows []connlease.ConnectionCount) {
	for _, r := range granted {
		for i, name := range b.tenantNames {
			if name == r.Tenant && b.policyTenant[i] >= 0 {
				key := connlease.LeaseKey{Node: r.Node, Tenant: i}
				rows = append(rows, connlease.ConnectionCount{LeaseKey: key, Connections: int(r.Connections)})
			}
		}
	}
	return rows
}
