package consensus

import (
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// raft counts in ticks and draws its election timeouts from a source that can't be seeded. So it never starts an election here: a voter
// that doesn't lead is given no ticks at all, and raft's count of silence stands at 0. In its place this package measures silence on
// the caller's clock:
//
//   - after ElectionTimeout without word of the leader, it is forgotten (ForgetLeader): from then on this voter may vote for another.
//     Before, it refuses to, as with raft's own count: that is the lease which check-quorum and pre-vote rely on;
//   - after ElectionTimeout and a seeded delay of up to as much again, this voter campaigns (pre-vote first).
//
// A leader is given a tick each HeartbeatInterval, since its ticks send heartbeats and check the quorum: having heard from no majority
// for ElectionTimeout, it resigns within another ElectionTimeout. No read relies on these times (ReadIndex asks a majority), and no
// vote counts by them; wrong clocks cost leaders, never consistency.

// checkQuorumRounds is how many election timeouts of ticks without an answer end a leader for certain.
const checkQuorumRounds = 2

// randomElectionTimeout is the silence after which this voter campaigns.
func (n *Node) randomElectionTimeout() time.Duration {
	timeout := n.config.ElectionTimeout
	return timeout + time.Duration(n.random.Int64N(int64(timeout)))
}

// randomCampaignRetry is when it campaigns again if that came to nothing (two campaigned at once, or a majority still held to the
// leader): sooner, as nobody leads, yet so late that answers had their time.
func (n *Node) randomCampaignRetry() time.Duration {
	half := n.config.ElectionTimeout / 2
	return half + time.Duration(n.random.Int64N(int64(half)))
}

// Tick takes note of the time and returns when it must be called next, if nothing else calls before.
func (n *Node) Tick(now time.Duration) (next time.Duration) {
	n.advance(now)
	if n.state != running {
		return Never
	}
	return n.nextDue()
}

func (n *Node) nextDue() time.Duration {
	due := n.reads.nextDeadline()
	if n.role == leader {
		return min(due, n.nextHeartbeat)
	}
	due = min(due, n.campaignAt)
	if n.raft.BasicStatus().Lead != raft.None {
		due = min(due, n.leaderContact+n.config.ElectionTimeout)
	}
	return due
}

// advance does what became due up to now.
func (n *Node) advance(now time.Duration) {
	if n.state != running || now <= n.now {
		return
	}
	defer n.recoverPanic()
	wasPaused := now-n.nextDue() >= n.config.ElectionTimeout
	n.now = now
	if wasPaused {
		n.resumeAfterPause()
	}
	for n.role == leader && n.nextHeartbeat <= now {
		n.heartbeat()
	}
	if n.role != leader {
		n.checkLeader()
	}
	n.reads.expire(now)
}

// resumeAfterPause drops what was believed before it. A process that was stopped (SIGSTOP, a machine that slept) believes what was true when
// it fell asleep. A leader that overslept by ElectionTimeout resigns before it reads what waits for it; others don't campaign before
// they have read. Where a disk or a pause of the runtime takes that long, the leader changes without need.
func (n *Node) resumeAfterPause() {
	if n.role != leader {
		n.campaignAt = n.now + n.randomElectionTimeout()
		return
	}
	n.resignations++
	for i := 0; i < checkQuorumRounds*n.config.electionTicks() && n.role == leader; i++ {
		n.raft.Tick()
		n.updateRole()
	}
}

// heartbeat is what a leader does each HeartbeatInterval.
func (n *Node) heartbeat() {
	n.nextHeartbeat += n.config.HeartbeatInterval
	n.raft.Tick()
	n.sendChunks()
	n.expireSnapshots()
	n.updateRole()
}

// checkLeader forgets a leader that is silent, and campaigns when that is due.
func (n *Node) checkLeader() {
	if n.raft.BasicStatus().Lead != raft.None && n.now >= n.leaderContact+n.config.ElectionTimeout {
		n.raft.ForgetLeader()
	}
	if n.now >= n.campaignAt {
		n.campaignAt = n.now + n.randomCampaignRetry()
		n.raft.Campaign()
		n.updateRole()
	}
}

// updateRole follows raft where leadership was gained or lost.
func (n *Node) updateRole() {
	leads := n.raft.BasicStatus().RaftState == raft.StateLeader
	switch {
	case leads && n.role != leader:
		n.becomeLeader()
	case !leads && n.role == leader:
		n.becomeFollower()
	}
}

func (n *Node) becomeLeader() {
	n.role = leader
	n.leaderSince = n.now
	n.nextHeartbeat = n.now + n.config.HeartbeatInterval
	clear(n.snapshotSentAt)
	clear(n.chunks.outgoing)
}

func (n *Node) becomeFollower() {
	n.role = follower
	n.campaignAt = n.now + n.randomElectionTimeout()
	n.unsavedProposals = 0
	clear(n.chunks.outgoing)
}

// recordContact takes a message as word of the leader, or of a vote given, after raft has seen it.
func (n *Node) recordContact(m *pb.Message) {
	status := n.raft.BasicStatus()
	if m.GetTerm() != status.GetTerm() {
		return
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if status.Lead == m.GetFrom() {
			n.leaderContact = n.now
			n.campaignAt = n.now + n.randomElectionTimeout()
		}
	case pb.MsgVote:
		if status.GetVote() == m.GetFrom() {
			n.campaignAt = n.now + n.randomElectionTimeout()
		}
	}
}

// TransferLeadership starts to hand leadership to the voter whose log is longest, before a planned stop; 0 where there is none to take
// it. It is over when IsLeader is false; after ElectionTimeout it is given up.
func (n *Node) TransferLeadership(now time.Duration) (to uint64) {
	n.advance(now)
	if !n.IsLeader() {
		return 0
	}
	defer n.recoverPanic()
	longest := uint64(0)
	status := n.raft.Status()
	for _, id := range n.config.Voters {
		progress := status.Progress[id]
		if id != n.config.ID && progress.RecentActive && (to == 0 || progress.Match > longest) {
			to = id
			longest = progress.Match
		}
	}
	if to != 0 {
		n.raft.TransferLeader(to)
	}
	return to
}
