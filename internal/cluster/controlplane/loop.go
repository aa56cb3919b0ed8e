package controlplane

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// idleInterval is the longest time between two steps of the loop.
const idleInterval = time.Second

// Run takes part in the control plane until ctx ends.
func (p *Participant) Run(ctx context.Context) error {
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	p.startGoroutines(ctx, &goroutines)
	slog.Info("joined control plane", "component", component, "broker", p.name, "slot", p.options.Slot,
		"voter", p.voterID != 0, "incarnation", p.incarnation)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case task := <-p.tasks:
			task()
		case <-timer.C:
		case <-ctx.Done():
			p.failProposals(context.Canceled)
			return nil
		}
		for range len(p.tasks) {
			task := <-p.tasks
			task()
		}
		now := p.options.Now()
		timer.Reset(max(0, p.step(now)-now))
	}
}

func (p *Participant) startGoroutines(ctx context.Context, goroutines *sync.WaitGroup) {
	if p.options.Listener != nil {
		goroutines.Go(func() { p.acceptConnections(ctx) })
	}
	p.startFollowing = func() { goroutines.Go(func() { p.followSource(ctx) }) }
	if p.voterID == 0 {
		p.startFollowing()
	}
	for _, v := range p.options.Voters {
		if p.voterID != 0 && v.Name != p.name {
			goroutines.Go(func() { p.maintainVoterConn(ctx, v) })
		}
	}
	goroutines.Go(func() { p.deliverViews(ctx) })
}

// runInLoop queues a task for the loop. It returns false if ctx has ended.
func (p *Participant) runInLoop(ctx context.Context, task func()) bool {
	select {
	case p.tasks <- task:
		return true
	case <-ctx.Done():
		return false
	}
}

// step does all work that is due, and returns when it must be called again.
func (p *Participant) step(now time.Duration) (next time.Duration) {
	next = now + idleInterval
	if p.raft != nil {
		next = min(next, p.advanceRaft(now))
	}
	next = min(next, p.maintainSession(now))
	next = min(next, p.sendPending(now))
	if now >= p.dueAt.heartbeat {
		p.dueAt.heartbeat = now + heartbeatInterval
		p.sendHeartbeats(now)
	}
	if now >= p.dueAt.report {
		p.dueAt.report = now + p.options.ReportInterval
		p.queueReport()
		p.viewOutdated = true // a receiver that could not act on the last view gets a new one
	}
	next = min(next, p.dueAt.heartbeat, p.dueAt.report, p.sendOutbox(now))
	p.feedFollowers()
	if p.raft != nil { // sends what this step has proposed
		p.sendPackets()
	}
	if p.viewOutdated && now >= p.dueAt.view {
		p.viewOutdated = false
		p.dueAt.view = now + viewInterval
		p.updateView(now)
	}
	if p.viewOutdated {
		next = min(next, p.dueAt.view)
	}
	return next
}

// failProposals ends all pending proposals with an *UncertainOutcomeError.
func (p *Participant) failProposals(cause error) {
	for sequence, pending := range p.pending {
		delete(p.pending, sequence)
		pending.done(statemachine.Result{}, &UncertainOutcomeError{Cause: cause})
	}
}
