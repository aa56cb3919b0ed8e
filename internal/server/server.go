// Package server implements a broker: client connections on one side, nodes, discovery and other brokers on the other, and between them the
// event loop, which alone calls the router.
//
// New makes a Server, Open opens its listeners, and Run serves until a graceful shutdown has answered the queries in flight. Reload changes
// the configuration meanwhile. Core is the same broker without goroutines and sockets, for the simulation.
//
// One goroutine, the event loop, owns every query in flight, the pool of connections to nodes, the router and the extensions (see
// extension). All other goroutines, such as the one of each client connection, only deliver messages to it.
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
	"flaxfront/internal/decision/usedids"
	"flaxfront/internal/discovery"
	"flaxfront/internal/discovery/nodelist"
	"flaxfront/internal/server/ingress"
	"flaxfront/internal/transport/clientconn"
	"flaxfront/internal/transport/keys"
	"flaxfront/internal/transport/link"
	"flaxfront/internal/transport/peers"
)

// Some of the file descriptors are reserved for what is neither a client nor a node connection; nodes get a third of the others. By the
// protocol, clients may use a third of all for requests; three quarters of these are kept open between requests.
const (
	reservedSockets      = 16 // standard streams, poller, listener, gossip, three polls of discovery, connections that are closing
	spareSockets         = reservedSockets + clientconn.Overflow
	nodeSocketsDivisor   = 3
	clientSocketsDivisor = 3
)

// Server is one broker.
type Server struct {
	start    *terms.Config
	operator *operator.File
	settings atomic.Pointer[terms.Terms] // in force
	loop     *loop
	memory   memoryBudgets // since Open

	// lifetime: all goroutines of the server end with ctx
	group         *errgroup.Group
	ctx           context.Context
	cancel        context.CancelFunc
	draining      atomic.Bool
	stopRequested atomic.Int64 // when the shutdown was requested, in ns since the start
	timeAfter     func(time.Duration) <-chan time.Time

	// discovery
	reader           discovery.Reader
	discoveryClient  *discovery.Client
	discoveryAddress netip.AddrPort
	initialList      *discovery.List // the endpoint list to start with
	listConfigured   bool            // the configuration contains an endpoint list
	listStore        *nodelist.Store // nil: no list is cached

	// clients
	listener      net.Listener
	ingress       *ingress.Ingress
	countersText  countersText
	fronts        []Front
	servingFronts sync.WaitGroup // fronts whose Serve has not returned

	// other brokers
	gossip       *peers.Socket     // nil: the settings do not allow gossip
	seedStore    *seeds.Writer     // nil: members' addresses are not stored
	controlPlane *tierControlPlane // nil: there is no control plane
	siteKeys     *keys.Keyring     // nil: there is no gateway
	siteLinks    *link.Links       // nil: there is no gateway
	siteListener net.Listener      // nil: brokers of other sites do not connect to this one
}

// New returns a broker for a configuration and opens nothing yet. Its errors say what is wrong with the configuration.
func New(start *terms.Config, file *operator.File, newRouter func(decision.Settings) decision.Router) (*Server, error) {
	t := &start.Terms
	s := &Server{start: start, operator: file, discoveryAddress: start.Discovery, timeAfter: time.After}
	s.settings.Store(t)
	s.loop = newLoop(time.Now(), newRouter(t.Module), &t.Module)
	s.loop.settings = t
	s.loop.usedIDs = usedids.New(start.Limits.MemoryMB << 20 / usedIDMemoryShare)
	s.reader = discovery.Reader{Zones: t.Zones, CellCount: t.Module.Cells, StartedAt: s.loop.start}
	var err error
	s.initialList, s.listConfigured, err = checkConfiguration(start, s.reader)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group, s.ctx = errgroup.WithContext(ctx)
	s.discoveryClient = discovery.NewClient(start.Discovery.String(), s.reader, t.MaxPollInterval, s.initialList.Version, s.listConfigured,
		func(list *discovery.List, err error) { s.deliver(listReceived{list, err}) })
	if t.ListPushed {
		s.discoveryClient.UseLocalAgent()
	}
	s.loop.pollDiscovery = s.discoveryClient.Poll
	if file.Admission.On {
		admission, err := newAdmissionControl(&file.Admission, t)
		if err != nil {
			return nil, err
		}
		s.loop.useAdmission(admission)
	}
	if file.ControlPlaneSettings.Pins {
		s.loop.useReadPins(newReadPinTracker(&file.ControlPlaneSettings, t))
	}
	return s, nil
}

