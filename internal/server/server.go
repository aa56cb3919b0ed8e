// Package server is the real broker: clients on one side, nodes, discovery and other brokers on the other, and
// between them the loop that alone calls the module. This file owns start and end: what is opened, in which order,
// which limits bind. It must never drop a search that was taken in time.
//
// Depends on cluster/controlplane, cluster/readhint, cluster/connpolicy, cluster/raftlog, cluster/seeds, config/operator,
// config/remedy, config/terms, decision/admission, decision, decision/ownership, decision/statemachine,
// decision/membership, decision/readpin, decision/release, decision/forwarding, decision/cachedlist, decision/connlease,
// decision/gossip, discovery, discovery/nodelist, protocols/back, transport/httpwire, transport/keys,
// transport/link, transport/lookahead, transport/peers, transport/store. Concurrency: one goroutine, the
// loop, owns every query in hand, the pool and the module; a goroutine a connection and the others only
// deliver to it.
package server

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"flaxfront/internal/cluster/seeds"
	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
	"flaxfront/internal/discovery/nodelist"
	"flaxfront/internal/protocols/back"
	"flaxfront/internal/server/ingress"
	"flaxfront/internal/transport/keys"
	"flaxfront/internal/transport/link"
	"flaxfront/internal/transport/peers"
	"flaxfront/internal/transport/store"
)

// The protocol's times of a planned stop: new connections go on coming for 400 ms, and what comes later than 700 ms
// must be answered before the kill. Between the two the broker stops taking more.
const (
	newConnectionsFor = 400 * time.Millisecond
	answerWithin      = 700 * time.Millisecond
	stopTaking        = (newConnectionsFor + answerWithin) / 2
)

// Of the descriptors some are kept for what is neither a client's nor a node's; nodes get a third of the others. The protocol lets
// clients hold a third of all for requests; three quarters of these are kept open between requests.
const (
	reservedSockets      = 16 // the standard streams, the poller, listener and peers, three requests to discovery, connections that just end
	spareSockets         = reservedSockets + ingress.Overflow
	nodeSocketsDivisor   = 3
	clientSocketsDivisor = 3
)

// Server is one broker.
type Server struct {
	start            *terms.Start
	discoveryAddress netip.AddrPort // where discovery is
	reader           discovery.Reader
	initialList      *discovery.List // that it starts with
	listGiven        bool            // it was given one
	loop             *loop
	discoveryClient  *discovery.Client
	gossip           *peers.Link
	listener         net.Listener
	ingress          *ingress.Ingress // client connections
	group            *errgroup.Group
	ctx              context.Context // of everything that serves
	cancel           context.CancelFunc
	serving          sync.WaitGroup // fronts of other protocols
	draining         atomic.Bool
	stopRequested    atomic.Int64                // when the stop was asked for, since the start
	settings         atomic.Pointer[terms.Terms] // in force
	operator         *operator.File
	listStore        *nodelist.Store // nil: no list is kept
	siteKeys         *keys.Keyring   // nil: there is no gateway
	siteLinks        *link.Links
	siteListener     net.Listener // nil: no broker of another site comes here
	after            func(time.Duration) <-chan time.Time
	fronts           []Front
	seedStore        *seeds.Writer     // of the tier; nil: none is kept
	controlPlane     *tierControlPlane // nil: brokers agree on nothing
}

// New makes a broker of its configuration; nothing is opened yet.
func New(start *terms.Start, file *operator.File, newModule func(decision.Settings) decision.Router) (*Server, error) {
	t := &start.Terms
	s := &Server{start: start, operator: file, discoveryAddress: start.Discovery, after: time.After}
	s.settings.Store(t)
	s.loop = newLoop(time.Now(), newModule(t.Module), &t.Module)
	s.loop.settings = t
	s.reader = discovery.Reader{Zones: t.Zones, CellCount: t.Module.Cells, StartedAt: s.loop.start}
	var err error
	if s.initialList, s.listGiven, err = checkConfiguration(start, s.reader); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group, s.ctx = errgroup.WithContext(ctx)
	s.discoveryClient = discovery.NewClient(start.Discovery.String(), s.reader, t.AskEvery, s.initialList.Version, s.listGiven,
		func(list *discovery.List, err error) { s.deliver(listReceived{list, err}) })
	if t.Pushed {
		s.discoveryClient.UseLocalAgent()
	}
	s.loop.pollDiscovery = s.discoveryClient.Poll
	if file.Door.On {
		if s.loop.admission, err = newAdmissionControl(&file.Door, t); err != nil {
			return nil, err
		}
	}
	if file.Fleet.Pins {
		s.loop.readPins = newReadPinning(&file.Fleet, t)
	}
	return s, nil
}

