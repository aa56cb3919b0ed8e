package server

import (
	"encoding/json"

	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/transport/store"
)

// Counters are a broker's counters for operators. Operators' programs read the JSON names, so they must not change.
type Counters struct {
	Queries       QueryCounters       `json:"Searches"`
	Clients       ClientCounters      `json:"Clients"`
	Peers         GossipCounters      `json:"Peers"`
	CachedList    *CachedListCounters `json:"NodeList,omitempty"` // with a cached list
	RejectedLinks uint64              `json:"Refused,omitempty"`  // site links that failed in the handshake
	Memory        MemoryCounters
	ClientStates  ClientStateCounters
}

// ClientCounters count client connections.
type ClientCounters struct {
	Accepted    uint64
	Closed      uint64
	BadRequests uint64
	Unwritten   uint64 // answers that could not be written to the client
}

// GossipCounters count datagrams between brokers.
type GossipCounters struct {
	Sent            uint64
	Received        uint64 `json:"Heard"`
	UnknownSender   uint64 `json:"Strangers"` // from addresses that are no broker's
	TooLong         uint64
	Dropped         uint64
	Unauthenticated uint64 `json:"Unsealed"` // authenticated by none of the keys
}

// CachedListCounters count writes of the cached endpoint list to disk.
type CachedListCounters struct {
	LastWriteOK bool `json:"Saving"` // the last write succeeded
	Writes      uint64
	Snapshots   uint64
	Bytes       uint64
	Failed      uint64
}

// QueryCounters count the outcomes of queries: Received = Answered + Shed + Failed + Abandoned + InFlight. No decision depends on them.
type QueryCounters struct {
	Received            uint64             `json:"Taken"`
	Answered            uint64             `json:"Answered"`
	Shed                uint64             `json:"Shed"`
	Failed              uint64             `json:"Errored"`
	Abandoned           uint64             `json:"Left"`
	InFlight            uint64             `json:"InHand"`
	Partial             uint64             `json:"Partial"`              // of those answered
	RejectedByAdmission uint64             `json:"TurnedAway,omitempty"` // of those shed: by admission
	NoCapacity          uint64             `json:"Full"`                 // of those shed: no slot or file descriptor was left
	Steps               uint64             `json:"Turns"`
	Attempts            uint64             `json:"Subrequests"`
	ListsReceived       uint64             `json:"ListsTaken"`
	ListsFailed         uint64             `json:"ListsFailed"`
	Nodes               int                `json:"Nodes"`       // now
	NodeConnections     int                `json:"NodeConns"`   // now
	AttemptsInFlight    int                `json:"Out"`         // on the connections to nodes, now
	AttemptsByRouter    int                `json:"OutByModule"` // the same number, as the router counts it
	EjectedNodes        int                `json:"ShutOut"`     // now
	Store               store.Counts       `json:"Store"`
	CachedList          *cachedlist.Counts `json:"Trust,omitempty"`   // with a cached list
	Admission           *AdmissionState    `json:"Door,omitempty"`    // with admission
	Gateway             *GatewayState      `json:"Gateway,omitempty"` // with links to other sites
	Membership          *MembershipState   `json:"Crew,omitempty"`    // with membership
	ControlPlane        *ControlPlaneState `json:"Fleet,omitempty"`   // with a control plane
	ReadPins            *ReadPinState      `json:"Pins,omitempty"`    // with read pins
}

// Counters returns the loop's counters, which it requests from the loop, and those kept outside the loop.
func (s *Server) Counters() (c Counters) {
	request := countersRequested{make(chan QueryCounters, 1)}
	if s.deliver(request) {
		select {
		case c.Queries = <-request.reply:
		case <-s.ctx.Done():
		}
	}
	clients := &s.ingress.Counters
	c.Clients.Accepted = clients.Accepted.Load()
	c.Clients.Closed = clients.Closed.Load()
	c.Clients.BadRequests = clients.BadRequests.Load()
	c.Clients.Unwritten = clients.Unwritten.Load()
	c.ClientStates = s.countStates()
	c.Memory = s.readMemory()
	if s.siteLinks != nil {
		c.RejectedLinks = s.siteLinks.RejectedHandshakes.Load()
	}
	if s.listStore != nil {
		c.CachedList = s.cachedListCounters()
	}
	if s.gossip != nil {
		c.Peers = s.gossipCounters()
	}
	return c
}

func (s *Server) cachedListCounters() *CachedListCounters {
	n := &s.listStore.Counters
	return &CachedListCounters{
		LastWriteOK: n.Saving.Load(),
		Writes:      n.Writes.Load(),
		Snapshots:   n.Snapshots.Load(),
		Bytes:       n.Bytes.Load(),
		Failed:      n.Failed.Load(),
	}
}

func (s *Server) gossipCounters() GossipCounters {
	n := &s.gossip.Counts
	return GossipCounters{
		Sent:            n.Sent.Load(),
		Received:        n.Delivered.Load(),
		UnknownSender:   n.UnknownSenders.Load(),
		TooLong:         n.TooLong.Load(),
		Dropped:         n.Dropped.Load(),
		Unauthenticated: n.AuthFailed.Load(),
	}
}

// String returns the counters as one line of JSON.
func (c Counters) String() string {
	text, _ := json.Marshal(c) // can't fail: the counters are numbers, strings and lists of them
	return string(text)
}
