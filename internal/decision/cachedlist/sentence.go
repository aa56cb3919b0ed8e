package cachedlist

import (
	"cmp"
	"slices"
	"time"
)

// This file owns the course of time: who is struck out, paroled and reported.

// DiscoveryFailed takes it that discovery can't be asked: from here on entries age, and what nodes show counts.
func (j *Evaluator) DiscoveryFailed() { j.told = false }

// Tick weighs what came since the last time and returns what the decision module is to be told, and when to come again.
func (j *Evaluator) Tick(now time.Duration) (facts []EndpointUpdate, next time.Duration) {
	if j.told || !j.fresh && !j.alike && now < j.due {
		return j.take(), j.due
	}
	j.fresh = false
	if alike := j.alikeNow(now); alike != j.alike {
		if j.alike = alike; alike {
			j.line("all nodes fail alike: taken for this broker's own network, none is struck out for it")
			for n := range j.suspects { // what they showed tells of the network, not of them
				n.odds = 1
			}
		} else {
			j.line("nodes no longer fail alike")
		}
	}
	j.due = never
	if j.alike {
		j.due = now + alikeWithin
	}
	hazard := j.hazard()
	for _, n := range j.order() {
		switch {
		case n.standing == Ejected:
			if !n.trial && n.until <= now {
				n.trial, n.odds = true, 1
				j.counts.Paroles++
				j.fact(n)
			}
		case j.alike || j.cells[n.cell] <= 1 || j.doubt(n, now, hazard) < j.policy.EjectionThreshold:
			// The last entry of a cell stays: never a state with no node to try.
		default:
			n.standing, n.wrong, n.parole = Ejected, true, j.policy.TrialInterval
			n.until = now + n.parole
			j.cells[n.cell]--
			j.proved++
			j.counts.Strikes++
			j.fact(n)
			j.line(n.name + " struck out: it is listed, but shows nothing of a node in service")
		}
		if n.standing == Ejected && !n.trial {
			j.due = min(j.due, n.until)
		}
	}
	return j.take(), j.due
}

// order gives the suspects, the likeliest wrong first, so that of a cell's last two the better one stays.
func (j *Evaluator) order() (of []*node) {
	for n := range j.suspects {
		of = append(of, n)
	}
	slices.SortFunc(of, func(x, y *node) int {
		return cmp.Or(cmp.Compare(y.odds, x.odds), cmp.Compare(y.age, x.age), cmp.Compare(x.name, y.name))
	})
	return of
}

func (j *Evaluator) line(text string) { j.lines = append(j.lines, text) }

// CollectLogLines gives what is worth a log line since the last call.
func (j *Evaluator) CollectLogLines() []string {
	lines := j.lines
	j.lines = nil
	return lines
}

// Snapshot counts entries by their standing.
func (j *Evaluator) Snapshot(now time.Duration) Counts {
	c := j.counts
	c.OwnNetwork, c.ListAge = j.alike, -1
	if j.book.Head.ConfirmedAt > 0 {
		c.ListAge = max(0, j.moment(now).Since(j.book.Head.ConfirmedAt))
	}
	for _, n := range j.nodes {
		switch n.standing {
		case Confirmed:
			c.Confirmed++
		case Unconfirmed:
			c.Doubtful++
		case Ejected:
			c.StruckOut++
		case Excluded:
			c.Barred++
		}
	}
	return c
}

// EntryAge is how long ago an entry was last confirmed, as of the start; false: nobody knows.
func (j *Evaluator) EntryAge(e *Entry) (time.Duration, bool) {
	age := j.age(e, 0)
	return age, age < j.policy.MaxAge || e.ConfirmedAt > 0 && e.ConfirmedAt <= j.start
}

// PriorErrorProbability is how likely an entry is wrong by its age alone.
func (j *Evaluator) PriorErrorProbability(e *Entry) float64 { return j.prior(j.age(e, 0), j.hazard()) }
