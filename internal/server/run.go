package server

import (
	"context"
	"log/slog"

	"flaxfront/internal/discovery/nodelist"
	"flaxfront/internal/protocols/back"
	"flaxfront/internal/transport/store"
)

// Run serves until stop is closed or a release permit shuts the broker down, then answers the queries in flight and returns. All goroutines
// that it starts end with the server's context, and it waits for them.
func (s *Server) Run(stop <-chan struct{}) error {
	connections := s.memory.plan.Connections
	s.openPool(connections.Nodes)
	s.startLoop()
	s.startDiscovery()
	s.startGossip()
	if s.siteLinks != nil {
		s.runSiteLinks()
	}
	if s.controlPlane != nil {
		s.runControlPlane()
	}
	s.startClients()
	slog.Info("serving", "broker", s.start.Name, "address", s.listener.Addr(), "nodes", len(s.initialList.Nodes),
		"clients", connections.Clients, "node_connections", connections.Nodes, "memory_mb", s.start.Limits.MemoryMB)
	select {
	case <-stop:
		s.drain()
	case <-s.permitUsed():
		s.drain()
	case <-s.ctx.Done():
	}
	slog.Info("counters", "counters", s.Counters())
	s.cancel()
	s.listener.Close()
	return s.group.Wait()
}

// startGoroutine runs a goroutine that ends with the server's context.
func (s *Server) startGoroutine(run func(ctx context.Context) error) {
	s.group.Go(func() error { return run(s.ctx) })
}

// openPool creates the pool of connections to nodes.
func (s *Server) openPool(connections int) {
	t, o := &s.start.Terms, &s.operator.StoreProtocol
	limits := store.Limits{Streams: t.Streams, Idle: t.Idle, Dial: t.Dial, Silent: t.LongestTimeout(), Conns: connections}
	if o.Protocol != "" {
		limits.Streams = 1 // a session carries one attempt at a time
	}
	post := func(e store.Event) { s.deliver(connectionEvent{e}) }
	s.loop.pool = store.NewPool(s.ctx, limits, store.DialTCP, s.loop.since, s.group.Go, post, s.loop.attemptEnded)
	s.loop.pool.ProbeEnded = s.loop.healthCheckEnded
	s.loop.pool.SetAnswerBudget(s.memory.answers)
	if s.controlPlane != nil && s.operator.ControlPlaneSettings.Budgets {
		s.openConnLeases(limits.Streams)
	}
	if s.loop.readPins != nil {
		s.loop.pool.KeepReports()
	}
	if o.Protocol != "" {
		s.loop.pool.SetCarrier(back.Carrier(s.ctx, back.Options{Protocol: o.Protocol, Database: o.Database, Dial: t.Dial, Now: s.loop.since,
			Post: post, Memory: s.memory.answers}))
	}
}

// startLoop applies the initial endpoint list and starts the loop.
func (s *Server) startLoop() {
	if s.loop.cachedList == nil {
		s.loop.handleList(s.initialList, nil)
	} else {
		s.loop.applyList(s.initialList)
		s.startGoroutine(func(ctx context.Context) error {
			return s.listStore.Run(ctx, func(r nodelist.OperatorRequest) { s.deliver(operatorRequest{r}) })
		})
	}
	s.startGoroutine(s.loop.run)
	if s.loop.admission != nil {
		s.startGoroutine(s.loop.admission.schedulingDelay.run)
	}
}

func (s *Server) startDiscovery() { s.startGoroutine(s.discoveryClient.Run) }

// startGossip starts sending and receiving gossip, and storing members' addresses.
func (s *Server) startGossip() {
	if s.gossip != nil {
		s.startGoroutine(s.gossip.Send)
		s.startGoroutine(s.gossip.Receive)
	}
	if s.seedStore != nil {
		s.startGoroutine(s.seedStore.Run)
	}
}

// startClients starts accepting clients over HTTP and at the fronts.
func (s *Server) startClients() {
	s.startGoroutine(s.ingress.Run)
	for _, f := range s.fronts {
		s.servingFronts.Add(1)
		s.startGoroutine(func(ctx context.Context) error {
			defer s.servingFronts.Done()
			return f.Serve(ctx)
		})
	}
}
