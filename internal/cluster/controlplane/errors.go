package controlplane

import (
	"errors"
	"fmt"

	"flaxfront/internal/decision/statemachine"
)

// Unfit refuses to start a voter without what it needs.
type Unfit struct{ Name string }

func (e *Unfit) Error() string {
	return fmt.Sprintf("%s is one of fleet.voters, but has no fleet.directory or no fleet.listen", e.Name)
}

// Remedy tells what an operator can do.
func (e *Unfit) Remedy() string {
	return "give this broker both; the directory lasts over restarts and is of this broker alone"
}

// Uncertain ends a proposal of which it is not known whether it took effect.
type Uncertain struct{ Why error }

func (e *Uncertain) Error() string {
	return fmt.Sprintf("not agreed in time (%v); it may yet take effect", e.Why)
}
func (e *Uncertain) Unwrap() error { return e.Why }

// Remedy tells what an operator can do.
func (e *Uncertain) Remedy() string {
	return "look at `flaxfront fleet status` before asking again; if it lasts, see that a majority of the voters runs"
}

// Elsewhere refuses what only the leader may answer.
type Elsewhere struct{ Leader string } // its name; empty: none is known

func (e *Elsewhere) Error() string {
	if e.Leader == "" {
		return "no leader is known here"
	}
	return e.Leader + " leads"
}

// Remedy tells what an operator can do.
func (e *Elsewhere) Remedy() string {
	if e.Leader == "" {
		return "see that a majority of the voters runs and that they reach one another; searches go on meanwhile"
	}
	return "ask there"
}

// BadRequest refuses what an operator asked for.
type BadRequest struct{ What string }

func (e *BadRequest) Error() string { return e.What }

// Remedy tells what an operator can do.
func (e *BadRequest) Remedy() string {
	return "correct the request; `flaxfront fleet --help` tells the verbs"
}

// SlotTaken tells that another broker of the tier has this one's place.
type SlotTaken struct {
	Slot statemachine.Slot
	By   string
}

func (e *SlotTaken) Error() string {
	return fmt.Sprintf("slot %d is that of %s, which lives", e.Slot, e.By)
}

// Remedy tells what an operator can do.
func (e *SlotTaken) Remedy() string {
	return "give each broker a fleet.slot of its own, and restart the one that has the wrong one"
}

// Refusal is a fault as it came over the wire.
type Refusal struct{ Fault, Advice string }

func (e *Refusal) Error() string { return e.Fault }

// Remedy tells what an operator can do.
func (e *Refusal) Remedy() string { return e.Advice }

func unknown(err error) bool { return errors.As(err, new(*statemachine.UnknownEntryError)) }

// remedyOf is an error's own advice, if it has some.
func remedyOf(err error) string {
	var r interface{ Remedy() string }
	if errors.As(err, &r) {
		return r.Remedy()
	}
	return ""
}
