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
	askWithin  = 5 * time.Second
	joinWithin = time.Second // a broker that starts waits so long at most to hear what is agreed
)

// fleetPart is a broker's part of the tier's agreement.
type fleetPart struct {
	*controlplane.Fleet
	keys   *keys.Keyring
	log    *raftlog.Log // nil: it has no vote
	leave  chan struct{}
	once   sync.Once
	joined chan struct{} // closed once the loop has what was agreed when this process registered
	heard  sync.Once
	tried  atomic.Uint64 // the last permit that was to be used
	count  atomic.Pointer[controlplane.Report]
	list   atomic.Pointer[listing]
	epoch  uint64 // handed on to pins
	starts []func()
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

// openFleet opens what the fleet needs.
func (s *Server) openFleet() (err error) {
	o := &s.operator.Fleet
	p := &fleetPart{leave: make(chan struct{}), joined: make(chan struct{})}
	if p.keys, err = keys.Open(s.operator.FleetKeys()); err != nil {
		return err
	}
	opts := controlplane.Options{Keys: p.keys, Sources: o.Sources, Listen: o.Listen, Slot: statemachine.Slot(o.Slot), Incarnation: uint64(time.Now().UnixMilli()),
		Version: o.Version, Zone: o.Zone, Lease: o.Lease, Drift: o.Drift, Election: o.Election, Heartbeat: o.Heartbeat, Followers: o.Followers,
		Report: o.Report, Seed: rand.Uint64(), Now: s.loop.since, Deliver: s.viewed}
	opts.Voters, _ = Voters(o)
	opts.Gates = release.Defaults()
	g := &o.Gates
	opts.Gates.Observe, opts.Gates.Warm, opts.Gates.Overdue, opts.Gates.Least = g.Observe, g.Warm, g.Overdue, float64(g.Least)
	opts.Gates.Tolerance, opts.Gates.Alpha, opts.Gates.Back = g.Tolerance, g.Alpha, g.Back
	if opts.Version == "" {
		if info, ok := debug.ReadBuildInfo(); ok {
			opts.Version = info.Main.Version
		}
	}
	if log, votes := LogOptions(o, p.keys); votes {
		if p.log, err = raftlog.Open(log); err != nil {
			return fmt.Errorf("fleet.directory: %w", err)
		}
		opts.Disk = p.log
	}
	if o.Listen != "" {
		if opts.Listener, err = net.Listen("tcp", o.Listen); err != nil {
			return err
		}
		opts.Listen = opts.Listener.Addr().String()
	}
	opts.Count = func() controlplane.Report {
		if r := p.count.Load(); r != nil {
			return *r
		}
		return controlplane.Report{}
	}
	if p.Fleet, err = controlplane.New(opts); err != nil {
		return err
	}
	s.fleet = p
	s.loop.agreed = newAgreed(s.start.Terms.Types)
	s.loop.agreed.list = &p.list
	p.Leading(controlplane.Duty{Name: "epoch", Every: epochLook, Do: epochs(&p.list)})
	p.Named(func(text string) (id decision.NodeID, ok bool) {
		if have := p.list.Load(); have != nil {
			id, ok = have.ids[text]
		}
		return id, ok
	}, func(id decision.NodeID) string {
		if have := p.list.Load(); have != nil && have.names[id] != "" {
			return have.names[id]
		}
		return id.String()
	})
	if o.Pins {
		s.sharePins(p)
	}
	s.loop.agreed.ack = func(node decision.NodeID, number uint64) {
		s.group.Go(func() error { s.ack(node, number); return nil })
	}
	slog.Info("fleet: opened", "as", p.keys.ID(), "slot", o.Slot, "votes", p.log != nil, "release", opts.Version)
	return nil
}

// runFleet takes part until the broker ends. It returns once this process knows what is agreed. Danger: one that takes searches
// before sends them to nodes that the tier drained, and that were stopped since. It delays a start without a majority by a second.
func (s *Server) runFleet() {
	p := s.fleet
	s.group.Go(func() error {
		err := p.Run(s.ctx)
		if p.log != nil {
			p.log.Close()
		}
		return err
	})
	for _, start := range p.starts {
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
			if f := s.Counters().Searches.Fleet; f != nil {
				p.count.Store(&controlplane.Report{Classes: f.Classes, Cold: f.Cold})
			}
		}
	})
	select {
	case <-p.joined:
	case <-s.after(joinWithin):
	case <-s.ctx.Done():
	}
	p.Serving()
}

// viewed takes a view over from the fleet's goroutine: the loop gets it, and a permit is used.
func (s *Server) viewed(v *controlplane.View) {
	s.deliver(viewed{v})
	s.agreePins(v)
	p := s.fleet
	if v.Me.Incarnation > 0 {
		p.heard.Do(func() { close(p.joined) })
	}
	if v.MustGo { // its answer was lost, or the process was stopped before it came
		s.leave(v.Permit)
	}
	if n := v.Permit.Number; s.operator.Fleet.Exit && n > 0 && !v.Permit.Used && p.tried.Swap(n) != n {
		s.group.Go(func() error {
			s.use(v.Permit)
			return nil
		})
	}
}

// use goes out by a permit. Danger: a process that was stopped wakes up and believes in a permit that is void by now. So it goes
// only once an entry that says so is agreed, which a void permit's never is.
func (s *Server) use(p statemachine.ReleasePermit) {
	ctx, cancel := context.WithTimeout(s.ctx, askWithin)
	defer cancel()
	_, err := s.fleet.Propose(ctx, &statemachine.UsePermit{Permit: p.Number, Slot: p.Slot, Incarnation: p.Incarnation})
	if err != nil {
		slog.Warn("permit not used", "permit", p.Number, "error", err)
		s.fleet.tried.Store(0) // tried again while it stands, with the next view
		return
	}
	s.leave(p)
}

// leave stops this broker as at SIGTERM, once.
func (s *Server) leave(p statemachine.ReleasePermit) {
	s.fleet.once.Do(func() {
		slog.Info("stopping by a permit", "permit", p.Number, "release", p.Release)
		s.fleet.Leaving()
		close(s.fleet.leave)
	})
}

// ack says that a node gets nothing more from this broker.
func (s *Server) ack(node decision.NodeID, number uint64) {
	ctx, cancel := context.WithTimeout(s.ctx, askWithin)
	defer cancel()
	v := s.fleet.View()
	_, err := s.fleet.Propose(ctx, &statemachine.AcknowledgeDrain{Slot: v.Me.Slot, Incarnation: v.Me.Incarnation, Node: node, Number: number})
	if err != nil {
		slog.Info("a drain's acknowledgement was not taken", "node", node, "error", err)
	}
	select {
	case <-time.After(200 * time.Millisecond):
	case <-s.ctx.Done():
	}
	s.deliver(unacked{node, number}) // if the next view does not show it, it is proposed again
}

// permitted is closed when a release lets this broker go; nil, which waits for ever, where there is no fleet.
func (s *Server) permitted() <-chan struct{} {
	if s.fleet == nil {
		return nil
	}
	return s.fleet.leave
}
