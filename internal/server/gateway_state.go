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
		Room:     g.incoming.FreeShare(limit),
		Refusing: g.incoming.Shedding(now),
		Stopping: g.stopping(),
		Lacking:  slices.Clone(g.unhealthyShards),
	}
}
