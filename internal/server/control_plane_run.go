package server

import (
	"context"
	"log/slog"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
)

// runControlPlane takes part in the control plane until the broker ends. It returns once this process knows the agreed state, or after
// joinTimeout: a broker that serves before it knows that state could send queries to nodes that the tier has drained and that have been
// stopped since.
func (s *Server) runControlPlane() {
	p := s.controlPlane
	s.group.Go(func() error {
		err := p.Run(s.ctx)
		if p.log != nil {
			p.log.Close()
		}
		return err
	})
	for _, start := range p.background {
		start()
	}
	s.group.Go(s.updateReports)
	select {
	case <-p.joined:
	case <-s.timeAfter(joinTimeout):
	case <-s.ctx.Done():
	}
	p.SetServing()
}

// updateReports refreshes the counts that load reports carry, until the broker ends.
func (s *Server) updateReports() error {
	tick := time.NewTicker(s.operator.ControlPlaneSettings.Report)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-s.ctx.Done():
			return nil
		}
		if state := s.Counters().Queries.ControlPlane; state != nil {
			s.controlPlane.report.Store(&controlplane.Report{Classes: state.Classes, WarmingUp: state.WarmingUpAttempts})
		}
	}
}

// receiveView passes a view on to the loop, and uses a release permit in it. The control plane's goroutine calls it.
func (s *Server) receiveView(v *controlplane.View) {
	s.deliver(viewReceived{v})
	s.shareEpoch(v)
	p := s.controlPlane
	if v.Self.Incarnation > 0 {
		p.joinOnce.Do(func() { close(p.joined) })
	}
	if v.MustExit { // UsePermit was agreed, and this process has not seen the answer
		s.shutDownByPermit(v.Permit)
	}
	if n := v.Permit.Number; s.operator.ControlPlaneSettings.ExitOnPermit && n > 0 && !v.Permit.Used && p.triedPermit.Swap(n) != n {
		s.group.Go(func() error {
			s.usePermit(v.Permit)
			return nil
		})
	}
}

// usePermit shuts this broker down by a release permit. A process that was suspended may resume with a permit that is void by now; so it
// shuts down only once a UsePermit entry is agreed, and one for a void permit is always rejected.
func (s *Server) usePermit(p statemachine.ReleasePermit) {
	ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout)
	defer cancel()
	_, err := s.controlPlane.Propose(ctx, &statemachine.UsePermit{Permit: p.Number, Slot: p.Slot, Incarnation: p.Incarnation})
	if err != nil {
		slog.Warn("release permit not used", "component", "control-plane", "permit", p.Number, "error", err)
		s.controlPlane.triedPermit.Store(0) // tried again with the next view that has the permit
		return
	}
	s.shutDownByPermit(p)
}

// shutDownByPermit has this broker shut down as it does at SIGTERM. Further calls do nothing.
func (s *Server) shutDownByPermit(p statemachine.ReleasePermit) {
	s.controlPlane.leaveOnce.Do(func() {
		slog.Info("shutdown by release permit", "component", "control-plane", "permit", p.Number, "release", p.Release)
		s.controlPlane.SetLeaving()
		close(s.controlPlane.exitPermitted)
	})
}

// acknowledgeDrain proposes the acknowledgement that this broker sends a node nothing more. It then notifies the loop, whatever the outcome:
// the loop proposes the acknowledgement again if no view shows it.
func (s *Server) acknowledgeDrain(node decision.NodeID, number uint64) {
	ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout)
	defer cancel()
	v := s.controlPlane.View()
	_, err := s.controlPlane.Propose(ctx, &statemachine.AcknowledgeDrain{Slot: v.Self.Slot, Incarnation: v.Self.Incarnation, Node: node, Number: number})
	if err != nil {
		slog.Info("drain acknowledgement rejected", "component", "control-plane", "node", node, "error", err)
	}
	select {
	case <-time.After(drainAckRetryDelay):
	case <-s.ctx.Done():
	}
	s.deliver(drainAckFailed{node, number})
}

// permitUsed returns a channel that is closed when a release shuts this broker down; without a control plane nil, which blocks for ever.
func (s *Server) permitUsed() <-chan struct{} {
	if s.controlPlane == nil {
		return nil
	}
	return s.controlPlane.exitPermitted
}
