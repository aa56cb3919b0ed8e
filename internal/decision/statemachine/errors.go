package statemachine

import "fmt"

// UnknownEntryError is an entry of a newer version. Danger: a broker that skips what it can't read goes on with a different state from
// the others; from then on it applies nothing, holds on to what it has, and is to be brought up to date.
type UnknownEntryError struct {
	Index, Version, Kind uint64
}

func (u *UnknownEntryError) Error() string {
	return fmt.Sprintf("ledger: entry %d is of kind %d, version %d, which this program can't read: stopped before it",
		u.Index, u.Kind, u.Version)
}

// Remedy says what an operator can do.
func (u *UnknownEntryError) Remedy() string {
	return "start the newer version of the program on this broker; it goes on from the entry by itself"
}

// MalformedEntryError is an entry that no version has written. It changes nothing, at no broker.
type MalformedEntryError struct{ Kind uint64 }

func (m *MalformedEntryError) Error() string {
	return fmt.Sprintf("ledger: an entry of kind %d can't be read as one", m.Kind)
}

// Remedy says what an operator can do.
func (m *MalformedEntryError) Remedy() string {
	return "report it: a broker has proposed something that is no entry"
}

// AlreadyAppliedError is an entry that this machine has applied already, or that is older than one it has.
type AlreadyAppliedError struct{ Index, Applied uint64 }

func (r *AlreadyAppliedError) Error() string {
	return fmt.Sprintf("ledger: entry %d comes after entry %d was applied", r.Index, r.Applied)
}

// Remedy says what an operator can do.
func (r *AlreadyAppliedError) Remedy() string { return "none needed: it has taken effect once" }

// SnapshotError is a snapshot that can't be restored.
type SnapshotError struct{ Cause string }

func (d *SnapshotError) Error() string { return "ledger: snapshot can't be restored: " + d.Cause }

// Remedy says what an operator can do.
func (d *SnapshotError) Remedy() string {
	return "if its version is newer than the program, start the newer one; else remove the broker's copy: it is sent a new one"
}

// Reason is why an entry was refused.
type Reason uint8

const (
	ReasonForgotten      Reason = iota + 1 // a proposal so old that its result is forgotten
	ReasonFenced                           // of a leader that is none any more
	ReasonStale                            // of an incarnation, drain or grant that is not the present one
	ReasonNotFound                         // no such broker, node, release or permit
	ReasonWrongState                       // the release is not running, or has no such step
	ReasonAlreadyUsed                      // the permit has been used
	ReasonTierLimit                        // as many are out as may be
	ReasonZoneLimit                        // as many are out in the zone as may be
	ReasonTooFewReplicas                   // a shard would have too few ready holders
	ReasonNotDrained                       // brokers may still send to the node
	ReasonOverBudget                       // a node's units would not suffice
	ReasonInvalid                          // the entry contradicts itself or what is agreed
	ReasonBusy                             // another release runs, or another policy waits
	ReasonProtocol                         // a broker can't read that protocol
)

var reasons = [...][2]string{
	ReasonForgotten: {"a proposal so old that its result is forgotten", "look at the state, and ask again if it is still wanted"},
	ReasonFenced:    {"its proposer does not lead any more", "none needed: the present leader goes on"},
	ReasonStale: {"it speaks of an older incarnation, drain or grant",
		"none needed: the broker reads the present state and goes by it"},
	ReasonNotFound: {"what it speaks of is not known", "look at `flaxfront fleet status` for what there is"},
	ReasonWrongState: {"the release does not stand so that this could be done",
		"look at `flaxfront fleet status`: it may be halted, over or taken back"},
	ReasonAlreadyUsed: {"the permit was used before", "none needed: nobody goes out twice by it"},
	ReasonTierLimit: {"as many brokers are out as may be",
		"wait until those that are out are back, or forget one that never comes back"},
	ReasonZoneLimit: {"as many brokers of the zone are out as may be",
		"wait until those that are out are back, or forget one that never comes back"},
	ReasonTooFewReplicas: {"a shard would have fewer ready holders than it must keep",
		"bring holders of the shard back, or add some, before this one goes"},
	ReasonNotDrained: {"brokers may still send to the node",
		"wait until all have acknowledged the drain or their leases have run out"},
	ReasonOverBudget: {"a node has not so many units", "grant less, or wait for what others hold to be acknowledged or to run out"},
	ReasonInvalid:    {"it contradicts itself or what is agreed", "correct the request; the detail says where"},
	ReasonBusy:       {"another one is not over", "wait for it, or halt it and take it back"},
	ReasonProtocol: {"a broker of the tier can't read that protocol",
		"bring all brokers up to the version first, or forget those that are gone"},
}

// RejectedError is an entry that was applied everywhere and changed nothing but that.
type RejectedError struct {
	Reason Reason
	Detail string
}

func (r *RejectedError) Error() string {
	if int(r.Reason) >= len(reasons) {
		return "ledger: refused: " + r.Detail
	}
	return fmt.Sprintf("ledger: refused: %s (%s)", reasons[r.Reason][0], r.Detail)
}

// Remedy says what an operator can do.
func (r *RejectedError) Remedy() string {
	if int(r.Reason) >= len(reasons) {
		return "report it"
	}
	return reasons[r.Reason][1]
}

func refuse(r Reason, format string, args ...any) error {
	return &RejectedError{r, fmt.Sprintf(format, args...)}
}
