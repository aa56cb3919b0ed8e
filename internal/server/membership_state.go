package server

import (
	"time"

	"flaxfront/internal/decision/gossip"
	"flaxfront/internal/decision/membership"
	"flaxfront/internal/decision/ownership"
)

// MembershipState is the state of the tier's membership for operators.
type MembershipState struct {
	Self            string
	Now             time.Duration
	Members         []membership.Member
	Ownership       []ownership.State `json:"Duties"`
	Counts          membership.Counts
	SharedEndpoints gossip.Counts `json:"List"`
}

func (m *tierMembership) report(c *QueryCounters) {
	now := m.loop.since()
	c.Membership = &MembershipState{
		Self:            m.members.Self().Name,
		Now:             now,
		Members:         m.members.Members(),
		Ownership:       m.ownership.Snapshot(),
		Counts:          m.members.Counts,
		SharedEndpoints: m.updateFilter.Counts,
	}
}
