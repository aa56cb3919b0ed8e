package ingress

import (
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// Which connection is reclaimed depends on its state, the time in that state and whether a request has arrived on it.
func TestReclaimOrder(t *testing.T) {
	const grace = 250 * time.Millisecond
	type open struct {
		state State
		used  bool
		age   time.Duration
	}
	for _, c := range []struct {
		name string
		open []open
		want int // index in open; -1: none
	}{
		{"none is open", nil, -1},
		{"a busy one never", []open{{StateBusy, true, time.Hour}}, -1},
		{"a new one has the grace", []open{{StateIdle, false, grace}}, -1},
		{"a new one after the grace", []open{{StateIdle, false, grace + 1}}, 0},
		{"a request that arrives has the grace", []open{{StateReading, true, grace}}, -1},
		{"a request that arrives after the grace", []open{{StateReading, true, grace + 1}}, 0},
		{"an idle one at once", []open{{StateIdle, true, 0}}, 0},
		{"the longest idle", []open{{StateIdle, true, 1}, {StateIdle, true, 3}, {StateIdle, true, 2}}, 1},
		{"idle before reading", []open{{StateReading, true, time.Hour}, {StateIdle, true, 1}}, 1},
		{"idle without a request by its age", []open{{StateIdle, true, 1}, {StateIdle, false, time.Hour}}, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			set := newConnectionSet(Limits{Connections: 10, Used: 10, ReadGrace: grace})
			var connections []*connection
			for _, o := range c.open {
				conn, _ := net.Pipe()
				t.Cleanup(func() { conn.Close() })
				one := newConnection(conn, func() time.Duration { return 0 })
				set.admit(one)
				one.state = o.state
				one.used = o.used
				one.stateSince = time.Now().Add(-o.age)
				connections = append(connections, one)
			}
			if got := set.reclaim(); got != (c.want >= 0) {
				t.Errorf("%s: reclaimed %v", c.name, got)
			}
			for i, one := range connections {
				if (one.endReason == Reclaimed) != (i == c.want) {
					t.Errorf("%s: connection %d ends as %q", c.name, i, one.endReason)
				}
			}
			if c.want >= 0 && len(connections) == 1 && set.reclaim() {
				t.Errorf("%s: reclaimed twice", c.name)
			}
		})
	}
}

// Beyond the limit a connection is admitted over the limit, whether or not another is reclaimed; beyond the overflow it is not admitted.
func TestAdmissionAtTheLimit(t *testing.T) {
	set := newConnectionSet(Limits{Connections: 2, Used: 2, ReadGrace: time.Hour})
	admit := func() (*connection, bool) {
		conn, _ := net.Pipe()
		t.Cleanup(func() { conn.Close() })
		c := newConnection(conn, func() time.Duration { return 0 })
		return c, set.admit(c)
	}
	var first *connection
	for i := range 2 + Overflow {
		c, ok := admit()
		if !ok || c.overLimit != (i >= 2) {
			t.Fatalf("connection %d: admitted %v, over the limit %v", i, ok, c.overLimit)
		}
		if i == 0 {
			first = c
		}
		set.startReading(c)
		set.startAnswering(c)
	}
	if _, ok := admit(); ok {
		t.Error("a connection was admitted beyond the overflow")
	}
	set.becomeIdle(first)
	if _, ok := admit(); ok || first.endReason != Reclaimed {
		t.Errorf("beyond the overflow: admitted %v; the idle connection ends as %q", ok, first.endReason)
	}
	set.remove(first)
	if c, ok := admit(); !ok || !c.overLimit {
		t.Errorf("after one connection ended: admitted %v, over the limit %v", ok, c.overLimit)
	}
}

// After closeIdle the set ends each connection that is or becomes idle, and no other.
func TestCloseIdle(t *testing.T) {
	set := newConnectionSet(Limits{Connections: 3, Used: 3, ReadGrace: time.Hour})
	var connections [2]*connection
	for i := range connections {
		conn, _ := net.Pipe()
		t.Cleanup(func() { conn.Close() })
		connections[i] = newConnection(conn, func() time.Duration { return 0 })
		set.admit(connections[i])
	}
	idle, busy := connections[0], connections[1]
	set.startReading(busy)
	set.startAnswering(busy)
	set.closeIdle()
	if idle.endReason != Drained || set.endReasonOf(busy) != stillOpen {
		t.Errorf("the idle connection ends as %q, the busy one as %q", idle.endReason, busy.endReason)
	}
	if reason := set.becomeIdle(busy); reason != Drained {
		t.Errorf("after becoming idle the busy connection ends as %q", reason)
	}
}
