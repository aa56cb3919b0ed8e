package server

// This file owns the loop's part of the tier: which brokers are there, duties that are shared, and words of discovery passed on.
// It must never decide who owns what, or take a node's address from another broker: addresses differ from one to the next.

import (
	"encoding/binary"
	"encoding/hex"
	"hash/fnv"
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	kept "flaxfront/internal/cluster/seeds"
	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/decision/gossip"
	"flaxfront/internal/decision/membership"
	"flaxfront/internal/decision/ownership"
	"flaxfront/internal/discovery"
	"flaxfront/internal/transport/peers"
)

// The duties of a tier, by their numbers in claims: a later version may add some at the end.
const (
	jobPollDiscovery = iota // discovery is asked anew, and what it tells is passed on
	jobLogCounters          // the owner's counters are logged
)

const (
	noteOwnership = 'c'
	noteEndpoint  = 'n'

	maxDatagram = 220 // fits into a sealed datagram
	maxMembers  = 1000
)

// tierMembership is the loop's part of it.
type tierMembership struct {
	members        *membership.Members
	ownership      *ownership.Coordinator
	sendTo         func(to netip.AddrPort, data []byte)
	shareEndpoints bool // words of discovery are passed on
	shared         *gossip.UpdateFilter
	ownershipView  []ownership.Member
	seeds          []netip.AddrPort       // of the living
	keepSeeds      func([]netip.AddrPort) // nil: they are not kept
}

// memberDatagram is what a member said, as it is delivered to the loop.
type memberDatagram struct {
	from netip.AddrPort
	data []byte
}

// openMembership makes the tier's part of a broker; the socket between brokers is open.
func (s *Server) openMembership() {
	o := &s.operator.Crew
	var keys [][]byte
	for _, k := range o.Keys {
		key, _ := hex.DecodeString(k) // checked when the file was read
		keys = append(keys, key)
	}
	seeds := s.start.Peers
	if len(o.Seeds) > 0 {
		seeds = nil
		for _, text := range o.Seeds {
			seeds = append(seeds, netip.MustParseAddrPort(text)) // so were these
		}
	}
	if o.Keep != "" {
		known, err := kept.Load(o.Keep)
		if err != nil {
			slog.Warn("the members' addresses that were kept are not used", "error", err)
		}
		for _, at := range known {
			if !slices.Contains(seeds, at) {
				seeds = append(slices.Clip(seeds), at)
			}
		}
		s.seedStore = kept.NewWriter(o.Keep)
	}
	s.loop.membership = newTierMembership(o, &s.start.Terms, s.start.Name, s.start.PeerListen, s.start.Discovery, seeds, s.loop.start, s.loop.since(), s.gossip.Meet)
	if s.seedStore != nil {
		s.loop.membership.keepSeeds = s.seedStore.Enqueue
	}
	s.gossip.Crew(func(from netip.AddrPort, data []byte) { s.deliver(memberDatagram{from, data}) }, keys)
	slog.Info("keeping company", "as", s.start.Name, "at", s.start.PeerListen, "seeds", len(seeds), "sealed", len(keys) > 0)
}

func newTierMembership(o *operator.Crew, t *terms.Terms, name string, at, service netip.AddrPort, seeds []netip.AddrPort, start time.Time, now time.Duration,
	meet func(netip.AddrPort, []byte)) *tierMembership {
	policy := membership.Policy{Interval: o.Interval, Timeout: o.Timeout, Indirect: 3, Suspicion: o.Suspicion, Longest: o.Longest,
		Forget: o.Forget, Sync: 6 * o.Interval, MaxBytes: min(maxDatagram, peers.MaxSealed), MaxKnown: maxMembers, Seed: t.Module.Seed}
	// An incarnation that no earlier life had: the second of the start.
	m := membership.New(policy, name, at, uint8(o.Weight), uint32(start.Unix()), seeds)
	h := fnv.New32a()
	io.WriteString(h, service.String())
	return &tierMembership{members: m, sendTo: meet, shareEndpoints: o.List, shared: gossip.NewUpdateFilter(h.Sum32()),
		ownership: ownership.NewCoordinator(ownership.Policy{Lease: o.Lease, SettleTime: o.Interval, RenewInterval: 2 * o.Interval}, uint32(m.Self().ID),
			[]ownership.Job{jobPollDiscovery: {Name: "refresh the node list", Period: max(time.Second, t.AskEvery/2)},
				jobLogCounters: {Name: "log the counters", Period: o.Summary}}, now)}
}

