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
	resendAfter = 300 * time.Millisecond
	inFlight    = 32 // of one broker, from the oldest on: the ledger keeps the results of so many
	batchFor    = 40 * time.Millisecond
	maxEntry    = 256 << 10
)

type proposal struct {
	seq  uint64
	data []byte
	sent time.Duration // 0: not yet
	done func(statemachine.Result, error)
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
	if !f.call(ctx, func() { seq = f.start(e, func(r statemachine.Result, err error) { ended <- end{r, err} }) }) {
		return statemachine.Result{}, ctx.Err()
	}
	select {
	case e := <-ended:
		return e.r, e.err
	case <-ctx.Done():
		select {
		case f.calls <- func() { delete(f.pending, seq) }:
		default:
		}
		return statemachine.Result{}, &UncertainOutcomeError{Cause: context.Cause(ctx)}
	}
}

// start begins a proposal; done is called once, in the core's goroutine.
func (f *Participant) start(e statemachine.Entry, done func(statemachine.Result, error)) uint64 {
	f.seq++
	data := statemachine.Encode(statemachine.ProposalID{Slot: f.o.Slot, Incarnation: f.inc, Sequence: f.seq}, e)
	f.Counts.Proposed.Add(1)
	if len(data) > maxEntry { // no leader would take it, however often it is sent
		done(statemachine.Result{}, &consensus.EntrySizeError{Bytes: len(data), Max: maxEntry})
		return f.seq
	}
	f.pending[f.seq] = &proposal{seq: f.seq, data: data, done: done}
	return f.seq
}

// resend sends what has not been seen applied.
func (f *Participant) resend(now time.Duration) (next time.Duration) {
	next = now + time.Second
	first := f.firstPending()
	for seq := first; seq <= f.seq && seq < first+inFlight; seq++ {
		p := f.pending[seq]
		if p == nil {
			continue
		}
		if p.sent == 0 || now >= p.sent+resendAfter {
			if p.sent > 0 {
				f.Counts.Resent.Add(1)
			}
			p.sent = max(1, now)
			f.up.Entries = append(f.up.Entries, p.data)
			f.upNow = true
		}
		next = min(next, p.sent+resendAfter)
	}
	return next
}

func (f *Participant) firstPending() uint64 {
	first := f.seq + 1
	for seq := range f.pending {
		first = min(first, seq)
	}
	return first
}

// applied tells whoever waits what its entry came to.
func (f *Participant) applied(index uint64, data []byte, r statemachine.Result) {
	id, e, err := statemachine.Decode(data)
	if err != nil {
		return
	}
	f.leadApplied(e, r)
	f.nodesMoved = f.nodesMoved || moves(e)
	if id.Slot != f.o.Slot || id.Incarnation != f.inc {
		return
	}
	if p := f.pending[id.Sequence]; p != nil {
		delete(f.pending, id.Sequence)
		p.done(r, r.Err)
	}
}

// abandon ends what was proposed under an earlier incarnation.
func (f *Participant) abandon(why error) {
	for seq, p := range f.pending {
		delete(f.pending, seq)
		p.done(statemachine.Result{}, &UncertainOutcomeError{Cause: why})
	}
}

// upward is the connection towards the leader; nil: there is none, or this broker leads.
func (f *Participant) upward() *conn {
	if !f.votes() {
		if len(f.upPath) == 0 {
			return nil
		}
		return f.source
	}
	if l := f.node.Leader(); l != 0 && l != f.id {
		return f.voters[f.o.Voters[l-1].Name]
	}
	return nil
}

// sendUp passes on what waits, at once where there are proposals, else in batches.
func (f *Participant) sendUp(now time.Duration) (next time.Duration) {
	u := &f.up
	if len(u.Renewals)+len(u.Entries)+len(u.Reports) == 0 {
		return now + time.Second
	}
	if f.due.up == 0 {
		f.due.up = now + batchFor
	}
	if !f.upNow && now < f.due.up {
		return f.due.up
	}
	if f.node != nil && f.node.IsLeader() {
		f.takeUp(nil, *u, now)
	} else if c := f.upward(); c != nil {
		f.put(c, letterUp, *u)
	}
	f.up, f.upNow, f.due.up = up{}, false, 0
	return now + time.Second
}

// takeUp takes what comes from below: the leader acts on it, others pass it on, but only from those that follow them. Danger: a
// voter that took another for the leader would be sent what it passed on by one that has stopped and now follows it, for ever.
func (f *Participant) takeUp(c *conn, u up, now time.Duration) {
	if len(u.Renewals) > maxBatch || len(u.Entries) > maxBatch || len(u.Reports) > maxBatch {
		return
	}
	leads := f.node != nil && f.node.IsLeader()
	if c != nil {
		if !c.follows && !leads {
			return
		}
		for i := range u.Renewals {
			f.via[statemachine.Slot(u.Renewals[i].Slot)] = c
		}
	}
	if leads {
		for _, data := range u.Entries {
			f.admit(data, now)
		}
		f.renewals(u.Renewals, now)
		f.reported(u.Reports, now)
		return
	}
	w := &f.up // Danger: without a way up this would grow without end
	if len(w.Renewals) < maxBatch && len(w.Entries) < maxBatch && len(w.Reports) < maxBatch {
		w.Renewals = append(w.Renewals, u.Renewals...)
		w.Entries = append(w.Entries, u.Entries...)
		w.Reports = append(w.Reports, u.Reports...)
		f.upNow = f.upNow || len(u.Entries) > 0
	}
}

// admit proposes to Raft what can be read as an entry; what is refused here is sent again by whoever proposed it.
func (f *Participant) admit(data []byte, now time.Duration) {
	if _, _, err := statemachine.Decode(data); err != nil {
		return
	}
	if err := f.node.Propose(data, now); err != nil {
		f.Counts.Refused.Add(1)
	}
}
