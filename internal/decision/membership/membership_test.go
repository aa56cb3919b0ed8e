package membership_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"flaxfront/internal/decision/membership"
	"flaxfront/internal/lab/crew"
)

func tier(seed uint64, brokers int, loss float64) *crew.Cluster {
	return crew.New(crew.Options{
		Brokers: brokers,
		Seed:    seed,
		Loss:    loss,
		Delay:   2 * time.Millisecond,
		Policy:  crew.DefaultPolicy,
		Lease:   crew.Lease,
	})
}

func mistakenDeaths(c *crew.Cluster, from time.Duration) (n int) {
	for _, b := range c.Deaths {
		if b.FalsePositive && b.At >= from {
			n++
		}
	}
	return n
}

// Brokers that know three seeds find one another although a third of all datagrams is lost, and no datagram exceeds the size limit.
func TestMembersFindEachOther(t *testing.T) {
	for _, n := range []int{2, 5, 40} {
		c := tier(uint64(n), n, 0.3)
		c.Run(300 * time.Millisecond) // all have started
		for !c.ViewsAgree() && c.Now() < 30*time.Second {
			c.Run(c.Now() + 100*time.Millisecond)
		}
		if !c.ViewsAgree() || c.LongestDatagram > crew.DefaultPolicy.MaxDatagramBytes {
			t.Errorf("%d brokers: agreed is %v after %v; the longest datagram had %d bytes", n, c.ViewsAgree(), c.Now(), c.LongestDatagram)
		}
	}
}

// Two hundred brokers find one another, and all learn that one was killed.
func TestTwoHundredMembers(t *testing.T) {
	c := tier(1, 200, 0)
	c.Run(300 * time.Millisecond)
	for !c.ViewsAgree() && c.Now() < 30*time.Second {
		c.Run(c.Now() + time.Second)
	}
	if !c.ViewsAgree() {
		t.Fatal("200 brokers do not agree after 30 s")
	}
	c.Kill(123)
	killed := c.Now()
	for !c.ViewsAgree() && c.Now() < killed+40*time.Second {
		c.Run(c.Now() + time.Second)
	}
	t.Logf("known to all after %v", c.Now()-killed)
	if !c.ViewsAgree() {
		t.Error("not all of 200 brokers know of a killed one after 40 s")
	}
}

// Datagrams are lost one way: broker 0 receives all, but none of its own arrive. The others declare it dead, and see it alive again within
// ten seconds of its datagrams arriving.
func TestOneWayLoss(t *testing.T) {
	c := tier(3, 5, 0.05)
	c.Run(15 * time.Second)
	c.Blocked = func(from, to int) bool { return from == 0 }
	c.Run(40 * time.Second)
	for _, b := range c.Brokers[1:] {
		for _, m := range b.Members.Members() {
			if m.Name == crew.Name(0) && m.State != membership.Dead {
				t.Errorf("%v is %v at a broker that receives nothing from it, want dead", m.Name, m.State)
			}
		}
	}
	c.Blocked = nil
	c.Run(50 * time.Second)
	if !c.ViewsAgree() {
		t.Error("brokers do not agree ten seconds after the link has recovered")
	}
}

// A bad path between two brokers does not get either of them declared dead, as the others reach both.
func TestBadPathBetweenTwoMembers(t *testing.T) {
	c := tier(4, 5, 0)
	c.Run(15 * time.Second)
	c.Blocked = func(from, to int) bool { return from+to == 1 }
	c.Run(5 * time.Minute)
	if n := mistakenDeaths(c, 15*time.Second); n > 0 || !c.ViewsAgree() {
		t.Errorf("%d mistaken deaths over one bad path, agreed %v", n, c.ViewsAgree())
	}
}

// A broker that gets processor time too late declares no other broker dead by mistake.
func TestStarvedBrokerDeclaresNobodyDead(t *testing.T) {
	c := crew.New(crew.Options{Brokers: 5, Seed: 5, Loss: 0.05, Delay: 2 * time.Millisecond, Policy: crew.DefaultPolicy, Lease: crew.Lease,
		StarvedBrokers: 1, StarveDelay: 400 * time.Millisecond})
	c.Run(5 * time.Minute)
	for _, b := range c.Deaths {
		if b.Broker != 0 && b.FalsePositive {
			t.Errorf("%s was declared dead by broker %d at %v", crew.Name(b.Broker), b.Reporter, b.At)
		}
	}
}

