package server

import (
	"net/netip"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
	"flaxfront/internal/discovery/nodelist"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/link"
	"flaxfront/internal/transport/store"
)

// message is delivered to the event loop. All its types are declared in this file.
type message interface{ sealed() }

// Messages that the loop handles itself.
type (
	queryReceived  struct{ query *activeQuery }
	queryAbandoned struct {
		query *activeQuery
		cause query.AbandonCause
	}
	connectionEvent struct{ store.Event } // event of a connection to a node
	listReceived    struct {
		list *discovery.List
		err  error
	}
	gossipReceived struct {
		from int
		text []byte
	}
	countersRequested struct{ reply chan QueryCounters }
	settingsChanged   struct {
		terms             *terms.Terms
		deploymentChanged bool            // the settings are for other shards or nodes
		list              *discovery.List // the known nodes of the new deployment; nil: none are known
		done              chan struct{}
	}
)

// Messages for membership.
type (
	memberDatagram struct {
		from netip.AddrPort
		data []byte
	}
	shutdownStarted struct{ done chan struct{} }
)

// Messages for the control plane and connection leases.
type (
	viewReceived   struct{ view *controlplane.View }
	drainAckFailed struct { // the proposal of a drain acknowledgement has ended, with whatever outcome
		node   decision.NodeID
		number uint64
	}
	// leaseReleaseRequested asks for all connections to nodes to be closed permanently. No query is in flight any more.
	leaseReleaseRequested struct{ reply chan leaseToRelease }
)

// Messages for read pins.
type (
	positionsRequested struct{ reply chan []byte }
	positionsReceived  struct {
		data        []byte
		collectedAt time.Duration // at the earliest, by the loop's clock
	}
	epochAgreed struct {
		number uint64
		nodes  []decision.NodeID
	}
)

type (
	operatorRequest struct{ nodelist.OperatorRequest } // for the cached list
	linkEvent       struct{ link.Event }               // for the gateway
)

func (queryReceived) sealed()         {}
func (queryAbandoned) sealed()        {}
func (connectionEvent) sealed()       {}
func (listReceived) sealed()          {}
func (gossipReceived) sealed()        {}
func (countersRequested) sealed()     {}
func (settingsChanged) sealed()       {}
func (memberDatagram) sealed()        {}
func (shutdownStarted) sealed()       {}
func (viewReceived) sealed()          {}
func (drainAckFailed) sealed()        {}
func (leaseReleaseRequested) sealed() {}
func (positionsRequested) sealed()    {}
func (positionsReceived) sealed()     {}
func (epochAgreed) sealed()           {}
func (operatorRequest) sealed()       {}
func (linkEvent) sealed()             {}
