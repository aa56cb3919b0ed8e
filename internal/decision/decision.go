// Package decision defines the interface between the routing decisions and the front end that carries the traffic. It holds types
// only: the events that a front end delivers, the actions that it carries out, and the settings of a deployment.
//
// Every point in time is given as the time since the broker's start. Nothing here is locked: the slices of events and actions belong
// to the caller of Router.Step, and a Router keeps no reference to them after the call. The package imports no other package of this
// module.
package decision

import (
	"fmt"
	"time"
)

// NodeID identifies a store node by its IPv4 address and port.
type NodeID struct {
	Addr [4]byte
	Port uint16
}

// String returns the address and port in hexadecimal, as log lines show them.
func (id NodeID) String() string { return fmt.Sprintf("%x/%04x", id.Addr, id.Port) }

// Router makes the routing decisions. It does no I/O, reads no clock and is called by one goroutine.
type Router interface {
	// Step handles all events since the last call, in their order of arrival, and appends the resulting actions to actions.
	Step(now time.Duration, events []Event, actions []Action) []Action
}
