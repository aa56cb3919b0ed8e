package server

import (
	"encoding/json"

	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/transport/store"
)

// Counters are a broker's counters for operators. The JSON names are read by operators' programs and stay.
type Counters struct {
	Searches QueryCounters       `json:"Searches"`
	Clients  ClientCounters      `json:"Clients"`
	Peers    GossipCounters      `json:"Peers"`
	NodeList *CachedListCounters `json:"NodeList,omitempty"` // where a cached list is kept
	Refused  uint64              `json:"Refused,omitempty"`  // site links that failed in the handshake
}

// ClientCounters count client connections.
type ClientCounters struct {
	Accepted    uint64
	Closed      uint64
	BadRequests uint64
	Unwritten   uint64 // answers that could not be written
}

// GossipCounters count datagrams between brokers.
type GossipCounters struct {
	Sent      uint64
	Heard     uint64 `json:"Heard"`
	Strangers uint64 `json:"Strangers"` // from addresses of no broker
	TooLong   uint64
	Dropped   uint64
	Unsealed  uint64 `json:"Unsealed"` // under none of the keys
}

// CachedListCounters count writes of the cached endpoint list.
type CachedListCounters struct {
	Saving    bool `json:"Saving"` // the last write succeeded
	Writes    uint64
	Snapshots uint64
	Bytes     uint64
	Failed    uint64
}

// QueryCounters count what became of queries: Received = Answered + Shed + Failed + Abandoned + InFlight. Nothing decides by them.
type QueryCounters struct {
	Taken       uint64             `json:"Taken"`
	Answered    uint64             `json:"Answered"`
	Shed        uint64             `json:"Shed"`
	Errored     uint64             `json:"Errored"`
	Left        uint64             `json:"Left"`
	InHand      uint64             `json:"InHand"`
	Partial     uint64             `json:"Partial"`              // of those answered
	TurnedAway  uint64             `json:"TurnedAway,omitempty"` // of those shed: by admission
	Full        uint64             `json:"Full"`                 // of those shed: no slot or descriptor was left
	Turns       uint64             `json:"Turns"`
	Subrequests uint64             `json:"Subrequests"`
	ListsTaken  uint64             `json:"ListsTaken"`
	ListsFailed uint64             `json:"ListsFailed"`
	Nodes       int                `json:"Nodes"`       // now
	NodeConns   int                `json:"NodeConns"`   // now
	Out         int                `json:"Out"`         // attempts in flight, on the wire
	OutByModule int                `json:"OutByModule"` // the same, as the router counts them
	ShutOut     int                `json:"ShutOut"`     // nodes that are ejected
	Store       store.Counts       `json:"Store"`
	Trust       *cachedlist.Counts `json:"Trust,omitempty"`   // with a cached list
	Door        *AdmissionState    `json:"Door,omitempty"`    // with admission
	Gateway     *GatewayState      `json:"Gateway,omitempty"` // with links to other sites
	Crew        *MembershipState   `json:"Crew,omitempty"`    // with membership
	Fleet       *ControlPlaneState `json:"Fleet,omitempty"`   // with a control plane
	Pins        *ReadPinState      `json:"Pins,omitempty"`    // with read pins
}

// Counters asks the loop for its figures and adds the others.
func (s *Server) Counters() (c Counters) {
	r := countersRequested{make(chan QueryCounters, 1)}
	if s.deliver(r) {
		select {
		case c.Searches = <-r.to:
		case <-s.ctx.Done():
		}
	}
	cs := &s.clients
	c.Clients.Accepted, c.Clients.Closed = cs.accepted.Load(), cs.closed.Load()
	c.Clients.BadRequests, c.Clients.Unwritten = cs.refused.Load(), cs.unwritten.Load()
	if s.siteLinks != nil {
		c.Refused = s.siteLinks.Refused.Load()
	}
	if s.listStore != nil {
		n := &s.listStore.Counters
		c.NodeList = &CachedListCounters{n.Saving.Load(), n.Writes.Load(), n.Snapshots.Load(), n.Bytes.Load(), n.Failed.Load()}
	}
	if s.gossip != nil {
		p := &s.gossip.Counts
		c.Peers.Sent, c.Peers.Heard, c.Peers.Strangers = p.Sent.Load(), p.Heard.Load(), p.Strangers.Load()
		c.Peers.TooLong, c.Peers.Dropped, c.Peers.Unsealed = p.TooLong.Load(), p.Dropped.Load(), p.Unsealed.Load()
	}
	return c
}

// String is the counters as one line of JSON.
func (c Counters) String() string {
	text, _ := json.Marshal(c)
	return string(text)
}
