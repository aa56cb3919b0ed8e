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
func (p *Participant) Propose(ctx context.Context, e statemachine.Entry) (statemachine.Result, error) {
	type end struct {
		r   statemachine.Result
		err error
	}
	ended := make(chan end, 1)
	var seq uint64
	if !p.runInLoop(ctx, func() { seq = p.propose(e, func(r statemachine.Result, err error) { ended <- end{r, err} }) }) {
		return statemachine.Result{}, ctx.Err()
	}
	select {
	case e := <-ended:
		return e.r, e.err
	case <-ctx.Done():
		select {
		case p.tasks <- func() { delete(p.pending, seq) }:
		default:
		}
		return statemachine.Result{}, &UncertainOutcomeError{Cause: context.Cause(ctx)}
	}
}

// propose begins a proposal; done is called once, in the core's goroutine.
func (p *Participant) propose(e statemachine.Entry, done func(statemachine.Result, error)) uint64 {
	p.lastSequence++
	data := statemachine.Encode(statemachine.ProposalID{Slot: p.options.Slot, Incarnation: p.incarnation, Sequence: p.lastSequence}, e)
	p.Counts.Proposed.Add(1)
	if len(data) > maxEntryBytes { // no leader would take it, however often it is sent
		done(statemachine.Result{}, &consensus.EntrySizeError{Bytes: len(data), Max: maxEntryBytes})
		return p.lastSequence
	}
	p.pending[p.lastSequence] = &proposal{sequence: p.lastSequence, data: data, done: done}
	return p.lastSequence
}

// sendPending sends what has not been seen applied.
func (p *Participant) sendPending(now time.Duration) (next time.Duration) {
	next = now + time.Second
	first := p.firstPending()
	for seq := first; seq <= p.lastSequence && seq < first+maxInFlight; seq++ {
		pending := p.pending[seq]
		if pending == nil {
			continue
		}
		if pending.sentAt == 0 || now >= pending.sentAt+retryInterval {
			if pending.sentAt > 0 {
				p.Counts.Retried.Add(1)
			}
			pending.sentAt = max(1, now)
			p.outbox.Entries = append(p.outbox.Entries, pending.data)
			p.outboxUrgent = true
		}
		next = min(next, pending.sentAt+retryInterval)
	}
	return next
}

func (p *Participant) firstPending() uint64 {
	first := p.lastSequence + 1
	for seq := range p.pending {
		first = min(first, seq)
	}
	return first
}

// completeProposal tells whoever waits what its entry came to.
func (p *Participant) completeProposal(index uint64, data []byte, r statemachine.Result) {
	id, e, err := statemachine.Decode(data)
	if err != nil {
		return
	}
	p.noteAppliedByLeader(e, r)
	p.nodesChanged = p.nodesChanged || changesNodes(e)
	if id.Slot != p.options.Slot || id.Incarnation != p.incarnation {
		return
	}
	if pending := p.pending[id.Sequence]; pending != nil {
		delete(p.pending, id.Sequence)
		pending.done(r, r.Err)
	}
}

// failProposals ends what was proposed under an earlier incarnation.
func (p *Participant) failProposals(why error) {
	for seq, pending := range p.pending {
		delete(p.pending, seq)
		pending.done(statemachine.Result{}, &UncertainOutcomeError{Cause: why})
	}
}

// connTowardsLeader is the connection towards the leader; nil: there is none, or this broker leads.
func (p *Participant) connTowardsLeader() *conn {
	if !p.isVoting() {
		if len(p.sourcePath) == 0 {
			return nil
		}
		return p.source
	}
	if l := p.raft.Leader(); l != 0 && l != p.voterID {
		return p.voterConns[p.options.Voters[l-1].Name]
	}
	return nil
}

// sendOutbox passes on what waits, at once where there are proposals, else in batches.
func (p *Participant) sendOutbox(now time.Duration) (next time.Duration) {
	u := &p.outbox
	if len(u.Renewals)+len(u.Entries)+len(u.Reports) == 0 {
		return now + time.Second
	}
	if p.dueAt.up == 0 {
		p.dueAt.up = now + outboxDelay
	}
	if !p.outboxUrgent && now < p.dueAt.up {
		return p.dueAt.up
	}
	if p.raft != nil && p.raft.IsLeader() {
		p.handleUpstream(nil, *u, now)
	} else if c := p.connTowardsLeader(); c != nil {
		p.send(c, frameUpstream, *u)
	}
	p.outbox, p.outboxUrgent, p.dueAt.up = upstreamFrame{}, false, 0
	return now + time.Second
}

// handleUpstream takes what comes from below: the leader acts on it, others pass it on, but only from those that follow them. Danger: a
// voter that took another for the leader would be sent what it passed on by one that has stopped and now follows it, for ever.
func (p *Participant) handleUpstream(c *conn, u upstreamFrame, now time.Duration) {
	if len(u.Renewals) > maxBatch || len(u.Entries) > maxBatch || len(u.Reports) > maxBatch {
		return
	}
	leads := p.raft != nil && p.raft.IsLeader()
	if c != nil {
		if !c.isFollower && !leads {
			return
		}
		for i := range u.Renewals {
			p.routes[statemachine.Slot(u.Renewals[i].Slot)] = c
		}
	}
	if leads {
		for _, data := range u.Entries {
			p.proposeToRaft(data, now)
		}
		p.queueRenewals(u.Renewals, now)
		p.acceptReports(u.Reports, now)
		return
	}
	w := &p.outbox // Danger: without a way up this would grow without end
	if len(w.Renewals) < maxBatch && len(w.Entries) < maxBatch && len(w.Reports) < maxBatch {
		w.Renewals = append(w.Renewals, u.Renewals...)
		w.Entries = append(w.Entries, u.Entries...)
		w.Reports = append(w.Reports, u.Reports...)
		p.outboxUrgent = p.outboxUrgent || len(u.Entries) > 0
	}
}

// proposeToRaft proposes to Raft what can be read as an entry; what is refused here is sent again by whoever proposed it.
func (p *Participant) proposeToRaft(data []byte, now time.Duration) {
	if _, _, err := statemachine.Decode(data); err != nil {
		return
	}
	if err := p.raft.Propose(data, now); err != nil {
		p.Counts.Refused.Add(1)
	}
}
