package statemachine

import "fmt"

// Unknown is an entry of a newer version. Danger: a broker that skips what it can't read goes on with a different state from
// the others; from then on it applies nothing, holds on to what it has, and is to be brought up to date.
type Unknown struct {
	Index, Version, Kind uint64
}

func (u *Unknown) Error() string {
	return fmt.Sprintf("ledger: entry %d is of kind %d, version %d, which this program can't read: stopped before it",
		u.Index, u.Kind, u.Version)
}

// Remedy says what an operator can do.
func (u *Unknown) Remedy() string {
	return "start the newer version of the program on this broker; it goes on from the entry by itself"
}

// Malformed is an entry that no version has written. It changes nothing, at no broker.
type Malformed struct{ Kind uint64 }

func (m *Malformed) Error() string {
	return fmt.Sprintf("ledger: an entry of kind %d can't be read as one", m.Kind)
}

// Remedy says what an operator can do.
func (m *Malformed) Remedy() string {
	return "report it: a broker has proposed something that is no entry"
}

// Replayed is an entry that this machine has applied already, or that is older than one it has.
type Replayed struct{ Index, Applied uint64 }

func (r *Replayed) Error() string {
	return fmt.Sprintf("ledger: entry %d comes after entry %d was applied", r.Index, r.Applied)
}

// Remedy says what an operator can do.
func (r *Replayed) Remedy() string { return "none needed: it has taken effect once" }

// Damaged is a snapshot that can't be restored.
type Damaged struct{ Why string }

func (d *Damaged) Error() string { return "ledger: snapshot can't be restored: " + d.Why }

// Remedy says what an operator can do.
func (d *Damaged) Remedy() string {
	return "if its version is newer than the program, start the newer one; else remove the broker's copy: it is sent a new one"
}

// Reason is why an entry was refused.
type Reason uint8

const (
	Repeated   Reason = iota + 1 // a proposal so old that its result is forgotten
	Fenced                       // of a leader that is none any more
	Stale                        // of an incarnation, drain or grant that is not the present one
	Absent                       // no such broker, node, release or permit
	Over                         // the release is not running, or has no such step
	Spent                        // the permit has been used
	TierFull                     // as many are out as may be
	ZoneFull                     // as many are out in the zone as may be
	HoldersFew                   // a shard would have too few ready holders
	Undrained                    // brokers may still send to the node
	OverBudget                   // a node's units would not suffice
	Wrong                        // the entry contradicts itself or what is agreed
	Busy                         // another release runs, or another policy waits
	Behind                       // a broker can't read that protocol
)

var reasons = [...][2]string{
	Repeated: {"a proposal so old that its result is forgotten", "look at the state, and ask again if it is still wanted"},
	Fenced:   {"its proposer does not lead any more", "none needed: the present leader goes on"},
	Stale: {"it speaks of an older incarnation, drain or grant",
		"none needed: the broker reads the present state and goes by it"},
	Absent: {"what it speaks of is not known", "look at `flaxfront fleet status` for what there is"},
	Over: {"the release does not stand so that this could be done",
		"look at `flaxfront fleet status`: it may be halted, over or taken back"},
	Spent: {"the permit was used before", "none needed: nobody goes out twice by it"},
	TierFull: {"as many brokers are out as may be",
		"wait until those that are out are back, or forget one that never comes back"},
	ZoneFull: {"as many brokers of the zone are out as may be",
		"wait until those that are out are back, or forget one that never comes back"},
	HoldersFew: {"a shard would have fewer ready holders than it must keep",
		"bring holders of the shard back, or add some, before this one goes"},
	Undrained: {"brokers may still send to the node",
		"wait until all have acknowledged the drain or their leases have run out"},
	OverBudget: {"a node has not so many units", "grant less, or wait for what others hold to be acknowledged or to run out"},
	Wrong:      {"it contradicts itself or what is agreed", "correct the request; the detail says where"},
	Busy:       {"another one is not over", "wait for it, or halt it and take it back"},
	Behind: {"a broker of the tier can't read that protocol",
		"bring all brokers up to the version first, or forget those that are gone"},
}

// Refused is an entry that was applied everywhere and changed nothing but that.
type Refused struct {
	Reason Reason
	Detail string
}

func (r *Refused) Error() string {
	if int(r.Reason) >= len(reasons) {
		return "ledger: refused: " + r.Detail
	}
	return fmt.Sprintf("ledger: refused: %s (%s)", reasons[r.Reason][0], r.Detail)
}

// Remedy says what an operator can do.
func (r *Refused) Remedy() string {
	if int(r.Reason) >= len(reasons) {
		return "report it"
	}
	return reasons[r.Reason][1]
}

func refuse(r Reason, format string, args ...any) error {
	return &Refused{r, fmt.Sprintf(format, args...)}
}
