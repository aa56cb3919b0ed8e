package server

// This file owns the loop's count of what became of searches. Nothing decides by it.

import (
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/transport/store"
)

// QueryCounters counts searches: Taken = Answered + Shed + Errored + Left + InHand.
type QueryCounters struct {
	Taken, Answered, Shed, Errored, Left, InHand uint64
	Partial                                      uint64 // of those answered
	TurnedAway                                   uint64 `json:",omitempty"` // of those shed: by the door
	Full                                         uint64 // of those shed: no place or descriptor was left
	Turns, Subrequests                           uint64
	ListsTaken, ListsFailed                      uint64
	Nodes, NodeConns                             int // now
	Out, OutByModule, ShutOut                    int // parts out, on the wire and as the module counts; nodes it shuts out
	Store                                        store.Counts
	Trust                                        *cachedlist.Counts `json:",omitempty"` // where a list is kept
	Door                                         *AdmissionState    `json:",omitempty"` // where there is one
	Gateway                                      *GatewayState      `json:",omitempty"` // where there is one
	Crew                                         *MembershipState   `json:",omitempty"` // where brokers keep company
	Fleet                                        *ControlPlaneState `json:",omitempty"` // where brokers agree
	Pins                                         *ReadPinState      `json:",omitempty"` // where hints on reads are obeyed
}
