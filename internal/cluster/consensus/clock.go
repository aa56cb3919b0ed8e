package consensus

import (
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// The raft library counts time in ticks and draws its election timeouts from a random source that can't be seeded. Therefore it never
// starts an election here: a voter that doesn't lead gets no ticks, and the library's count of elapsed ticks stays 0. Instead, this
// package measures on the caller's clock how long no message of the leader has arrived:
//
//   - After ElectionTimeout the voter forgets the leader (ForgetLeader) and may vote for another. Until then it refuses to vote for
//     another, as it would by the library's own count: this is the lease that check-quorum and pre-vote rely on.
//   - After ElectionTimeout plus a seeded random delay of up to another ElectionTimeout the voter campaigns, with a pre-vote first.
//
// A leader gets a tick each HeartbeatInterval, since its ticks send heartbeats and check the quorum: if it has not heard from a
// majority for ElectionTimeout, it resigns within another ElectionTimeout. Neither reads (ReadIndex asks a majority) nor votes depend
// on these times: wrong clocks can cost leader changes, but never consistency.

// checkQuorumRounds is the number of election timeouts after which a leader that gets ticks, but no answers, has certainly resigned.
const checkQuorumRounds = 2

// randomElectionTimeout returns the time without a message of the leader after which this voter campaigns.
func (n *Node) randomElectionTimeout() time.Duration {
	timeout := n.config.ElectionTimeout
	return timeout + time.Duration(n.random.Int64N(int64(timeout)))
}

// randomCampaignRetry returns the delay before the voter campaigns again after a failed campaign (two voters campaigned at once, or a
// majority still followed the leader). It is shorter than the election timeout because there is no leader, but long enough for answers
// to arrive.
func (n *Node) randomCampaignRetry() time.Duration {
	half := n.config.ElectionTimeout / 2
	return half + time.Duration(n.random.Int64N(int64(half)))
}

// Tick advances the node to the time now and returns when to call it next, unless another call comes earlier.
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

// advance performs what is due up to the time now.
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

// resumeAfterPause discards state that went stale while the process was paused (SIGSTOP, a suspended machine). A leader that was paused
// for ElectionTimeout resigns before it reads the messages that are waiting; other voters do not campaign before they have read them.
// If a disk operation or a pause of the Go runtime takes that long, the leader changes unnecessarily.
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

// heartbeat does the leader's work that is due each HeartbeatInterval.
func (n *Node) heartbeat() {
	n.nextHeartbeat += n.config.HeartbeatInterval
	n.raft.Tick()
	n.sendChunks()
	n.expireSnapshots()
	n.updateRole()
}

// checkLeader forgets a leader that has sent nothing for ElectionTimeout, and campaigns when that is due.
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

// updateRole changes the node's role if raft has gained or lost leadership.
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

// recordContact postpones the next campaign if the message came from the leader, or if it led raft to grant a vote. It is called after
// raft has processed the message.
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

// TransferLeadership starts to transfer leadership to the active voter with the longest log, before a planned stop, and returns its ID;
// 0 if there is none. The transfer is complete when IsLeader returns false; it is abandoned after ElectionTimeout.
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
