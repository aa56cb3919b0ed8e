package server

import (
	"slices"
	"time"

	"flaxfront/internal/decision/forwarding"
	"flaxfront/internal/transport/link"
)

// GatewayState is what operators see of the gateway.
type GatewayState struct {
	Outgoing forwarding.NearCounts `json:"Near"`
	Incoming forwarding.FarCounts  `json:"Far"`
	Links    []forwarding.PeerState
}

func (g *siteGateway) report(c *QueryCounters) {
	c.Gateway = &GatewayState{g.outgoing.Counts, g.incoming.Counts, g.outgoing.State(g.loop.since())}
}

// status is what heartbeats tell other sites.
func (g *siteGateway) status(now time.Duration) link.Status {
	_, limit := g.loop.capacity()
	return link.Status{
		Room:     g.incoming.Room(limit),
		Refusing: g.incoming.Refusing(now),
		Stopping: g.stopping(),
		Lacking:  slices.Clone(g.unhealthyShards),
	}
}
