package server

import (
	"slices"
	"time"

	"flaxfront/internal/decision/forwarding"
	"flaxfront/internal/transport/link"
)

// GatewayState is the gateway's state for operators.
type GatewayState struct {
	Outgoing forwarding.ForwarderCounters `json:"Near"`
	Incoming forwarding.ReceiverCounters  `json:"Far"`
	Links    []forwarding.LinkSnapshot
}

func (g *siteGateway) report(c *QueryCounters) {
	c.Gateway = &GatewayState{g.outgoing.Counters, g.incoming.Counters, g.outgoing.Snapshot(g.loop.since())}
}

// status returns the status that heartbeats carry to other sites.
func (g *siteGateway) status(now time.Duration) link.Status {
	_, limit := g.loop.capacity()
	return link.Status{
		FreeCapacity:  g.incoming.FreeShare(limit),
		IsShedding:    g.incoming.Shedding(now),
		IsDraining:    g.stopping(),
		MissingShards: slices.Clone(g.unhealthyShards),
	}
}
