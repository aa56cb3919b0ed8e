package server

import (
	"encoding/binary"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/gossip"
	"flaxfront/internal/decision/membership"
	"flaxfront/internal/decision/ownership"
	"flaxfront/internal/discovery"
)

// membershipHost is what membership may use of the loop.
type membershipHost interface {
	endpointHost
	requestList()
	startTime() time.Time
	confirmByGossip(n *discovery.Node)
}

// tierMembership is the extension for the brokers of a tier: it detects which of them are alive, decides which one runs each periodic job,
// and exchanges endpoint changes. It never takes a node's address from another broker, since brokers may see different addresses.
type tierMembership struct {
	loop           membershipHost
	members        *membership.Detector
	ownership      *ownership.Coordinator
	sendTo         func(to netip.AddrPort, data []byte)
	shareEndpoints bool // endpoint changes are exchanged
	updateFilter   *gossip.UpdateFilter
	ownershipView  []ownership.Member
	seeds          []netip.AddrPort       // addresses of the other living members
	storeSeeds     func([]netip.AddrPort) // nil: they are not stored
}

// useMembership attaches membership to the loop.
func (l *loop) useMembership(m *tierMembership) {
	m.loop = l
	l.membership = m
	l.extensions[membershipExtension] = m
}

func (m *tierMembership) handle(received message) bool {
	switch received := received.(type) {
	case memberDatagram:
		m.members.HandleDatagram(received.from, received.data, m.loop.since())
		m.flush()
	case shutdownStarted:
		m.leave()
		close(received.done)
	default:
		return false
	}
	return true
}

func (m *tierMembership) tick(now time.Duration) time.Duration {
	next := m.members.Tick(now)
	for _, data := range m.members.DrainBroadcasts() {
		m.handleBroadcast(data, now)
	}
	changes := m.members.DrainChanges()
	m.logChanges(changes)
	if slices.ContainsFunc(changes, func(ch membership.Change) bool { return ch.New }) {
		for _, update := range m.updateFilter.RecentlyRemoved() {
			m.broadcast(&update)
		}
	}
	if m.ownershipView == nil || len(changes) > 0 {
		m.updateView()
	}
	m.ownership.SetMembers(m.ownershipView, m.members.LastContact())
	runs, nextRun := m.ownership.Tick(now)
	for _, run := range runs {
		m.runJob(run, now)
	}
	m.flush()
	return min(next, nextRun)
}

func (m *tierMembership) logChanges(changes []membership.Change) {
	for _, ch := range changes {
		slog.Info("member state changed", "component", "membership", "broker", ch.Member.Name, "address", ch.Member.Address,
			"state", ch.Member.State, "previous_state", ch.PreviousState, "new", ch.New, "incarnation", ch.Member.Incarnation,
			"living", m.members.LivingCount(), "late", m.members.Counts.LocalHealthMultiplier)
	}
}

// updateView rebuilds the lists of living members and stores the addresses of the others. While there are no others, the addresses stored last
// stay.
func (m *tierMembership) updateView() {
	m.ownershipView = m.ownershipView[:0]
	m.seeds = m.seeds[:0]
	for _, member := range m.members.Members() {
		if member.State > membership.Suspect {
			continue
		}
		m.ownershipView = append(m.ownershipView, ownership.Member{ID: uint32(member.ID), Weight: member.Weight})
		if member.ID != m.members.Self().ID {
			m.seeds = append(m.seeds, member.Address)
		}
	}
	if m.storeSeeds != nil && len(m.seeds) > 0 {
		m.storeSeeds(m.seeds)
	}
}

