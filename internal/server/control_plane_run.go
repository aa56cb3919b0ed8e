package server

import (
	"context"
	"log/slog"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
)

// runControlPlane takes part in the control plane until the broker ends. It returns once this process knows what is agreed, or after
// joinTimeout: a broker that served before could send queries to nodes that the tier drained, and that were stopped since.
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
	case <-s.after(joinTimeout):
	case <-s.ctx.Done():
	}
	p.SetServing()
}

// updateReports leaves the counts of results for load reports, until the broker ends.
func (s *Server) updateReports() error {
	tick := time.NewTicker(s.operator.Fleet.Report)
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

// receiveView takes a view from the control plane's goroutine: the loop gets it, and a permit is used.
func (s *Server) receiveView(v *controlplane.View) {
	s.deliver(viewReceived{v})
	s.shareEpoch(v)
	p := s.controlPlane
	if v.Self.Incarnation > 0 {
		p.joinOnce.Do(func() { close(p.joined) })
	}
	if v.MustExit { // its answer was lost, or the process was stopped before it came
		s.shutDownByPermit(v.Permit)
	}
	if n := v.Permit.Number; s.operator.Fleet.Exit && n > 0 && !v.Permit.Used && p.triedPermit.Swap(n) != n {
		s.group.Go(func() error {
			s.usePermit(v.Permit)
			return nil
		})
	}
}

// usePermit shuts this broker down by a permit. A process that was stopped may resume with a permit that is void by now; so it shuts down
// only once an entry that says so is agreed, which a void permit's never is.
func (s *Server) usePermit(p statemachine.ReleasePermit) {
	ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout)
	defer cancel()
	_, err := s.controlPlane.Propose(ctx, &statemachine.UsePermit{Permit: p.Number, Slot: p.Slot, Incarnation: p.Incarnation})
	if err != nil {
		slog.Warn("release permit not used", "component", "control-plane", "permit", p.Number, "error", err)
		s.controlPlane.triedPermit.Store(0) // tried again while it stands, with the next view
		return
	}
	s.shutDownByPermit(p)
}

// shutDownByPermit has this broker shut down as at SIGTERM, once.
func (s *Server) shutDownByPermit(p statemachine.ReleasePermit) {
	s.controlPlane.leaveOnce.Do(func() {
		slog.Info("shutdown by release permit", "component", "control-plane", "permit", p.Number, "release", p.Release)
		s.controlPlane.SetLeaving()
		close(s.controlPlane.exitPermitted)
	})
}

// acknowledgeDrain proposes that a node gets nothing more from this broker. If the next view does not show it, the loop proposes it again.
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

// permitUsed is closed when a release shuts this broker down; nil, which blocks for ever, without a control plane.
func (s *Server) permitUsed() <-chan struct{} {
	if s.controlPlane == nil {
		return nil
	}
	return s.controlPlane.exitPermitted
}
