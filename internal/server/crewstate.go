package server

// This file owns what operators see of the tier.

import (
	"time"

	"flaxfront/internal/decision/gossip"
	"flaxfront/internal/decision/membership"
	"flaxfront/internal/decision/ownership"
)

// MembershipState is what operators see of the tier.
type MembershipState struct {
	Self    string
	Now     time.Duration
	Members []membership.Member
	Duties  []ownership.State
	Counts  membership.Counts
	List    gossip.Counts
}

func (l *loop) membershipState(now time.Duration) *MembershipState {
	c := l.membership
	return &MembershipState{c.members.Self().Name, now, c.members.All(), c.ownership.Snapshot(now), c.members.Counts, c.shared.Counts}
}
