package consensus

import (
	"errors"
	"fmt"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Reasons to reject a message, wrapped in InvalidMessageError.
var (
	errNotVoter       = errors.New("the sender is not a voter")
	errWrongSender    = errors.New("sender or receiver does not match the link")
	errWrongType      = errors.New("voters do not send messages of this type")
	errSnapshotVoters = errors.New("the snapshot is for other voters")
)

// acceptedMessageTypes are the types of messages that voters send each other. Proposals come through Propose only, and messages that
// raft sends to itself never come from another voter.
var acceptedMessageTypes = []pb.MessageType{
	pb.MsgApp,
	pb.MsgAppResp,
	pb.MsgVote,
	pb.MsgVoteResp,
	pb.MsgPreVote,
	pb.MsgPreVoteResp,
	pb.MsgHeartbeat,
	pb.MsgHeartbeatResp,
	pb.MsgSnap,
	pb.MsgReadIndex,
	pb.MsgReadIndexResp,
	pb.MsgTimeoutNow,
}

// Step processes a packet of another voter; from is the sender as the link identified it. It returns *InvalidMessageError for a
// message that was dropped, and *StoppedError if this voter has stopped.
func (n *Node) Step(from uint64, packet []byte, now time.Duration) error {
	n.advance(now)
	if n.state != running {
		return &StoppedError{Cause: n.failure}
	}
	m, err := n.decodeMessage(from, packet)
	if err != nil {
		n.RejectedMessages++
		return &InvalidMessageError{From: from, Err: err}
	}
	if m == nil { // a chunk of a message that is not complete yet
		return nil
	}
	defer n.recoverPanic()
	if err := n.raft.Step(m); err != nil {
		return &InvalidMessageError{From: from, Err: err}
	}
	n.updateRole()
	n.recordContact(m)
	return nil
}

// decodeMessage returns the message that the packet holds or completes, or nil if further chunks are needed.
func (n *Node) decodeMessage(from uint64, packet []byte) (*pb.Message, error) {
	if !slices.Contains(n.config.Voters, from) {
		return nil, errNotVoter
	}
	data, err := n.chunks.assemble(from, packet)
	if err != nil || data == nil {
		return nil, err
	}
	m := &pb.Message{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, err
	}
	return m, n.checkMessage(from, m)
}

// checkMessage returns an error for a message that no voter sends.
func (n *Node) checkMessage(from uint64, m *pb.Message) error {
	if m.GetFrom() != from || m.GetTo() != n.config.ID || from == n.config.ID {
		return fmt.Errorf("%w: a message from %d to %d on the link of %d", errWrongSender, m.GetFrom(), m.GetTo(), from)
	}
	if !slices.Contains(acceptedMessageTypes, m.GetType()) {
		return fmt.Errorf("%w: type %v", errWrongType, m.GetType())
	}
	voters := m.GetSnapshot().GetMetadata().GetConfState().GetVoters()
	if m.GetType() == pb.MsgSnap && !slices.Equal(voters, n.config.Voters) {
		return fmt.Errorf("%w: %v", errSnapshotVoters, voters)
	}
	return nil
}