// runJob runs a periodic job that this broker owns.
func (m *tierMembership) runJob(run ownership.Run, now time.Duration) {
	slog.Debug("periodic job run", "component", "membership", "number", run.Job, "fence", run.Fence)
	switch run.Job {
	case jobPollDiscovery:
		m.loop.requestList()
	case jobLogCounters:
		c := m.loop.stats()
		slog.Info("counters of the owner", "component", "membership", "received", c.Received, "answered", c.Answered, "shed", c.Shed,
			"failed", c.Failed, "in_flight", c.InFlight, "living", m.members.LivingCount())
	}
	m.ownership.RunEnded(run, true, now)
}

// flush broadcasts ownership claims and sends the packets that are due.
func (m *tierMembership) flush() {
	for _, claim := range m.ownership.DrainClaims() {
		m.members.Broadcast(uint64(claim.Job), claim.AppendTo([]byte{broadcastOwnership}))
	}
	for _, packet := range m.members.DrainPackets() {
		m.sendTo(packet.To, packet.Data)
	}
}

// handleBroadcast handles a broadcast of another member, and passes it on if it was new here.
func (m *tierMembership) handleBroadcast(data []byte, now time.Duration) {
	if len(data) == 0 {
		return
	}
	switch data[0] {
	case broadcastOwnership:
		if claim, ok := ownership.DecodeClaim(data[1:]); ok && m.ownership.HandleClaim(claim, now) {
			m.members.Broadcast(uint64(claim.Job), data)
		}
	case broadcastEndpoint:
		if update, ok := gossip.Decode(data[1:]); ok && m.shareEndpoints {
			m.handleSharedEndpoint(update)
		}
	}
}

// broadcast sends an endpoint change to all members.
func (m *tierMembership) broadcast(update *gossip.EndpointUpdate) {
	m.members.Broadcast(broadcastKey(update.Node), update.AppendTo([]byte{broadcastEndpoint}))
}

func broadcastKey(id decision.NodeID) uint64 {
	return 1<<36 | uint64(binary.BigEndian.Uint32(id.Addr[:]))<<16&(1<<36-1) | uint64(id.Port)
}

// shareList broadcasts the changes of an endpoint list. Without membership it does nothing.
func (m *tierMembership) shareList(list *discovery.List) {
	if m == nil {
		return
	}
	for i := range list.Nodes {
		n := &list.Nodes[i]
		update := gossip.EndpointUpdate{
			ListVersion: list.Version,
			DiscoveryID: m.updateFilter.DiscoveryID,
			Node:        n.Endpoint.Node,
			State:       n.Endpoint.State,
			StartedAtMS: n.StartedAtMS,
		}
		if m.updateFilter.RecordLocal(update, list.Full || !m.shareEndpoints) {
			m.broadcast(&update)
		}
	}
	endpoints := m.loop.endpoints()
	m.updateFilter.Forget(list.Version, func(id decision.NodeID) bool {
		_, known := endpoints[id]
		return known
	})
}

// handleSharedEndpoint applies an endpoint change that another broker received from discovery, if the node is known here. The change then
// counts as if this broker had received it from discovery.
func (m *tierMembership) handleSharedEndpoint(update gossip.EndpointUpdate) {
	n, known := m.loop.endpoints()[update.Node]
	if !m.updateFilter.Accept(update, known, n.Endpoint.State, n.StartedAtMS) {
		return
	}
	n.Endpoint.State = update.State
	if update.StartedAtMS > n.StartedAtMS {
		n.StartedAtMS = update.StartedAtMS
		n.Endpoint.StartedAt = time.UnixMilli(update.StartedAtMS).Sub(m.loop.startTime())
	}
	slog.Info("node state received by gossip", "component", "membership", "node", n.Name, "state", update.State, "version", update.ListVersion)
	m.loop.applyList(&discovery.List{Version: update.ListVersion, Nodes: []discovery.Node{n}})
	m.loop.confirmByGossip(&n)
	m.broadcast(&update)
}

// leave tells the other members that this broker shuts down.
func (m *tierMembership) leave() {
	now := m.loop.since()
	m.ownership.ReleaseAll(now)
	m.flush()
	m.members.Leave()
	m.flush()
}
