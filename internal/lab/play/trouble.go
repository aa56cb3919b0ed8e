package play

// This file owns all that a script does to a node.

import (
	"flaxfront/internal/discovery"
	"flaxfront/internal/lab/script"
)

// trouble is what the script does to the node.
func (n *node) trouble(e *script.Event) {
	if !n.dead && n.gone == 0 { // else it took nothing over
		n.rep.advance(n.now, n.w.script.Reads.CatchUp)
	}
	switch e.Action {
	case script.Lags:
		n.rep.until = max(n.rep.until, n.now+e.Span)
	case script.RollsBack:
		n.rep.of -= e.Span
	case script.Dies, script.Leaves:
		n.dead = true
		n.lose()
	case script.Vanishes:
		n.gone++
	case script.Returns:
		if n.gone > 0 { // its machine is back; what it had open is not
			if n.gone--; n.gone == 0 {
				n.rep.at = n.now
				n.reset()
			}
			return
		}
		n.restart()
	case script.Arrives:
		n.drained = false
		n.restart()
	case script.Drains:
		n.drained = true
	case script.Hangs:
		n.hung++
		n.queue = nil
		clear(n.cores)
	case script.Resumes:
		n.hung = max(0, n.hung-1)
	case script.Stalls:
		n.still = max(n.still, n.now+e.Span)
		n.send(n.id, n.still, kResume, 0, 0, nil)
	}
}

// reset breaks all connections.
func (n *node) reset() {
	for len(n.links) > 0 {
		l := n.links[len(n.links)-1]
		n.drop(l)
		n.by.tally.work.Resets++
		n.send(l.from, n.stream(n.zone, l.zone, &l.last), kDown, downReset, l.id, nil)
	}
}

// lose drops all that the process had.
func (n *node) lose() {
	n.reset()
	n.queue = nil
	clear(n.cores)
}

func (n *node) restart() {
	n.start0++
	n.dead, n.fallen, n.hung, n.still, n.cold, n.boot = false, false, 0, 0, true, n.now
	n.recent, n.sum = nil, 0
	n.rep.at = n.now           // it took nothing over meanwhile
	if len(n.w.workers) == 1 { // else nobody may look in
		n.w.byID[discovery.IDOfName(nodeName(n.n, n.start0))] = n
	}
}
