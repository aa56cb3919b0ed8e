package server

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/gossip"
	"flaxfront/internal/decision/membership"
	"flaxfront/internal/discovery"
)

// udpAddr finds a free UDP address on loopback.
func udpAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// runTier runs n brokers of one tier in front of the same nodes. The last one has another key than the others.
func runTier(t *testing.T, n int) (all []*Server, ends []func() error) {
	k := newCachedListRig(t, 4)
	var at []netip.AddrPort
	for range n {
		at = append(at, udpAddr(t))
	}
	for i := range n {
		key := "00112233445566778899aabbccddeeff"
		if i == n-1 {
			key = "ffeeddccbbaa99887766554433221100"
		}
		path, err := k.Config(fmt.Sprintf("n%d", i), "127.0.0.1:0", k.Discovery.Addr(), true)
		start, file := readLabConfiguration(t, path, err, fmt.Sprintf(`{"crew": {"on": true, "keys": [%q], "interval": "60ms", "timeout": "25ms", "list": true}}`, key))
		start.Terms.Module.GossipAllowed, start.PeerListen, start.Peers, start.PeersAll = true, at[i], at, at[i]
		start.Name = fmt.Sprintf("n%d", i)
		s, end := runConfigured(t, start, file)
		all, ends = append(all, s), append(ends, end)
	}
	return all, ends
}

// Brokers must find one another over sockets, and each periodic job must have one owner. A broker that shuts down gracefully is known as
// such and hands its jobs over. Datagrams sealed with another key must be rejected.
func TestMembershipOverSockets(t *testing.T) {
	all, ends := runTier(t, 4)
	k := &cachedListRig{t: t}
	stateOf := func(i int) *MembershipState { return all[i].Counters().Queries.Membership }
	states := func(i int, of membership.State) (names string) {
		for _, m := range stateOf(i).Members {
			if m.State == of {
				names += m.Name + " "
			}
		}
		return names
	}
	k.waitFor("three brokers know one another", func() bool {
		for i := range 3 {
			if states(i, membership.Alive) != "n0 n1 n2 " {
				return false
			}
		}
		return true
	})
	k.waitFor("a job has one owner", func() bool {
		a, b, c := stateOf(0).Ownership[0], stateOf(1).Ownership[0], stateOf(2).Ownership[0]
		return a.Owner != 0 && a.Owner == b.Owner && b.Owner == c.Owner && a.RunCount > 0
	})
	if c := all[0].Counters(); c.Peers.Unauthenticated == 0 && all[3].Counters().Peers.Unauthenticated == 0 {
		t.Error("no datagram sealed with another key was counted as unauthenticated")
	}
	owner := 0
	for i := range 3 {
		if uint32(membership.IDOf(fmt.Sprintf("n%d", i))) == stateOf(i).Ownership[0].Owner {
			owner = i
		}
	}
	ends[owner]()
	other := (owner + 1) % 3
	k.waitFor("the shutdown is known as graceful", func() bool { return strings.Contains(states(other, membership.Left), fmt.Sprintf("n%d", owner)) })
	k.waitFor("the job has another owner", func() bool {
		d := stateOf(other).Ownership[0]
		return d.Owner != 0 && d.Owner != uint32(membership.IDOf(fmt.Sprintf("n%d", owner))) && d.Fence > 1
	})
}

// membershipLoop returns a loop with membership and without sockets, and the datagrams that it sends.
func membershipLoop(t *testing.T) (*loop, *[][]byte) {
	t.Helper()
	k := newCachedListRig(t, 2)
	path, err := k.Config("n0", "127.0.0.1:0", k.Discovery.Addr(), true)
	start, file := readLabConfiguration(t, path, err, `{"crew": {"on": true, "list": true}}`)
	s, err := New(start, file, newRouter)
	if err != nil {
		t.Fatal(err)
	}
	l := s.loop
	l.pool = newPoolFor(s)
	sent := &[][]byte{}
	at := netip.MustParseAddrPort("127.0.0.1:7")
	self := tierIdentity{name: "n0", address: at, service: start.Discovery, start: l.start}
	l.useMembership(newTierMembership(&file.Membership, &start.Terms, self, nil, 0, func(_ netip.AddrPort, b []byte) { *sent = append(*sent, b) }))
	l.applyList(s.initialList)
	l.stepRouter(l.since())
	return l, sent
}

