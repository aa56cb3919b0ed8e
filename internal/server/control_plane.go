package server

// This file owns the fleet as part of a broker's life: opened, run, and heard when a release lets this broker go. It must never
// make the loop wait for it.

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"path/filepath"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/cluster/raftlog"
	"flaxfront/internal/config/operator"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/transport/keys"
)

const (
	proposalTimeout = 5 * time.Second
	joinTimeout     = time.Second // a broker that starts waits so long at most to hear what is agreed
)

// tierControlPlane is a broker's part of the tier's agreement.
type tierControlPlane struct {
	*controlplane.Participant
	keys        *keys.Keyring
	log         *raftlog.Log // nil: it has no vote
	released    chan struct{}
	leaveOnce   sync.Once
	joined      chan struct{} // closed once the loop has what was agreed when this process registered
	joinOnce    sync.Once
	triedPermit atomic.Uint64 // the last permit that was to be used
	report      atomic.Pointer[controlplane.Report]
	endpoints   atomic.Pointer[endpointSnapshot]
	epoch       uint64 // handed on to pins
	background  []func()
}

// Voters are those of the operators' file.
func Voters(o *operator.Fleet) (all []controlplane.Voter, ids []uint64) {
	for i, v := range o.Named() {
		all = append(all, controlplane.Voter{Name: v.Name, Addr: v.Addr.String()})
		ids = append(ids, uint64(i+1))
	}
	return all, ids
}

// LogOptions say which voter's log a broker keeps; false: it does not vote.
func LogOptions(o *operator.Fleet, ring *keys.Keyring) (raftlog.Options, bool) {
	voters, ids := Voters(o)
	for i, v := range voters {
		if v.Name == ring.ID().Broker {
			return raftlog.Options{Directory: filepath.Clean(o.Directory), Cluster: ring.ID().Site, VoterID: ids[i], Voters: ids}, o.Directory != ""
		}
	}
	return raftlog.Options{}, false
}

// openControlPlane opens what the fleet needs.
func (s *Server) openControlPlane() (err error) {
	o := &s.operator.Fleet
	p := &tierControlPlane{released: make(chan struct{}), joined: make(chan struct{})}
	if p.keys, err = keys.Open(s.operator.FleetKeys()); err != nil {
		return err
	}
	opts := controlplane.Options{Keys: p.keys, Sources: o.Sources, ListenAddr: o.Listen, Slot: statemachine.Slot(o.Slot), Incarnation: uint64(time.Now().UnixMilli()),
		Version: o.Version, Zone: o.Zone, LeaseDuration: o.Lease, MaxClockDrift: o.Drift, ElectionTimeout: o.Election, HeartbeatInterval: o.Heartbeat, MaxFollowers: o.Followers,
		ReportInterval: o.Report, Seed: rand.Uint64(), Now: s.loop.since, OnView: s.receiveView}
	opts.Voters, _ = Voters(o)
	opts.ReleaseGates = release.Defaults()
	g := &o.Gates
	opts.ReleaseGates.Observe, opts.ReleaseGates.Warm, opts.ReleaseGates.Overdue, opts.ReleaseGates.Least = g.Observe, g.Warm, g.Overdue, float64(g.Least)
	opts.ReleaseGates.Tolerance, opts.ReleaseGates.Alpha, opts.ReleaseGates.Back = g.Tolerance, g.Alpha, g.Back
	if opts.Version == "" {
		if info, ok := debug.ReadBuildInfo(); ok {
			opts.Version = info.Main.Version
		}
	}
	if log, votes := LogOptions(o, p.keys); votes {
		if p.log, err = raftlog.Open(log); err != nil {
			return fmt.Errorf("fleet.directory: %w", err)
		}
		opts.Storage = p.log
	}
	if o.Listen != "" {
		if opts.Listener, err = net.Listen("tcp", o.Listen); err != nil {
			return err
		}
		opts.ListenAddr = opts.Listener.Addr().String()
	}
	opts.CollectReport = func() controlplane.Report {
		if r := p.report.Load(); r != nil {
			return *r
		}
		return controlplane.Report{}
	}
	if p.Participant, err = controlplane.New(opts); err != nil {
		return err
	}
	s.controlPlane = p
	s.loop.useControlPlane(newControlPlaneView(s.start.Terms.Types))
	s.loop.controlPlane.endpoints = &p.endpoints
	p.AddLeaderTask(controlplane.LeaderTask{Name: "epoch", Interval: epochInterval, Propose: epochProposals(&p.endpoints)})
	p.SetNodeNames(func(text string) (id decision.NodeID, ok bool) {
		if have := p.endpoints.Load(); have != nil {
			id, ok = have.ids[text]
		}
		return id, ok
	}, func(id decision.NodeID) string {
		if have := p.endpoints.Load(); have != nil && have.names[id] != "" {
			return have.names[id]
		}
		return id.String()
	})
	if o.Pins {
		s.sharePositions(p)
	}
	s.loop.controlPlane.proposeAck = func(node decision.NodeID, number uint64) {
		s.group.Go(func() error { s.acknowledgeDrain(node, number); return nil })
	}
	slog.Info("fleet: opened", "as", p.keys.ID(), "slot", o.Slot, "votes", p.log != nil, "release", opts.Version)
	return nil
}