// membershipTick does what is due of it and tells when to come again.
func (l *loop) membershipTick(now time.Duration) time.Duration {
	c := l.membership
	next := c.members.Tick(now)
	for _, note := range c.members.Notes() {
		l.handleNote(note, now)
	}
	changes := c.members.Changes()
	for _, ch := range changes {
		slog.Info("member", "name", ch.Member.Name, "at", ch.Member.Addr, "state", ch.Member.State, "was", ch.Was, "new", ch.New,
			"incarnation", ch.Member.Inc, "living", c.members.Living(), "late", c.members.Counts.Late)
	}
	if slices.ContainsFunc(changes, func(ch membership.Change) bool { return ch.New }) {
		for _, w := range c.shared.RecentlyRemoved() {
			c.broadcast(&w)
		}
	}
	if c.ownershipView == nil || len(changes) > 0 {
		c.ownershipView, c.seeds = c.ownershipView[:0], c.seeds[:0]
		for _, m := range c.members.All() {
			if m.State <= membership.Suspect {
				c.ownershipView = append(c.ownershipView, ownership.Member{ID: uint32(m.ID), Weight: m.Weight})
				if m.ID != c.members.Self().ID {
					c.seeds = append(c.seeds, m.Addr)
				}
			}
		}
		if c.keepSeeds != nil && len(c.seeds) > 0 { // of a broker that is alone the last ones it knew stay
			c.keepSeeds(c.seeds)
		}
	}
	c.ownership.SetMembers(c.ownershipView, c.members.Heard())
	runs, at := c.ownership.Tick(now)
	for _, r := range runs {
		slog.Debug("duty", "number", r.Job, "fence", r.Fence)
		switch r.Job {
		case jobPollDiscovery:
			l.pollDiscovery()
		case jobLogCounters:
			slog.Info("duty: counters of the owner", "taken", l.counters.Taken, "answered", l.counters.Answered, "shed", l.counters.Shed,
				"errored", l.counters.Errored, "in_hand", l.counters.InHand, "living", c.members.Living())
		}
		c.ownership.RunEnded(r, true, now)
	}
	c.flush()
	return min(next, at)
}

// flush sends what is to be told.
func (c *tierMembership) flush() {
	for _, cl := range c.ownership.DrainClaims() {
		c.members.Broadcast(uint64(cl.Job), cl.AppendTo([]byte{noteOwnership}))
	}
	for _, p := range c.members.Out() {
		c.sendTo(p.To, p.Data)
	}
}

// handleMemberDatagram takes what a member said.
func (l *loop) handleMemberDatagram(d memberDatagram) {
	l.membership.members.Take(d.from, d.data, l.since())
	l.membership.flush()
}

// handleNote takes over a note, and passes it on where it is news.
func (l *loop) handleNote(note []byte, now time.Duration) {
	if len(note) == 0 {
		return
	}
	c := l.membership
	switch note[0] {
	case noteOwnership:
		if cl, ok := ownership.DecodeClaim(note[1:]); ok && c.ownership.HandleClaim(cl, now) {
			c.members.Broadcast(uint64(cl.Job), note)
		}
	case noteEndpoint:
		if w, ok := gossip.Decode(note[1:]); ok && c.shareEndpoints {
			l.handleSharedEndpoint(w)
		}
	}
}

// broadcast has a word carried to all members.
func (c *tierMembership) broadcast(w *gossip.EndpointUpdate) {
	c.members.Broadcast(broadcastKey(w.Node), w.AppendTo([]byte{noteEndpoint}))
}

// shareList tells the others the lines that discovery changed.
func (l *loop) shareList(list *discovery.List) {
	c := l.membership
	for i := range list.Nodes {
		n := &list.Nodes[i]
		w := gossip.EndpointUpdate{ListVersion: list.Version, DiscoveryID: c.shared.DiscoveryID, Node: n.Endpoint.Node, State: n.Endpoint.State, StartedAtMS: n.StartedAtMS}
		if c.shared.RecordLocal(w, list.Full || !c.shareEndpoints) {
			c.broadcast(&w)
		}
	}
	c.shared.Forget(list.Version, func(id decision.NodeID) bool {
		_, known := l.nodes[id]
		return known
	})
}

func broadcastKey(id decision.NodeID) uint64 {
	return 1<<36 | uint64(binary.BigEndian.Uint32(id.Addr[:]))<<16&(1<<36-1) | uint64(id.Port)
}

// handleSharedEndpoint takes over what another broker was told by discovery of a node that is known here. From then on this broker has been
// told, as if discovery had.
func (l *loop) handleSharedEndpoint(w gossip.EndpointUpdate) {
	n, known := l.nodes[w.Node]
	if !l.membership.shared.Accept(w, known, n.Endpoint.State, n.StartedAtMS) {
		return
	}
	n.Endpoint.State = w.State
	if w.StartedAtMS > n.StartedAtMS {
		n.StartedAtMS = w.StartedAtMS
		n.Endpoint.StartedAt = time.UnixMilli(w.StartedAtMS).Sub(l.start)
	}
	slog.Info("node by another broker's word", "node", n.Name, "state", w.State, "version", w.ListVersion)
	l.applyList(&discovery.List{Version: w.ListVersion, Nodes: []discovery.Node{n}})
	if l.cachedList != nil {
		state := [...]cachedlist.State{decision.Draining: cachedlist.Draining, decision.Removed: cachedlist.Ended, decision.Ready: cachedlist.Ready}[w.State]
		l.cachedList.judge.ApplyGossip(n.Name, w.Node, state, cachedlist.Timestamp(n.StartedAtMS), l.since())
	}
	l.membership.broadcast(&w)
}

// leaveTier tells the others that the broker stops, as planned.
func (l *loop) leaveTier() {
	now := l.since()
	l.membership.ownership.ReleaseAll(now)
	l.membership.flush()
	l.membership.members.Leave(now)
	l.membership.flush()
}