// An endpoint change that one broker had from discovery must count at the others. A change that is older, from another discovery or of an
// unknown node must be ignored, and no change may alter a node's address.
func TestEndpointSharedByAnotherBroker(t *testing.T) {
	l, _ := membershipLoop(t)
	var id decision.NodeID
	for id = range l.nodes {
		break
	}
	before := l.nodes[id]
	l.membership.shareList(&discovery.List{Version: 50, Full: true, Nodes: []discovery.Node{before}})
	receiveUpdate := func(version uint64, service uint32, node decision.NodeID, state decision.EndpointState, started int64) {
		w := gossip.EndpointUpdate{ListVersion: version, DiscoveryID: service, Node: node, State: state, StartedAtMS: started}
		l.membership.handleBroadcast(w.AppendTo([]byte{broadcastEndpoint}), l.since())
	}
	receiveUpdate(49, l.membership.updateFilter.DiscoveryID, id, decision.Draining, 0)
	receiveUpdate(51, l.membership.updateFilter.DiscoveryID+1, id, decision.Draining, 0)
	receiveUpdate(51, l.membership.updateFilter.DiscoveryID, decision.NodeID{Port: 1}, decision.Draining, 0)
	l.membership.handleBroadcast([]byte{broadcastEndpoint, 1, 2}, 0)
	l.membership.handleBroadcast([]byte{'?'}, 0)
	l.membership.handleBroadcast(nil, 0)
	if l.nodes[id] != before || l.membership.updateFilter.Counts.Ignored != 3 {
		t.Errorf("a change to be ignored: %+v became %+v, %+v", before, l.nodes[id], l.membership.updateFilter.Counts)
	}
	receiveUpdate(51, l.membership.updateFilter.DiscoveryID, id, decision.Draining, 0)
	if n := l.nodes[id]; n.Endpoint.State != decision.Draining || n.Address != before.Address || l.membership.updateFilter.Counts.Accepted != 1 {
		t.Errorf("a node to be drained: %+v, %+v", n, l.membership.updateFilter.Counts)
	}
	receiveUpdate(51, l.membership.updateFilter.DiscoveryID, id, decision.Ready, 0) // of a list version that was received already
	receiveUpdate(52, l.membership.updateFilter.DiscoveryID, id, decision.Ready, 0) // a draining process never becomes ready again
	if n := l.nodes[id]; n.Endpoint.State != decision.Draining {
		t.Errorf("the node no longer drains: %+v", n)
	}
	receiveUpdate(53, l.membership.updateFilter.DiscoveryID, id, decision.Removed, time.Now().UnixMilli())
	if _, known := l.nodes[id]; known {
		t.Error("a removed node is still known")
	}
}

// A broker that joins later with an older list must learn from the others which nodes have been drained since, even without discovery.
func TestNewMemberLearnsOfDrainedNodes(t *testing.T) {
	old, sent := membershipLoop(t)
	late, answers := membershipLoop(t)
	var id decision.NodeID
	for id = range old.nodes {
		break
	}
	n := old.nodes[id]
	old.membership.shareList(&discovery.List{Version: 60, Full: true, Nodes: []discovery.Node{n}})
	n.Endpoint.State = decision.Draining
	gone := &discovery.List{Version: 61, Nodes: []discovery.Node{n}}
	old.applyList(gone)
	old.membership.shareList(gone)
	late.membership.updateFilter.DiscoveryID = old.membership.updateFilter.DiscoveryID
	late.membership.members = membership.New(membership.Policy{ProbeInterval: time.Second, ProbeTimeout: 100 * time.Millisecond, SyncInterval: time.Second, ForgetAfter: time.Minute, MaxDatagramBytes: 220,
		MaxMembers: 10, SuspicionFactor: 5, MaxSuspicionFactor: 2}, "n1", netip.MustParseAddrPort("127.0.0.1:8"), 1, 1, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7")})
	for i := range 40 {
		now := time.Duration(i+1) * 200 * time.Millisecond
		old.membership.tick(now)
		late.membership.tick(now)
		for _, b := range *sent {
			late.handle(memberDatagram{netip.MustParseAddrPort("127.0.0.1:7"), b})
		}
		for _, b := range *answers {
			old.handle(memberDatagram{netip.MustParseAddrPort("127.0.0.1:8"), b})
		}
		*sent, *answers = nil, nil
	}
	if got := late.nodes[id]; got.Endpoint.State != decision.Draining || late.membership.updateFilter.Counts.Accepted != 1 {
		t.Errorf("the node does not drain at the new member: %+v, %+v; members %v", got, late.membership.updateFilter.Counts, late.membership.members.Members())
	}
}

// A broker whose configured seeds no longer answer must find the tier by the stored addresses, and store them again.
func TestStoredSeeds(t *testing.T) {
	k := newCachedListRig(t, 2)
	dir := t.TempDir()
	at := []netip.AddrPort{udpAddr(t), udpAddr(t)}
	begin := func(i int, crew string) (*Server, func() error) {
		path, err := k.Config(fmt.Sprintf("n%d", i), "127.0.0.1:0", k.Discovery.Addr(), true)
		start, file := readLabConfiguration(t, path, err, `{"crew": {"on": true, "keys": ["00112233445566778899aabbccddeeff"], "interval": "60ms", "timeout": "25ms", `+crew+`}}`)
		start.Terms.Module.GossipAllowed, start.PeerListen, start.Peers, start.PeersAll, start.Name = true, at[i], nil, at[i], fmt.Sprintf("n%d", i)
		return runConfigured(t, start, file)
	}
	living := func(s *Server) (n int) {
		for _, m := range s.Counters().Queries.Membership.Members {
			if m.State == membership.Alive {
				n++
			}
		}
		return n
	}
	kept := filepath.Join(dir, "members")
	begin(1, `"seeds": ["`+at[0].String()+`"]`)
	a, end := begin(0, fmt.Sprintf(`"seeds": [%q], "keep": %q`, at[1], kept))
	k.waitFor("the two brokers know each other", func() bool { return living(a) == 2 })
	end()
	if raw, err := os.ReadFile(kept); err != nil || strings.TrimSpace(string(raw)) != at[1].String() {
		t.Errorf("stored addresses: %q, %v", raw, err)
	}
	a, end = begin(0, fmt.Sprintf(`"seeds": ["127.0.0.1:1"], "keep": %q`, kept))
	k.waitFor("they know each other by the stored address", func() bool { return living(a) == 2 })
	end()
	os.WriteFile(kept, []byte("noise\n"), 0o600)
	a, _ = begin(0, fmt.Sprintf(`"seeds": [%q], "keep": %q`, at[1], kept))
	k.waitFor("they know each other despite an invalid file", func() bool { return living(a) == 2 })
}