// runControlPlane takes part until the broker ends. It returns once this process knows what is agreed. Danger: one that takes searches
// before sends them to nodes that the tier drained, and that were stopped since. It delays a start without a majority by a second.
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
	s.group.Go(func() error {
		tick := time.NewTicker(s.operator.Fleet.Report)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-s.ctx.Done():
				return nil
			}
			if f := s.Counters().Queries.ControlPlane; f != nil {
				p.report.Store(&controlplane.Report{Classes: f.Classes, Cold: f.WarmingUpAttempts})
			}
		}
	})
	select {
	case <-p.joined:
	case <-s.after(joinTimeout):
	case <-s.ctx.Done():
	}
	p.SetServing()
}

// receiveView takes a view over from the fleet's goroutine: the loop gets it, and a permit is used.
func (s *Server) receiveView(v *controlplane.View) {
	s.deliver(viewReceived{v})
	s.shareEpoch(v)
	p := s.controlPlane
	if v.Self.Incarnation > 0 {
		p.joinOnce.Do(func() { close(p.joined) })
	}
	if v.MustExit { // its answer was lost, or the process was stopped before it came
		s.leaveByPermit(v.Permit)
	}
	if n := v.Permit.Number; s.operator.Fleet.Exit && n > 0 && !v.Permit.Used && p.triedPermit.Swap(n) != n {
		s.group.Go(func() error {
			s.usePermit(v.Permit)
			return nil
		})
	}
}

// usePermit goes out by a permit. Danger: a process that was stopped wakes up and believes in a permit that is void by now. So it goes
// only once an entry that says so is agreed, which a void permit's never is.
func (s *Server) usePermit(p statemachine.ReleasePermit) {
	ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout)
	defer cancel()
	_, err := s.controlPlane.Propose(ctx, &statemachine.UsePermit{Permit: p.Number, Slot: p.Slot, Incarnation: p.Incarnation})
	if err != nil {
		slog.Warn("permit not used", "permit", p.Number, "error", err)
		s.controlPlane.triedPermit.Store(0) // tried again while it stands, with the next view
		return
	}
	s.leaveByPermit(p)
}

// leaveByPermit stops this broker as at SIGTERM, once.
func (s *Server) leaveByPermit(p statemachine.ReleasePermit) {
	s.controlPlane.leaveOnce.Do(func() {
		slog.Info("stopping by a permit", "permit", p.Number, "release", p.Release)
		s.controlPlane.SetLeaving()
		close(s.controlPlane.released)
	})
}

// acknowledgeDrain says that a node gets nothing more from this broker.
func (s *Server) acknowledgeDrain(node decision.NodeID, number uint64) {
	ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout)
	defer cancel()
	v := s.controlPlane.View()
	_, err := s.controlPlane.Propose(ctx, &statemachine.AcknowledgeDrain{Slot: v.Self.Slot, Incarnation: v.Self.Incarnation, Node: node, Number: number})
	if err != nil {
		slog.Info("a drain's acknowledgement was not taken", "node", node, "error", err)
	}
	select {
	case <-time.After(200 * time.Millisecond):
	case <-s.ctx.Done():
	}
	s.deliver(drainAckFailed{node, number}) // if the next view does not show it, it is proposed again
}

// permitUsed is closed when a release lets this broker go; nil, which waits for ever, where there is no fleet.
func (s *Server) permitUsed() <-chan struct{} {
	if s.controlPlane == nil {
		return nil
	}
	return s.controlPlane.released
}
