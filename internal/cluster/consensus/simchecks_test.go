package consensus

// This file has the simulation's safety checks, and the register whose history of calls is checked for linearizability.

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// checks records what the voters did, and the first violation.
type checks struct {
	err            error             // first failed check
	leaders        map[uint64]uint64 // leader by term
	applied        map[uint64][]byte // entry by index
	states         map[uint64][]byte // snapshot of the register by index
	highestApplied uint64            // highest index that any voter applied
}

func newChecks() checks {
	return checks{leaders: map[uint64]uint64{}, applied: map[uint64][]byte{}, states: map[uint64][]byte{}}
}

func (c *checks) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// checkLeader checks that a term has at most one leader.
func (c *checks) checkLeader(v *voter) {
	if !v.node.IsLeader() {
		return
	}
	if other, ok := c.leaders[v.node.Term()]; ok && other != v.id {
		c.fail("term %d has two leaders, %d and %d", v.node.Term(), other, v.id)
	}
	c.leaders[v.node.Term()] = v.id
}

// register is the state machine: two cells whose values clients read and swap. An entry has the call's ID (8 bytes), the cell (1) and
// the new value (4).
type register struct {
	w     *world
	v     *voter
	cells [2]uint32
	index uint64
}

func (r *register) Apply(index uint64, data []byte) {
	c := &r.w.checks
	if index <= r.index {
		c.fail("voter %d applies index %d after %d", r.v.id, index, r.index)
	}
	if was, ok := c.applied[index]; ok && !bytes.Equal(was, data) {
		c.fail("voter %d applies a different entry at index %d", r.v.id, index)
	}
	c.applied[index] = bytes.Clone(data)
	op, cell, value := binary.BigEndian.Uint64(data), data[8], binary.BigEndian.Uint32(data[9:])
	old := r.cells[cell]
	r.cells[cell], r.index = value, index
	if r.w.mutant == divergentStateMachine && r.v.id == 2 {
		r.cells[cell]++
	}
	r.w.checks.checkState(r)
	r.w.ops.complete(r.w, r.v, op, old)
}

// checkState checks that all voters have the same state after the same index.
func (c *checks) checkState(r *register) {
	s := r.Snapshot()
	if was, ok := c.states[r.index]; ok && !bytes.Equal(was, s) {
		c.fail("voter %d has a different state at index %d", r.v.id, r.index)
	}
	c.states[r.index] = s
	c.highestApplied = max(c.highestApplied, r.index)
}

func (r *register) Snapshot() []byte {
	b := binary.BigEndian.AppendUint64(nil, r.index)
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, r.cells[0]), r.cells[1])
}

func (r *register) Restore(b []byte) error {
	if len(b) != 16 {
		return fmt.Errorf("the snapshot has %d bytes, want 16", len(b))
	}
	if r.index > 0 {
		r.w.seen["leader's snapshot"]++
	}
	r.index = binary.BigEndian.Uint64(b)
	r.cells = [2]uint32{binary.BigEndian.Uint32(b[8:]), binary.BigEndian.Uint32(b[12:])}
	r.w.checks.checkState(r)
	return nil
}

// ops holds the clients' calls: the pending ones, and the history of the completed ones.
type ops struct {
	lastID  uint64
	pending map[uint64]*op
	history []porcupine.Operation
	written int
	read    int
}

// op is a client's call.
type op struct {
	id         uint64
	voter      uint64
	startCount uint64
	in         input
	calledAt   time.Duration
	onAnswer   func()
}

type input struct {
	read  bool
	cell  byte
	value uint32
}

type output struct {
	known    bool
	oldValue uint32
}

var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, 2)
		for _, o := range history {
			parts[o.Input.(input).cell] = append(parts[o.Input.(input).cell], o)
		}
		return parts
	},
	Init: func() any { return uint32(0) },
	Step: func(state, in, out any) (bool, any) {
		i, o := in.(input), out.(output)
		ok := !o.known || o.oldValue == state.(uint32)
		if i.read {
			return ok, state
		}
		return ok, i.value
	},
}

// call starts a client's read or swap on a voter. onAnswer is called when the voter answers or after one second; a swap without an
// answer may be applied at any later time.
func (o *ops) call(w *world, v *voter, read bool, onAnswer func()) {
	if o.pending == nil {
		o.pending = map[uint64]*op{}
	}
	if !v.up || v.paused {
		onAnswer()
		return
	}
	o.lastID++
	p := &op{id: o.lastID, voter: v.id, startCount: v.startCount, calledAt: w.now, onAnswer: onAnswer,
		in: input{read, byte(w.random.IntN(2)), uint32(o.lastID)}}
	key := binary.BigEndian.AppendUint64(nil, p.id)
	var err error
	switch {
	case read && w.mutant == localRead:
		o.pending[p.id] = p
		if v.node.IsLeader() {
			o.complete(w, v, p.id, v.stateMachine.cells[p.in.cell])
			return
		}
		err = &NotLeaderError{}
	case read:
		err = v.node.ReadIndex(key)
	default:
		err = v.node.Propose(binary.BigEndian.AppendUint32(append(key, p.in.cell), p.in.value), v.localTime(w.now))
	}
	if err != nil {
		delete(o.pending, p.id)
		onAnswer()
		return
	}
	o.pending[p.id] = p
	w.after(time.Second, func() { o.close(p, output{}, math.MaxInt64) })
	w.processVoter(v)
}

// close ends a pending call and adds it to the history with its result.
func (o *ops) close(p *op, out output, at int64) {
	if o.pending[p.id] == nil {
		return
	}
	delete(o.pending, p.id)
	if out.known || !p.in.read { // a read without an answer has no effect to check
		o.history = append(o.history, porcupine.Operation{ClientId: int(p.id), Input: p.in, Output: out, Call: int64(p.calledAt),
			Return: at})
	}
	p.onAnswer()
}

// complete ends a call with its result, if v is the voter that received the call and has not been restarted since.
func (o *ops) complete(w *world, v *voter, id uint64, old uint32) {
	p := o.pending[id]
	if p == nil || p.voter != v.id || p.startCount != v.startCount {
		return
	}
	if p.in.read {
		o.read++
	} else {
		o.written++
	}
	o.close(p, output{true, old}, int64(w.now))
}

// completeReads ends the calls whose reads a voter has answered.
func (o *ops) completeReads(w *world, v *voter, reads []ReadResult) {
	for _, r := range reads {
		id := binary.BigEndian.Uint64(r.RequestContext)
		if p := o.pending[id]; p != nil && r.Err != nil {
			o.close(p, output{}, 0)
		} else if p != nil {
			o.complete(w, v, id, v.stateMachine.cells[p.in.cell])
		}
	}
}
