package consensus

import (
	"errors"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"flaxfront/internal/filesystem/crashfs"
)

// newWorldWithLeader returns a world without faults in which a leader has been elected, and that leader.
func newWorldWithLeader(t *testing.T, size int) (w *world, leader *voter) {
	t.Helper()
	w = newWorld(3, size, noMutant)
	w.runUntil(5 * election)
	if ids := w.leaderIDs(); len(ids) != 1 {
		t.Fatalf("leaders %v, want one; failed check: %v", ids, w.checks.err)
	}
	return w, w.voters[w.leaderIDs()[0]-1]
}

func encodePacket(m *pb.Message) []byte {
	b, _ := marshalOptions.MarshalAppend([]byte{packetMessage}, m)
	return b
}

func TestLeaderIsElectedAndStays(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		w, leader := newWorldWithLeader(t, size)
		if !leader.node.IsCaughtUpLeader() {
			t.Errorf("%d voters: the leader has not caught up", size)
		}
		term := leader.node.Term()
		w.runUntil(w.now + 100*election)
		if w.leaderIDs()[0] != leader.id || leader.node.Term() != term {
			t.Errorf("%d voters: the leader or term changed without a fault", size)
		}
	}
}

func TestErrorsOfInvalidCalls(t *testing.T) {
	w, leader := newWorldWithLeader(t, 3)
	follower := w.voters[leader.id%3]
	now := func(v *voter) time.Duration { return v.localTime(w.now) }
	var notLeader *NotLeaderError
	if err := follower.node.Propose([]byte("0123456789abc"), now(follower)); !errors.As(err, &notLeader) || notLeader.Leader != leader.id {
		t.Error(err)
	}
	var entrySize *EntrySizeError
	if err := leader.node.Propose(make([]byte, 257<<10), now(leader)); !errors.As(err, &entrySize) {
		t.Error(err)
	}
	var busy *BusyError
	for i := range 1025 {
		if err := leader.node.Propose(make([]byte, 13), now(leader)); errors.As(err, &busy) != (i == 1024) {
			t.Fatal(i, err)
		}
	}
	for i := range 1025 {
		if err := leader.node.ReadIndex([]byte("12345678")); errors.As(err, &busy) && i < 1024 || err == nil && i == 1024 {
			t.Fatal(i, err)
		}
	}
	var invalid *InvalidMessageError
	prop := encodePacket(&pb.Message{Type: pb.MsgProp.Enum(), From: &follower.id, To: &leader.id})
	for _, m := range [][]byte{prop, []byte("no message"), nil} {
		if err := leader.node.Step(follower.id, m, now(leader)); !errors.As(err, &invalid) {
			t.Error(err)
		}
	}
	if err := leader.node.Step(9, prop, now(leader)); !errors.As(err, &invalid) {
		t.Error(err)
	}
}

// A voter whose directory was emptied receives messages about entries that it acknowledged before. The voter must fail with an error,
// and must not crash the broker.
func TestLostDirectory(t *testing.T) {
	w, leader := newWorldWithLeader(t, 3)
	w.runUntil(w.now + election)
	v := w.voters[leader.id%3]
	v.up, v.disk = false, crashfs.New(1)
	w.start(v)
	w.checks.err = nil
	w.runUntil(w.now + 5*election)
	var inconsistent *InconsistentStateError
	if !errors.As(v.node.Err(), &inconsistent) || inconsistent.Remedy() == "" {
		t.Fatal(v.node.Err())
	}
	var stopped *StoppedError
	if err := v.node.Propose([]byte("x"), 0); !errors.As(err, &stopped) || stopped.Remedy() != inconsistent.Remedy() {
		t.Error(err)
	}
}

// A leader whose process was paused resigns before it reads the waiting messages, even if no other voter became leader meanwhile.
func TestLeaderResignsAfterPause(t *testing.T) {
	_, leader := newWorldWithLeader(t, 3)
	n := leader.node
	n.Tick(n.now + 2*election)
	if n.IsLeader() || n.resignations != 1 {
		t.Fatal("the leader did not resign exactly once")
	}
}

// A leader that receives no messages resigns within two election timeouts, although its heartbeats still reach the followers.
func TestUnreachableLeaderResigns(t *testing.T) {
	w, leader := newWorldWithLeader(t, 3)
	w.cutLinksWhere(func(_, to uint64) bool { return to == leader.id })
	w.runUntil(w.now + 2*election + 2*heartbeat)
	if leader.node.IsLeader() {
		t.Fatal("the leader did not resign")
	}
	w.runUntil(w.now + 4*election)
	if ids := w.leaderIDs(); len(ids) != 1 || ids[0] == leader.id {
		t.Fatal(ids)
	}
}

func TestTransferLeadership(t *testing.T) {
	w, leader := newWorldWithLeader(t, 5)
	to := leader.node.TransferLeadership(leader.localTime(w.now))
	w.processVoter(leader)
	w.runUntil(w.now + heartbeat*2)
	if ids := w.leaderIDs(); len(ids) != 1 || ids[0] != to {
		t.Fatalf("leaders %v, want %d", ids, to)
	}
}

// No packet may crash the process, whatever its content; the voter may fail.
func FuzzStep(f *testing.F) {
	id, to, term, index := uint64(2), uint64(1), uint64(3), uint64(9)
	for _, kind := range acceptedMessageTypes {
		b := encodePacket(&pb.Message{Type: kind.Enum(), From: &id, To: &to, Term: &term, Index: &index, Commit: &index})
		f.Add(b)
	}
	f.Add(append([]byte{packetChunk, 16: 9}, "some part"...))
	f.Fuzz(func(t *testing.T, b []byte) {
		w := newWorld(1, 3, noMutant)
		v := w.voters[0]
		v.node.Step(2, b, v.localTime(0)+1)
		v.node.ProcessReady()
	})
}
