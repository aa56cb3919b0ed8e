package controlplane

// This file owns proposals: on their way to the leader until they are seen applied here, again and again, with a name by which
// they take effect once.

import (
	"context"
	"time"

	"flaxfront/internal/cluster/consensus"
	"flaxfront/internal/decision/statemachine"
)

const (
	retryInterval = 300 * time.Millisecond
	maxInFlight   = 32 // of one broker, from the oldest on: the ledger keeps the results of so many
	outboxDelay   = 40 * time.Millisecond
	maxEntryBytes = 256 << 10
)

type proposal struct {
	sequence uint64
	data     []byte
	sentAt   time.Duration // 0: not yet
	done     func(statemachine.Result, error)
}

// Propose has an entry agreed, and returns what it came to on this broker's own copy. An error of type *Uncertain tells that it
// may yet take effect. It must not be called in the fleet's own goroutine.
func (f *Participant) Propose(ctx context.Context, e statemachine.Entry) (statemachine.Result, error) {
	type end struct {
		r   statemachine.Result
		err error
	}
	ended := make(chan end, 1)
	var seq uint64
	if !f.runInLoop(ctx, func() { seq = f.propose(e, func(r statemachine.Result, err error) { ended <- end{r, err} }) }) {
		return statemachine.Result{}, ctx.Err()
	}
	select {
	case e := <-ended:
		return e.r, e.err
	case <-ctx.Done():
		select {
		case f.tasks <- func() { delete(f.pending, seq) }:
		default:
		}
		return statemachine.Result{}, &UncertainOutcomeError{Cause: context.Cause(ctx)}
	}
}

// propose begins a proposal; done is called once, in the core's goroutine.
func (f *Participant) propose(e statemachine.Entry, done func(statemachine.Result, error)) uint64 {
	f.lastSequence++
	data := statemachine.Encode(statemachine.ProposalID{Slot: f.options.Slot, Incarnation: f.incarnation, Sequence: f.lastSequence}, e)
	f.Counts.Proposed.Add(1)
	if len(data) > maxEntryBytes { // no leader would take it, however often it is sent
		done(statemachine.Result{}, &consensus.EntrySizeError{Bytes: len(data), Max: maxEntryBytes})
		return f.lastSequence
	}
	f.pending[f.lastSequence] = &proposal{sequence: f.lastSequence, data: data, done: done}
	return f.lastSequence
}

// sendPending sends what has not been seen applied.
func (f *Participant) sendPending(now time.Duration) (next time.Duration) {
	next = now + time.Second
	first := f.firstPending()
	for seq := first; seq <= f.lastSequence && seq < first+maxInFlight; seq++ {
		p := f.pending[seq]
		if p == nil {
			continue
		}
		if p.sentAt == 0 || now >= p.sentAt+retryInterval {
			if p.sentAt > 0 {
				f.Counts.Retried.Add(1)
			}
			p.sentAt = max(1, now)
			f.outbox.Entries = append(f.outbox.Entries, p.data)
			f.outboxUrgent = true
		}
		next = min(next, p.sentAt+retryInterval)
	}
	return next
}

func (f *Participant) firstPending() uint64 {
	first := f.lastSequence + 1
	for seq := range f.pending {
		first = min(first, seq)
	}
	return first
}

// completeProposal tells whoever waits what its entry came to.
func (f *Participant) completeProposal(index uint64, data []byte, r statemachine.Result) {
	id, e, err := statemachine.Decode(data)
	if err != nil {
		return
	}
	f.noteAppliedByLeader(e, r)
	f.nodesChanged = f.nodesChanged || changesNodes(e)
	if id.Slot != f.options.Slot || id.Incarnation != f.incarnation {
		return
	}
	if p := f.pending[id.Sequence]; p != nil {
		delete(f.pending, id.Sequence)
		p.done(r, r.Err)
	}
}

// failProposals ends what was proposed under an earlier incarnation.
func (f *Participant) failProposals(why error) {
	for seq, p := range f.pending {
		delete(f.pending, seq)
		p.done(statemachine.Result{}, &UncertainOutcomeError{Cause: why})
	}
}

// connTowardsLeader is the connection towards the leader; nil: there is none, or this broker leads.
func (f *Participant) connTowardsLeader() *conn {
	if !f.isVoting() {
		if len(f.sourcePath) == 0 {
			return nil
		}
		return f.source
	}
	if l := f.raft.Leader(); l != 0 && l != f.voterID {
		return f.voterConns[f.options.Voters[l-1].Name]
	}
	return nil
}

// sendOutbox passes on what waits, at once where there are proposals, else in batches.
func (f *Participant) sendOutbox(now time.Duration) (next time.Duration) {
	u := &f.outbox
	if len(u.Renewals)+len(u.Entries)+len(u.Reports) == 0 {
		return now + time.Second
	}
	if f.dueAt.up == 0 {
		f.dueAt.up = now + outboxDelay
	}
	if !f.outboxUrgent && now < f.dueAt.up {
		return f.dueAt.up
	}
	if f.raft != nil && f.raft.IsLeader() {
		f.handleUpstream(nil, *u, now)
	} else if c := f.connTowardsLeader(); c != nil {
		f.send(c, frameUpstream, *u)
	}
	f.outbox, f.outboxUrgent, f.dueAt.up = upstreamFrame{}, false, 0
	return now + time.Second
}

// handleUpstream takes what comes from below: the leader acts on it, others pass it on, but only from those that follow them. Danger: a
// voter that took another for the leader would be sent what it passed on by one that has stopped and now follows it, for ever.
func (f *Participant) handleUpstream(c *conn, u upstreamFrame, now time.Duration) {
	if len(u.Renewals) > maxBatch || len(u.Entries) > maxBatch || len(u.Reports) > maxBatch {
		return
	}
	leads := f.raft != nil && f.raft.IsLeader()
	if c != nil {
		if !c.isFollower && !leads {
			return
		}
		for i := range u.Renewals {
			f.routes[statemachine.Slot(u.Renewals[i].Slot)] = c
		}
	}
	if leads {
		for _, data := range u.Entries {
			f.proposeToRaft(data, now)
		}
		f.queueRenewals(u.Renewals, now)
		f.acceptReports(u.Reports, now)
		return
	}
	w := &f.outbox // Danger: without a way up this would grow without end
	if len(w.Renewals) < maxBatch && len(w.Entries) < maxBatch && len(w.Reports) < maxBatch {
		w.Renewals = append(w.Renewals, u.Renewals...)
		w.Entries = append(w.Entries, u.Entries...)
		w.Reports = append(w.Reports, u.Reports...)
		f.outboxUrgent = f.outboxUrgent || len(u.Entries) > 0
	}
}

// proposeToRaft proposes to Raft what can be read as an entry; what is refused here is sent again by whoever proposed it.
func (f *Participant) proposeToRaft(data []byte, now time.Duration) {
	if _, _, err := statemachine.Decode(data); err != nil {
		return
	}
	if err := f.raft.Propose(data, now); err != nil {
		f.Counts.Refused.Add(1)
	}
}
