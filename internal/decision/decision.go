// Package decision is the boundary between the routing decisions and whatever carries their traffic. It holds types only: the
// events that a front end delivers, the actions that it carries out, and the settings of a deployment.
//
// Every time is a span since the broker's start. Values have no locks: a slice of events or actions belongs to the caller of
// Router.Step, and is not kept beyond the call. The package imports nothing else of this module.
package decision

import (
	"fmt"
	"time"
)

// NodeID names a store node by its IPv4 address and port.
type NodeID struct {
	Addr [4]byte
	Port uint16
}

// String is the address and port in hexadecimal, as log lines write them.
func (id NodeID) String() string { return fmt.Sprintf("%x/%04x", id.Addr, id.Port) }

// Router makes the routing decisions. It does no I/O, reads no clock and is called by one goroutine.
type Router interface {
	// Step takes all events since the last call, in their order of arrival, and appends the actions they lead to.
	Step(now time.Duration, events []Event, actions []Action) []Action
}
