package membership

import (
	"math"
	"slices"
	"time"
)

const (
	maxConfirmations = 3           // confirmations by further members that shorten the suspicion timeout to its minimum
	expiryInterval   = time.Second // between two searches for members to forget, while no member is suspect
)

// suspicion says since when a member is suspect, and who reported it.
type suspicion struct {
	startedAt time.Duration
	reporters []ID // this broker or others
}

// suspicionTimeout returns how long a member stays suspect before it is declared dead: the shorter, the more members confirm the
// suspicion.
func (d *Detector) suspicionTimeout(entry *memberEntry) time.Duration {
	logMembers := math.Max(1, math.Log10(float64(d.LivingCount())))
	shortest := d.policy.SuspicionFactor * logMembers * float64(d.policy.ProbeInterval)
	if d.policy.WithoutLifeguard {
		return time.Duration(shortest)
	}
	longest := d.policy.MaxSuspicionFactor * shortest
	confirmed := math.Log(float64(len(entry.suspicion.reporters))) / math.Log(maxConfirmations+1)
	return time.Duration(math.Max(shortest, longest-(longest-shortest)*confirmed))
}

func (d *Detector) suspicionEnd(entry *memberEntry) time.Duration {
	return entry.suspicion.startedAt + d.suspicionTimeout(entry)
}

// expireSuspicions declares suspect members dead when their timeout is over, and forgets members that died or left longer than
// Policy.ForgetAfter ago.
func (d *Detector) expireSuspicions(now time.Duration) {
	if d.suspectCount == 0 && now-d.lastExpiry < expiryInterval {
		return
	}
	d.lastExpiry = now
	for _, id := range d.ids {
		entry := d.entries[id]
		if entry.State == Suspect && now >= d.suspicionEnd(entry) {
			d.Counts.DeclaredDead++
			d.applyDead(id, entry.Incarnation, now)
		}
	}
	d.ids = slices.DeleteFunc(d.ids, func(id ID) bool {
		entry := d.entries[id]
		expired := !entry.State.isLiving() && now-entry.StateChangedAt > d.policy.ForgetAfter
		if expired {
			delete(d.entries, id)
		}
		return expired
	})
}