// The other brokers know of a planned stop as such. A broker restarted under its name, at the same or another address, is the same member,
// not a second one.
func TestLeaveAndRestart(t *testing.T) {
	c := tier(6, 5, 0.1)
	c.Run(15 * time.Second)
	c.Stop(4)
	c.Run(18 * time.Second)
	left := 0
	for _, b := range c.Brokers[:4] {
		for _, m := range b.Members.Members() {
			if m.Name == crew.Name(4) && m.State == membership.Left {
				left++
			}
		}
	}
	c.Restart(4)
	for range 100 {
		if c.Run(c.Now() + 100*time.Millisecond); c.ViewsAgree() {
			break
		}
	}
	if left != 4 || !c.ViewsAgree() {
		t.Errorf("%d of 4 brokers know that one left as planned; agreed after its restart: %v", left, c.ViewsAgree())
	}
	if n := len(c.Brokers[0].Members.Members()); n != 5 {
		t.Errorf("%d members are known, want 5", n)
	}
}

func addr(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7) }

// Two brokers have the same name at different addresses: the one known first is kept, and they do not raise their incarnations in turn
// without end.
func TestTwoMembersOfOneName(t *testing.T) {
	p := crew.DefaultPolicy
	a := membership.New(p, "a", addr(1), 1, 1, nil)
	twin := membership.New(p, "a", addr(2), 1, 1, []netip.AddrPort{addr(3)})
	b := membership.New(p, "b", addr(3), 1, 1, []netip.AddrPort{addr(1)})
	all := map[netip.AddrPort]*membership.Detector{addr(1): a, addr(2): twin, addr(3): b}
	sent := 0
	for now := time.Duration(1); now < 30*time.Second; now += 10 * time.Millisecond {
		for _, at := range []netip.AddrPort{addr(1), addr(3), addr(2)} {
			m := all[at]
			m.Tick(now)
			m.DrainChanges()
			for _, packet := range m.DrainPackets() {
				sent++
				if to := all[packet.To]; to != nil {
					to.HandleDatagram(at, packet.Data, now)
				}
			}
		}
	}
	if sent > 2000 || a.Self().Incarnation > 200 {
		t.Errorf("%d datagrams and incarnation %d in 30 s, want at most 2000 and 200", sent, a.Self().Incarnation)
	}
}

// Whatever arrives, a detector sends no datagram longer than MaxDatagramBytes and remembers at most MaxMembers other members.
func FuzzHandleDatagram(f *testing.F) {
	c := tier(1, 4, 0)
	c.Run(5 * time.Second)
	for range 20 {
		c.Run(c.Now() + 300*time.Millisecond)
		for _, b := range c.Brokers {
			for _, p := range b.Members.DrainPackets() {
				f.Add(p.Data)
			}
		}
	}
	f.Add([]byte{1, 1, 0, 0, 0, 0, 1, 0, 0, 0, 9, 0, 0, 0, 1, 0, 0, 0, 0, 'A', 255, 1})
	f.Add([]byte{2, 1, 0, 0, 0, 0, 1, 0, 0, 0, 9, 0, 0, 0, 1, 0, 0, 0, 0, 'Z', 3, 1, 2, 3, 'W', 4, 0, 0, 0, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		p := crew.DefaultPolicy
		p.MaxMembers = 3
		m := membership.New(p, "me", addr(1), 1, 1, nil)
		for i := range 4 {
			m.HandleDatagram(addr(2), data, time.Duration(i)*time.Second)
			m.Tick(time.Duration(i) * time.Second)
			m.DrainBroadcasts()
			m.DrainChanges()
			for _, packet := range m.DrainPackets() {
				if len(packet.Data) > p.MaxDatagramBytes {
					t.Fatalf("a datagram of %d bytes exceeds the limit", len(packet.Data))
				}
			}
		}
		if n := len(m.Members()); n > p.MaxMembers+1 {
			t.Fatalf("%d members are remembered, more than MaxMembers and the broker itself", n)
		}
	})
}

// A datagram of a later version is applied as far as this version knows its items.
func TestLaterVersion(t *testing.T) {
	m := membership.New(crew.DefaultPolicy, "me", addr(1), 1, 1, nil)
	name := "you"
	b := []byte{9, 1, 0, 0, 0, 0, 7}
	b = binary.BigEndian.AppendUint32(b, uint32(membership.IDOf(name)))
	b = append(b, 0, 0, 0, 1, 0, 0, 0, 0)
	b = append(b, '?', 2, 1, 2)
	b = append(b, 'A', byte(10+6+len(name)))
	b = binary.BigEndian.AppendUint32(b, uint32(membership.IDOf(name)))
	b = append(b, 0, 0, 0, 1, 1, 4, 10, 0, 0, 2, 0, 7)
	b = append(b, name...)
	m.HandleDatagram(addr(2), b, time.Second)
	if all := m.Members(); len(all) != 2 || all[1].Name != name {
		t.Errorf("members are %v, want this broker and the sender", all)
	}
	if out := m.DrainPackets(); len(out) == 0 || out[0].To != addr(2) {
		t.Errorf("the first datagram does not go to the sender: %v", fmt.Sprint(out))
	}
}
