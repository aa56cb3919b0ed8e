package consensus

// This file owns the rules of time.
//
// raft counts in ticks and draws its election time-outs from a source that can't be seeded. So it never starts an election
// here: a voter that doesn't lead is given no ticks at all, and raft's count of silence stands at 0. In its place this
// package measures silence on the caller's clock:
//
//   - after Election without word of the leader, it is forgotten (ForgetLeader): from then on this voter may vote for
//     another. Before, it refuses to, as with raft's own count: that is the lease which check-quorum and pre-vote rely on;
//   - after Election and a seeded chance of up to as much again, this voter asks for the lead itself (Campaign, pre-vote
//     first).
//
// A leader is given a tick each Heartbeat, since its ticks send heartbeats and check the quorum: having heard from no
// majority for Election, it resigns within another Election. No read relies on these times (ReadIndex asks a majority), and
// no vote counts by them; wrong clocks cost leaders, never agreement.

import (
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// chance is the silence after which this voter asks for the lead.
func (n *Node) chance() time.Duration {
	return n.cfg.ElectionTimeout + time.Duration(n.rnd.Int64N(int64(n.cfg.ElectionTimeout)))
}

// again is when it asks again if that came to nothing (two asked at once, or a majority still held to the leader): sooner, as
// nobody leads, yet so late that answers had their time.
func (n *Node) again() time.Duration {
	return n.cfg.ElectionTimeout/2 + time.Duration(n.rnd.Int64N(int64(n.cfg.ElectionTimeout/2)))
}

// Tick takes note of the time and returns when it must be called next, if nothing else calls before.
func (n *Node) Tick(now time.Duration) (next time.Duration) {
	n.advance(now)
	if n.failed != nil || n.stopped {
		return Never
	}
	return n.due()
}

func (n *Node) due() time.Duration {
	at := n.reads.due()
	if n.lead {
		return min(at, n.nextTick)
	}
	at = min(at, n.electAt)
	if n.raft.BasicStatus().Lead != raft.None {
		at = min(at, n.heard+n.cfg.ElectionTimeout)
	}
	return at
}

// advance does what became due up to now.
func (n *Node) advance(now time.Duration) {
	if n.failed != nil || n.stopped || now <= n.now {
		return
	}
	defer n.guard()
	// A process that was stopped (SIGSTOP, a machine that slept) believes what was true when it fell asleep. A leader that
	// overslept by Election resigns before it reads what waits for it: two rounds of check-quorum without an answer between
	// them. Others don't campaign before they have read. It hurts where a disk or a pause of the runtime takes that long: then
	// the lead changes without need.
	slept := now-n.due() >= n.cfg.ElectionTimeout
	n.now = now
	switch {
	case slept && n.lead:
		n.resigned++
		for i := 0; i < 2*n.ticks && n.lead; i++ {
			n.raft.Tick()
			n.turn()
		}
	case slept:
		n.electAt = now + n.chance()
	}
	for n.lead && n.nextTick <= now {
		n.nextTick += n.cfg.HeartbeatInterval
		n.raft.Tick()
		n.sendParts()
		n.resendSnapshots()
		n.turn()
	}
	if !n.lead {
		if n.raft.BasicStatus().Lead != raft.None && now >= n.heard+n.cfg.ElectionTimeout {
			n.raft.ForgetLeader()
		}
		if now >= n.electAt {
			n.electAt = now + n.again()
			n.raft.Campaign()
			n.turn()
		}
	}
	n.reads.expire(now)
}

// turn notes that the lead was gained or lost.
func (n *Node) turn() {
	lead := n.raft.BasicStatus().RaftState == raft.StateLeader
	switch {
	case lead && !n.lead:
		n.since, n.nextTick = n.now, n.now+n.cfg.HeartbeatInterval
		clear(n.snapSent)
		clear(n.parts.out)
	case !lead && n.lead:
		n.electAt = n.now + n.chance()
		n.added = 0
		clear(n.parts.out)
	}
	n.lead = lead
}

// heardOf takes a message as word of the leader, or of a vote given, after raft has seen it.
func (n *Node) heardOf(m *pb.Message) {
	s := n.raft.BasicStatus()
	if m.GetTerm() != s.GetTerm() {
		return
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if s.Lead == m.GetFrom() {
			n.heard, n.electAt = n.now, n.now+n.chance()
		}
	case pb.MsgVote:
		if s.GetVote() == m.GetFrom() {
			n.electAt = n.now + n.chance()
		}
	}
}

// resendSnapshots takes a snapshot that was sent and not answered as lost. raft itself waits for the transport to say so,
// and sends that follower nothing more. One that is merely slow gets it twice, which is harmless.
func (n *Node) resendSnapshots() {
	for _, to := range n.cfg.Voters {
		if at, sent := n.snapSent[to]; sent && n.parts.out[to] == nil && n.now-at >= 4*n.cfg.ElectionTimeout {
			delete(n.snapSent, to)
			n.raft.ReportSnapshot(to, raft.SnapshotFailure)
		}
	}
}

// TransferLeadership starts to give the lead to the voter that is furthest, before a planned stop; 0 where there is none to take it.
// It is over when Lead is false; after Election it is given up.
func (n *Node) TransferLeadership(now time.Duration) (to uint64) {
	n.advance(now)
	if !n.IsLeader() {
		return 0
	}
	defer n.guard()
	furthest := uint64(0)
	s := n.raft.Status()
	for _, id := range n.cfg.Voters {
		if p := s.Progress[id]; id != n.cfg.ID && p.RecentActive && (to == 0 || p.Match > furthest) {
			to, furthest = id, p.Match
		}
	}
	if to != 0 {
		n.raft.TransferLeader(to)
	}
	return to
}

// Stop ends this voter as planned. Nothing is sent or saved any more.
func (n *Node) Stop() {
	n.stopped = true
	n.reads.close(&StoppedError{})
}
