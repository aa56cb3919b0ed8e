package server

import (
	"encoding/hex"
	"hash/fnv"
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"flaxfront/internal/cluster/seeds"
	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision/gossip"
	"flaxfront/internal/decision/membership"
	"flaxfront/internal/decision/ownership"
	"flaxfront/internal/transport/peers"
)

// The periodic jobs of a tier. Claims carry these numbers, so that new jobs may only be added at the end.
const (
	jobPollDiscovery = iota // polls discovery and broadcasts the changes
	jobLogCounters          // logs the owner's counters
)

// The first byte of a broadcast is its kind.
const (
	broadcastOwnership = 'c'
	broadcastEndpoint  = 'n'
)

const (
	maxDatagram          = 220 // bytes; fits into a sealed datagram
	maxMembers           = 1000
	indirectProbes       = 3
	syncIntervals        = 6 // probe intervals between full state exchanges
	renewIntervals       = 2 // probe intervals between renewals of a claim
	minListRefreshPeriod = time.Second
)

// openMembership starts membership. The socket between brokers must be open.
func (s *Server) openMembership() {
	o := &s.operator.Membership
	var keys [][]byte
	for _, k := range o.Keys {
		key, _ := hex.DecodeString(k) // checked when the file was read
		keys = append(keys, key)
	}
	addresses := s.seedAddresses(o)
	s.loop.useMembership(newTierMembership(o, &s.start.Terms, tierIdentity{name: s.start.Name, address: s.start.PeerListen,
		service: s.start.Discovery, start: s.loop.start}, addresses, s.loop.since(), s.gossip.SendTo))
	if s.seedStore != nil {
		s.loop.membership.storeSeeds = s.seedStore.Enqueue
	}
	s.gossip.Crew(func(from netip.AddrPort, data []byte) { s.deliver(memberDatagram{from, data}) }, keys)
	slog.Info("membership started", "component", "membership", "broker", s.start.Name, "address", s.start.PeerListen,
		"seeds", len(addresses), "sealed", len(keys) > 0)
}

// seedAddresses returns the configured and the stored addresses of members, and opens the store if one is configured.
func (s *Server) seedAddresses(o *operator.Membership) []netip.AddrPort {
	addresses := s.start.Peers
	if len(o.Seeds) > 0 {
		addresses = nil
		for _, text := range o.Seeds {
			addresses = append(addresses, netip.MustParseAddrPort(text)) // checked when the file was read
		}
	}
	if o.AddressFile == "" {
		return addresses
	}
	stored, err := seeds.Load(o.AddressFile)
	if err != nil {
		slog.Warn("stored seed addresses not used", "component", "membership", "file", o.AddressFile, "error", err)
	}
	for _, at := range stored {
		if !slices.Contains(addresses, at) {
			addresses = append(slices.Clip(addresses), at)
		}
	}
	s.seedStore = seeds.NewWriter(o.AddressFile)
	return addresses
}

// tierIdentity identifies this broker among the members.
type tierIdentity struct {
	name    string
	address netip.AddrPort
	service netip.AddrPort // discovery's address; endpoint changes are only taken from brokers that have the same
	start   time.Time
}

func newTierMembership(o *operator.Membership, t *terms.Terms, self tierIdentity, seeds []netip.AddrPort, now time.Duration,
	sendTo func(netip.AddrPort, []byte)) *tierMembership {
	policy := membership.Policy{
		ProbeInterval:      o.Interval,
		ProbeTimeout:       o.Timeout,
		IndirectProbes:     indirectProbes,
		SuspicionFactor:    o.MinSuspicion,
		MaxSuspicionFactor: o.MaxSuspicion,
		ForgetAfter:        o.Forget,
		SyncInterval:       syncIntervals * o.Interval,
		MaxDatagramBytes:   min(maxDatagram, peers.MaxPayload),
		MaxMembers:         maxMembers,
		Seed:               t.Module.Seed,
	}
	incarnation := uint32(self.start.Unix()) // greater than that of any earlier process
	members := membership.New(policy, self.name, self.address, uint8(o.Weight), incarnation, seeds)
	jobs := []ownership.Job{
		jobPollDiscovery: {Name: "refresh the node list", Period: max(minListRefreshPeriod, t.MaxPollInterval/2)},
		jobLogCounters:   {Name: "log the counters", Period: o.SummaryInterval},
	}
	claims := ownership.Policy{Lease: o.Lease, SettleTime: o.Interval, RenewInterval: renewIntervals * o.Interval}
	return &tierMembership{
		members:        members,
		sendTo:         sendTo,
		shareEndpoints: o.ShareEndpoints,
		updateFilter:   gossip.NewUpdateFilter(serviceHash(self.service)),
		ownership:      ownership.NewCoordinator(claims, uint32(members.Self().ID), jobs, now),
	}
}

func serviceHash(service netip.AddrPort) uint32 {
	h := fnv.New32a()
	io.WriteString(h, service.String())
	return h.Sum32()
}
