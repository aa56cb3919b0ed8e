// Package server is a broker: client connections on one side, nodes, discovery and other brokers on the other, and between them the event
// loop, which alone calls the router.
//
// A Server is made by New, opened by Open and served by Run, which returns once a graceful shutdown has answered what was in flight. Reload
// changes its configuration meanwhile. Core is the same broker without goroutines and sockets, for the simulation.
//
// One goroutine, the loop, owns every query in flight, the pool of connections to nodes, the router and the extensions (see extension). All
// others, one a client connection among them, only deliver messages to it.
package server

import (
	"context"
	"errors"
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
	"flaxfront/internal/server/ingress"
	"flaxfront/internal/transport/keys"
	"flaxfront/internal/transport/link"
	"flaxfront/internal/transport/peers"
)

// Of the file descriptors some are reserved for what is neither a client's nor a node's; nodes get a third of the others. The protocol lets
// clients hold a third of all for requests; three quarters of these are kept open between requests.
const (
	reservedSockets      = 16 // standard streams, poller, listener, gossip, three polls of discovery, connections that are closing
	spareSockets         = reservedSockets + ingress.Overflow
	nodeSocketsDivisor   = 3
	clientSocketsDivisor = 3
)

// Server is one broker.
type Server struct {
	start    *terms.Start
	operator *operator.File
	settings atomic.Pointer[terms.Terms] // in force
	loop     *loop

	// life: everything that serves ends with ctx
	group         *errgroup.Group
	ctx           context.Context
	cancel        context.CancelFunc
	draining      atomic.Bool
	stopRequested atomic.Int64 // when the shutdown was requested, since the start
	timeAfter     func(time.Duration) <-chan time.Time

	// discovery
	reader           discovery.Reader
	discoveryClient  *discovery.Client
	discoveryAddress netip.AddrPort
	initialList      *discovery.List // that it starts with
	listConfigured   bool            // the configuration has one
	listStore        *nodelist.Store // nil: no list is cached

	// clients
	listener      net.Listener
	ingress       *ingress.Ingress
	fronts        []Front
	servingFronts sync.WaitGroup // fronts

	// other brokers
	gossip       *peers.Link       // nil: the settings do not allow it
	seedStore    *seeds.Writer     // nil: members' addresses are not stored
	controlPlane *tierControlPlane // nil: there is none
	siteKeys     *keys.Keyring     // nil: there is no gateway
	siteLinks    *link.Links       // nil: there is no gateway
	siteListener net.Listener      // nil: no broker of another site connects here
}

// New makes a broker of its configuration; nothing is opened yet. Its errors tell what is wrong with the configuration.
func New(start *terms.Start, file *operator.File, newRouter func(decision.Settings) decision.Router) (*Server, error) {
	t := &start.Terms
	s := &Server{start: start, operator: file, discoveryAddress: start.Discovery, timeAfter: time.After}
	s.settings.Store(t)
	s.loop = newLoop(time.Now(), newRouter(t.Module), &t.Module)
	s.loop.settings = t
	s.reader = discovery.Reader{Zones: t.Zones, CellCount: t.Module.Cells, StartedAt: s.loop.start}
	var err error
	s.initialList, s.listConfigured, err = checkConfiguration(start, s.reader)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group, s.ctx = errgroup.WithContext(ctx)
	s.discoveryClient = discovery.NewClient(start.Discovery.String(), s.reader, t.AskEvery, s.initialList.Version, s.listConfigured,
		func(list *discovery.List, err error) { s.deliver(listReceived{list, err}) })
	if t.Pushed {
		s.discoveryClient.UseLocalAgent()
	}
	s.loop.pollDiscovery = s.discoveryClient.Poll
	if file.Door.On {
		admission, err := newAdmissionControl(&file.Door, t)
		if err != nil {
			return nil, err
		}
		s.loop.useAdmission(admission)
	}
	if file.Fleet.Pins {
		s.loop.useReadPins(newReadPinTracker(&file.Fleet, t))
	}
	return s, nil
}

// ErrGossipNotAllowed tells that the operators' file asks for membership where the settings do not let brokers communicate.
var ErrGossipNotAllowed = errors.New("operators' file: crew.on: the settings do not let brokers talk (permissions.peers)")

// Open opens what the broker listens on. It serves nothing yet. After an error the listener for clients is closed again.
func (s *Server) Open() (err error) {
	s.listener, err = net.Listen("tcp", s.start.Listen.String())
	if err != nil {
		return err
	}
	if err := s.openPeers(); err != nil {
		s.listener.Close()
		return err
	}
	s.openIngress()
	return nil
}

// openPeers opens what connects to other brokers, and the cached list.
func (s *Server) openPeers() error {
	if err := s.openGossip(); err != nil {
		return err
	}
	if s.operator.Listed() {
		s.openCachedList()
	}
	if s.operator.Linked() {
		if err := s.openSiteLinks(); err != nil {
			return err
		}
	}
	if s.operator.Agreed() {
		return s.openControlPlane()
	}
	return nil
}

// openGossip opens the socket between brokers, and membership.
func (s *Server) openGossip() (err error) {
	if !s.start.Terms.Module.GossipAllowed {
		if s.operator.Crew.On {
			return ErrGossipNotAllowed
		}
		return nil
	}
	s.gossip, err = peers.Listen(s.start.PeerListen, s.start.Peers, s.start.PeersAll, s.receiveGossip)
	if err != nil {
		return err
	}
	s.loop.sendGossip = s.gossip.Tell
	if s.operator.Crew.On {
		s.openMembership()
	}
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
		AcceptTail:  stopAcceptingAfter,
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