// ErrGossipNotAllowed is returned where the operators' file turns membership on and the settings do not let brokers communicate.
var ErrGossipNotAllowed = errors.New("operators' file: crew.on: the settings do not let brokers communicate (permissions.peers)")

// Open opens the broker's listeners and the cached list. Nothing is served yet. After an error the listener for clients is closed again.
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

// openPeers opens the connections and listeners for other brokers, and the cached list.
func (s *Server) openPeers() error {
	if err := s.openGossip(); err != nil {
		return err
	}
	if s.operator.NodeListEnabled() {
		s.openCachedList()
	}
	if s.operator.GatewayEnabled() {
		if err := s.openSiteLinks(); err != nil {
			return err
		}
	}
	if s.operator.ControlPlaneEnabled() {
		return s.openControlPlane()
	}
	return nil
}

// openGossip opens the gossip socket, and membership if it is on.
func (s *Server) openGossip() (err error) {
	if !s.start.Terms.Module.GossipAllowed {
		if s.operator.Membership.On {
			return ErrGossipNotAllowed
		}
		return nil
	}
	s.gossip, err = peers.Listen(s.start.PeerListen, s.start.Peers, s.start.PeersAll, s.receiveGossip)
	if err != nil {
		return err
	}
	s.loop.sendGossip = s.gossip.Broadcast
	if s.operator.Membership.On {
		s.openMembership()
	}
	return nil
}

// openIngress creates the ingress, which serves the client connections of the listener.
func (s *Server) openIngress() {
	t := &s.start.Terms
	descriptors := s.shareDescriptors()
	s.memory = newMemoryBudgets(s.start.Limits.MemoryMB, descriptors, s.siteListener != nil)
	s.loop.gateway.limitCachedResults(s.memory.plan.RemoteResults)
	options := ingress.Options{
		Limits: clientconn.Limits{
			Connections: s.memory.plan.Connections.Clients,
			Used:        descriptors.usedClients,
			ReadGrace:   t.Dial,
		},
		AcceptTail:      stopAcceptingAfter,
		Memory:          s.memory.requests,
		GuaranteedBytes: s.memory.plan.Guaranteed,
	}
	if s.loop.readPins != nil {
		options.IgnoredReadHints = &s.loop.readPins.ignoredHints
	}
	s.ingress = ingress.New(s.listener, s, options)
}

// descriptors is the number of file descriptors that each kind of connection may use.
type descriptors struct {
	nodes       int
	clients     int
	usedClients int // clients whose connection has carried a request
}

func (s *Server) shareDescriptors() (d descriptors) {
	sockets := s.start.Limits.Sockets
	if s.siteLinks != nil {
		sockets -= len(s.operator.Sites.Targets) + s.operator.Sites.MaxLinks + 1
	}
	if s.controlPlane != nil {
		sockets -= 2*s.operator.ControlPlaneSettings.FollowerLimit + 2*len(s.operator.ControlPlaneSettings.Voters) + 1
	}
	d.nodes = max(1, (sockets-spareSockets)/nodeSocketsDivisor)
	d.clients = max(1, sockets-spareSockets-d.nodes)
	d.usedClients = max(1, sockets/clientSocketsDivisor*3/4)
	return d
}
