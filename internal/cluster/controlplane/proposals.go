package controlplane

import (
	"context"
	"time"

	"flaxfront/internal/cluster/consensus"
	"flaxfront/internal/decision/statemachine"
)

const (
	retryInterval = 300 * time.Millisecond
	maxInFlight   = 32 // proposals of one broker, from the oldest on: the state machine keeps the results of so many
	maxEntryBytes = 256 << 10
)

// proposal is an entry on its way. It is sent until it is seen applied here; its id has it take effect once.
type proposal struct {
	data   []byte
	sentAt time.Duration // 0: not yet
	done   func(statemachine.Result, error)
}

// Propose has an entry agreed, and returns its result on this broker's own state machine. An *UncertainOutcomeError says that it may
// still take effect. It must not be called in the participant's loop.
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

// propose begins a proposal and returns its sequence number. done is called once, in the loop.
func (p *Participant) propose(entry statemachine.Entry, done func(statemachine.Result, error)) uint64 {
	p.lastSequence++
	id := statemachine.ProposalID{Slot: p.options.Slot, Incarnation: p.incarnation, Sequence: p.lastSequence}
	data := statemachine.Encode(id, entry)
	p.Counts.Proposed.Add(1)
	if len(data) > maxEntryBytes { // no leader would take it, however often it is sent
		done(statemachine.Result{}, &consensus.EntrySizeError{Bytes: len(data), Max: maxEntryBytes})
		return p.lastSequence
	}
	p.pending[p.lastSequence] = &proposal{data: data, done: done}
	return p.lastSequence
}

// sendPending sends what has not been seen applied, and returns when to come again.
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

// completeProposal tells whoever waits for an applied entry its result.
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
