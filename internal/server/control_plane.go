package server

import (
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
	proposalTimeout    = 5 * time.Second
	joinTimeout        = time.Second // longest wait of a starting broker for the agreed state
	drainAckRetryDelay = 200 * time.Millisecond
)

// tierControlPlane is what a broker keeps to take part in the tier's control plane.
type tierControlPlane struct {
	*controlplane.Participant
	keys          *keys.Keyring
	log           *raftlog.Log // nil: this broker does not vote
	exitPermitted chan struct{}
	leaveOnce     sync.Once
	joined        chan struct{} // closed once the loop has the state agreed at this process's registration
	joinOnce      sync.Once
	triedPermit   atomic.Uint64 // number of the last release permit whose use was tried
	report        atomic.Pointer[controlplane.Report]
	endpoints     atomic.Pointer[endpointSnapshot]
	epoch         uint64   // the last one given to read pins
	background    []func() // start goroutines that run with the control plane
}

// Voters returns the voters that the operators' file names, and their ids.
func Voters(o *operator.ControlPlaneSettings) (all []controlplane.Voter, ids []uint64) {
	for i, v := range o.ParsedVoters() {
		all = append(all, controlplane.Voter{Name: v.Name, Addr: v.Addr.String()})
		ids = append(ids, uint64(i+1))
	}
	return all, ids
}

// LogOptions returns the options of this broker's log of entries, and false if it does not vote.
func LogOptions(o *operator.ControlPlaneSettings, ring *keys.Keyring) (raftlog.Options, bool) {
	voters, ids := Voters(o)
	for i, v := range voters {
		if v.Name == ring.ID().Broker {
			return raftlog.Options{Directory: filepath.Clean(o.Directory), Cluster: ring.ID().Site, VoterID: ids[i], Voters: ids}, o.Directory != ""
		}
	}
	return raftlog.Options{}, false
}

// openControlPlane opens the keys, the log of a voter and the listener, and attaches the control plane to the loop.
func (s *Server) openControlPlane() error {
	o := &s.operator.ControlPlaneSettings
	ring, err := keys.Open(s.operator.ControlPlaneKeys())
	if err != nil {
		return err
	}
	p := &tierControlPlane{keys: ring, exitPermitted: make(chan struct{}), joined: make(chan struct{})}
	options := s.controlPlaneOptions(p)
	if log, votes := LogOptions(o, ring); votes {
		p.log, err = raftlog.Open(log)
		if err != nil {
			return fmt.Errorf("fleet.directory: %w", err)
		}
		options.Storage = p.log
	}
	if o.Listen != "" {
		options.Listener, err = net.Listen("tcp", o.Listen)
		if err != nil {
			return err
		}
		options.ListenAddr = options.Listener.Addr().String()
	}
	p.Participant, err = controlplane.New(options)
	if err != nil {
		return err
	}
	s.attachControlPlane(p)
	slog.Info("control plane opened", "component", "control-plane", "broker", ring.ID(), "slot", o.Slot, "votes", p.log != nil,
		"version", options.Version)
	return nil
}

func (s *Server) controlPlaneOptions(p *tierControlPlane) controlplane.Options {
	o := &s.operator.ControlPlaneSettings
	voters, _ := Voters(o)
	return controlplane.Options{
		Keys:              p.keys,
		Voters:            voters,
		Sources:           o.Sources,
		ListenAddr:        o.Listen,
		Slot:              statemachine.Slot(o.Slot),
		Incarnation:       uint64(time.Now().UnixMilli()),
		Version:           releaseVersion(o),
		Zone:              o.Zone,
		LeaseDuration:     o.Lease,
		MaxClockDrift:     o.Drift,
		ElectionTimeout:   o.Election,
		HeartbeatInterval: o.Heartbeat,
		MaxFollowers:      o.FollowerLimit,
		ReportInterval:    o.Report,
		ReleaseGates:      releaseGates(o),
		Seed:              rand.Uint64(),
		Now:               s.loop.since,
		OnView:            s.receiveView,
		CollectReport:     p.collectReport,
	}
}

func releaseGates(o *operator.ControlPlaneSettings) release.Settings {
	gates := release.Defaults()
	gates.ObserveTime = o.Gates.Observe
	gates.WarmUpTime = o.Gates.WarmUp
	gates.OverdueAfter = o.Gates.Overdue
	gates.MinQueries = float64(o.Gates.MinSamples)
	gates.Tolerance = o.Gates.Tolerance
	gates.FalseAlarmRate = o.Gates.SignificanceLevel
	gates.AutoRollback = o.Gates.RollBack
	return gates
}

// releaseVersion returns the version that this program runs: as the operators configured it, else as it was built.
func releaseVersion(o *operator.ControlPlaneSettings) string {
	if o.Version != "" {
		return o.Version
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return ""
}

// collectReport returns the counts that load reports carry. It may be called from any goroutine.
func (p *tierControlPlane) collectReport() controlplane.Report {
	if r := p.report.Load(); r != nil {
		return *r
	}
	return controlplane.Report{}
}

// attachControlPlane connects the control plane with the loop.
func (s *Server) attachControlPlane(p *tierControlPlane) {
	s.controlPlane = p
	view := newControlPlaneView(s.start.Terms.Types)
	view.endpoints = &p.endpoints
	view.proposeAck = func(node decision.NodeID, number uint64) {
		s.group.Go(func() error {
			s.acknowledgeDrain(node, number)
			return nil
		})
	}
	s.loop.useControlPlane(view)
	p.AddLeaderTask(controlplane.LeaderTask{Name: "epoch", Interval: epochInterval, Propose: epochProposals(&p.endpoints)})
	p.SetNodeNames(p.nodeByName, p.nameOf)
	if s.operator.ControlPlaneSettings.Pins {
		s.sharePositions(p)
	}
}

// nodeByName finds a listed node by its name or address.
func (p *tierControlPlane) nodeByName(text string) (id decision.NodeID, ok bool) {
	if endpoints := p.endpoints.Load(); endpoints != nil {
		id, ok = endpoints.idByName[text]
	}
	return id, ok
}

// nameOf returns a node's name, or its id if it is not listed.
func (p *tierControlPlane) nameOf(id decision.NodeID) string {
	if endpoints := p.endpoints.Load(); endpoints != nil && endpoints.nameByID[id] != "" {
		return endpoints.nameByID[id]
	}
	return id.String()
}