// Open opens what the broker listens on. It serves nothing yet.
func (s *Server) Open() (err error) {
	if s.listener, err = net.Listen("tcp", s.start.Listen.String()); err != nil {
		return err
	}
	if s.start.Terms.Module.GossipAllowed {
		if s.gossip, err = peers.Listen(s.start.PeerListen, s.start.Peers, s.start.PeersAll, s.receiveGossip); err != nil {
			s.listener.Close()
			return err
		}
		s.loop.sendGossip = s.gossip.Tell
		if s.operator.Crew.On {
			s.openMembership()
		}
	} else if s.operator.Crew.On {
		s.listener.Close()
		return errors.New("operators' file: crew.on: the settings do not let brokers talk (permissions.peers)")
	}
	if s.operator.Listed() {
		s.openCachedList()
	}
	if s.operator.Linked() {
		if err := s.openSiteLinks(); err != nil {
			s.listener.Close()
			return err
		}
	}
	if s.operator.Agreed() {
		if err := s.openControlPlane(); err != nil {
			s.listener.Close()
			return err
		}
	}
	s.openIngress()
	return nil
}

// openIngress makes what serves the client connections of the listener.
func (s *Server) openIngress() {
	t := &s.start.Terms
	descriptors := s.shareDescriptors()
	options := ingress.Options{Limits: ingress.Limits{
		Connections: descriptors.clients,
		Used:        descriptors.usedClients,
		ReadGrace:   t.Dial,
		AcceptTail:  stopTaking,
	}}
	if s.loop.readPins != nil {
		options.IgnoredReadHints = &s.loop.readPins.ignoredHints
	}
	s.ingress = ingress.New(s.listener, s, options)
}

// descriptors is how many file descriptors each kind of connection may hold.
type descriptors struct {
	nodes       int
	clients     int
	usedClients int // that have brought a request
}

func (s *Server) shareDescriptors() (d descriptors) {
	sockets := s.start.Limits.Sockets
	if s.siteLinks != nil {
		sockets -= len(s.operator.Sites.Targets) + s.operator.Sites.MostLinks + 1
	}
	if s.controlPlane != nil {
		sockets -= 2*s.operator.Fleet.Followers + 2*len(s.operator.Fleet.Voters) + 1
	}
	d.nodes = max(1, (sockets-spareSockets)/nodeSocketsDivisor)
	d.clients = max(1, sockets-spareSockets-d.nodes)
	d.usedClients = max(1, sockets/clientSocketsDivisor*3/4)
	return d
}

// Run serves until stop is told, then answers what it has and returns.
func (s *Server) Run(stop <-chan struct{}) error {
	t := &s.start.Terms
	descriptors := s.shareDescriptors()
	streams := t.Streams
	if s.operator.Back.Protocol != "" {
		streams = 1 // a session does one thing at a time
	}
	limits := store.Limits{Streams: streams, Idle: t.Idle, Dial: t.Dial, Silent: t.LongestTimeout(), Conns: descriptors.nodes}
	s.loop.pool = store.NewPool(s.ctx, limits, store.DialTCP, s.loop.since, s.group.Go,
		func(e store.Event) { s.deliver(e) }, s.loop.attemptEnded)
	s.loop.pool.Probed = s.loop.healthCheckEnded
	if s.controlPlane != nil && s.operator.Fleet.Budgets {
		s.openConnLeases(streams)
	}
	if s.loop.readPins != nil {
		s.loop.pool.KeepReports()
	}
	if s.operator.Back.Protocol != "" {
		s.loop.pool.Carry(back.Carrier(s.ctx, back.Options{Protocol: s.operator.Back.Protocol, Database: s.operator.Back.Database, Dial: t.Dial,
			Now: s.loop.since, Post: func(e store.Event) { s.deliver(e) }}))
	}
	if s.loop.cachedList == nil {
		s.loop.handleList(s.initialList, nil)
	} else {
		s.loop.applyList(s.initialList)
		s.group.Go(func() error {
			return s.listStore.Run(s.ctx, func(a nodelist.OperatorRequest) { s.deliver(a) })
		})
	}
	s.group.Go(func() error { return s.loop.run(s.ctx) })
	if s.loop.admission != nil {
		s.group.Go(func() error { return s.loop.admission.schedulingDelay.run(s.ctx) })
	}
	s.group.Go(func() error { return s.discoveryClient.Run(s.ctx) })
	if s.gossip != nil {
		s.group.Go(func() error { return s.gossip.Send(s.ctx) })
		s.group.Go(func() error { return s.gossip.Hear(s.ctx) })
	}
	if s.seedStore != nil {
		s.group.Go(func() error { return s.seedStore.Run(s.ctx) })
	}
	if s.siteLinks != nil {
		s.runSiteLinks()
	}
	if s.controlPlane != nil {
		s.runControlPlane()
	}
	s.group.Go(func() error { return s.ingress.Run(s.ctx) })
	for _, f := range s.fronts {
		s.serving.Add(1)
		s.group.Go(func() error {
			defer s.serving.Done()
			return f.Serve(s.ctx)
		})
	}
	slog.Info("serving", "name", s.start.Name, "at", s.listener.Addr(), "nodes", len(s.initialList.Nodes),
		"clients", descriptors.clients, "node_connections", descriptors.nodes)
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
