package server

// This file owns what the broker tells of itself in numbers. It must never read what is the loop's but through the loop.

import "encoding/json"

// Counters are what a broker counts.
type Counters struct {
	Searches QueryCounters
	Clients  struct{ Accepted, Closed, BadRequests, Unwritten uint64 }
	Peers    struct{ Sent, Heard, Strangers, TooLong, Dropped, Unsealed uint64 }
	NodeList *CachedListCounters `json:",omitempty"` // where one is kept
	Refused  uint64              `json:",omitempty"` // links that got no further than the handshake
}

// CachedListCounters tell of the writing of the node list.
type CachedListCounters struct {
	Saving                           bool // the last write went well
	Writes, Snapshots, Bytes, Failed uint64
}

// Counters asks the loop for its figures and adds the others.
func (s *Server) Counters() (c Counters) {
	r := tallyWanted{make(chan QueryCounters, 1)}
	if s.deliver(r) {
		select {
		case c.Searches = <-r.to:
		case <-s.ctx.Done():
		}
	}
	cs := &s.clients
	c.Clients.Accepted, c.Clients.Closed = cs.accepted.Load(), cs.closed.Load()
	c.Clients.BadRequests, c.Clients.Unwritten = cs.refused.Load(), cs.unwritten.Load()
	if s.links != nil {
		c.Refused = s.links.Refused.Load()
	}
	if s.keeper != nil {
		n := &s.keeper.Counters
		c.NodeList = &CachedListCounters{n.Saving.Load(), n.Writes.Load(), n.Snapshots.Load(), n.Bytes.Load(), n.Failed.Load()}
	}
	if s.link != nil {
		p := &s.link.Counts
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
