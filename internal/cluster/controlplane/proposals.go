package controlplane

import (
	"context"
	"time"

	"flaxfront/internal/cluster/consensus"
	"flaxfront/internal/decision/statemachine"
)

const (
	retryInterval = 300 * time.Millisecond
	maxInFlight   = 32 // sequence numbers sent, from the oldest pending one on: the state machine keeps that many results of a broker
	maxEntryBytes = 256 << 10
)

// proposal is a proposed entry. It is sent repeatedly until this broker has applied it; by its id the state machine applies it only once.
type proposal struct {
	data   []byte
	sentAt time.Duration // time of the last sending; 0: not sent yet
	done   func(statemachine.Result, error)
}

// Propose proposes an entry, waits until this broker has applied it, and returns its result. An *UncertainOutcomeError means that the entry
// may still take effect. Propose must not be called in the participant's loop.
func (p *Participant) Propose(ctx context.Context, entry statemachine.Entry) (statemachine.Result, error) {
	type outcome struct {
		result statemachine.Result
		err    error
	}
	ended := make(chan outcome, 1)
	var sequence uint64
	begun := p.runInLoop(ctx, func() {
		sequence = p.propose(entry, func(r statemachine.Result, err error) { ended <- outcome{r, err} })
	})
	if !begun {
		return statemachine.Result{}, ctx.Err()
	}
	select {
	case o := <-ended:
		return o.result, o.err
	case <-ctx.Done():
		select {
		case p.tasks <- func() { delete(p.pending, sequence) }:
		default:
		}
		return statemachine.Result{}, &UncertainOutcomeError{Cause: context.Cause(ctx)}
	}
}

// propose starts a proposal and returns its sequence number. done is called in the loop, once, or never if the proposal is
// abandoned.
func (p *Participant) propose(entry statemachine.Entry, done func(statemachine.Result, error)) uint64 {
	p.lastSequence++
	id := statemachine.ProposalID{Slot: p.options.Slot, Incarnation: p.incarnation, Sequence: p.lastSequence}
	data := statemachine.Encode(id, entry)
	p.Counts.Proposed.Add(1)
	if len(data) > maxEntryBytes { // every leader would reject it, so it is never sent
		done(statemachine.Result{}, &consensus.EntrySizeError{Bytes: len(data), Max: maxEntryBytes})
		return p.lastSequence
	}
	p.pending[p.lastSequence] = &proposal{data: data, done: done}
	return p.lastSequence
}

// sendPending sends the pending proposals that are due, and returns when it must be called again.
func (p *Participant) sendPending(now time.Duration) (next time.Duration) {
	next = now + idleInterval
	first := p.firstPending()
	for sequence := first; sequence <= p.lastSequence && sequence < first+maxInFlight; sequence++ {
		pending := p.pending[sequence]
		if pending == nil {
			continue
		}
		if pending.sentAt == 0 || now >= pending.sentAt+retryInterval {
			p.sendProposal(pending, now)
		}
		next = min(next, pending.sentAt+retryInterval)
	}
	return next
}

func (p *Participant) sendProposal(pending *proposal, now time.Duration) {
	if pending.sentAt > 0 {
		p.Counts.Retried.Add(1)
	}
	pending.sentAt = max(1, now)
	p.outbox.Entries = append(p.outbox.Entries, pending.data)
	p.outboxUrgent = true
}

func (p *Participant) firstPending() uint64 {
	first := p.lastSequence + 1
	for sequence := range p.pending {
		first = min(first, sequence)
	}
	return first
}

// completeProposal passes the result of an applied entry to the leader's state and, if the proposal was this broker's, to its caller.
func (p *Participant) completeProposal(data []byte, result statemachine.Result) {
	id, entry, err := statemachine.Decode(data)
	if err != nil {
		return
	}
	p.noteAppliedByLeader(entry, result)
	p.nodesChanged = p.nodesChanged || changesNodes(entry)
	if id.Slot != p.options.Slot || id.Incarnation != p.incarnation {
		return
	}
	if pending := p.pending[id.Sequence]; pending != nil {
		delete(p.pending, id.Sequence)
		pending.done(result, result.Err)
	}
}
