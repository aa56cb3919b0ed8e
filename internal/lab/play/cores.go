package play

// This file owns a node's cores: what waits for them, what they work on, and the answers.

import (
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/transport/store"
)

func (n *node) take(j *job) {
	n.queue = append(n.queue, j)
	n.fill()
}

// fill gives idle cores what waits.
func (n *node) fill() {
	if n.dead || n.fallen || n.hung > 0 || n.now < n.still {
		return
	}
	for c := range n.cores {
		for n.cores[c] == nil && len(n.queue) > 0 {
			j := n.queue[0]
			n.queue[0] = nil
			n.queue = n.queue[1:]
			if j.off || j.conn.shut && j.id == "" {
				continue
			}
			n.jobs++
			j.n = n.jobs
			n.cores[c] = j
			if j.id != "" {
				j.version, j.report = n.read(j.id)
			}
			took := time.Duration(float64(j.work) / n.capacity() * n.w.plan.Slow(n.n, n.now))
			n.send(n.id, n.now+took, kDone, int32(c), j.n, nil)
		}
	}
}

// done ends the work on a part, or puts its end off while the node stands still.
func (n *node) done(core int, number uint64) {
	j := n.cores[core]
	switch {
	case j == nil || j.n != number:
		return
	case n.now < n.still:
		n.send(n.id, n.still, kDone, int32(core), number, nil)
		return
	}
	n.cores[core] = nil
	if j.id != "" {
		k := &n.by.tally.work
		a := store.Answer{ID: j.id, Result: store.Served, Value: value(j.id) + j.version, Report: j.report}
		if errs := n.w.plan.ErrorShare(n.n, n.now); errs > 0 && n.rnd.Float64() < errs {
			a.Result, a.Value = store.Broke, ""
			k.Broke++
		} else {
			k.Served++
			n.served++
		}
		n.effect(j)
		n.answer(j.conn, a)
	}
	n.fill()
}

// effect tells the auditor of what must not run twice.
func (n *node) effect(j *job) {
	if j.effect != decision.Idempotent {
		n.send(idAuditor, n.now, kRan, int32(j.effect), hashOf(j.id), ran{j.id, j.sent})
	}
}

func (n *node) answer(l *link, a store.Answer) {
	if l.shut || n.gone > 0 {
		return
	}
	n.send(l.from, n.stream(n.zone, l.zone, &l.last), kAnswer, 0, l.id, &a)
}

// cancel gives a part up that waits, where nodes do that.
func (n *node) cancel(id string) {
	if n.w.script.Fleet.DropsCancelled {
		for _, j := range n.queue {
			if j.id == id {
				j.off = true
			}
		}
	}
}
