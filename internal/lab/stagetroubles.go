package lab

// This file applies a script's faults to nodes and discovery on sockets, and updates the endpoint list.

import (
	"time"

	"flaxfront/internal/lab/script"
)

// applyFaults applies each fault of the schedule at its time, until stop is closed.
func (st *Rehearsal) applyFaults(stop <-chan struct{}) {
	type step struct {
		at time.Duration
		do func()
	}
	var steps []step
	for _, e := range st.schedule.Events {
		n := st.Nodes[e.Node]
		switch e.Action {
		case script.Dies:
			steps = append(steps, step{e.At, func() { n.SetMode(Dead) }}, step{e.At + st.s.List.Delay, func() { st.setLifecycle(e.Node, "terminated") }})
		case script.Returns:
			steps = append(steps, step{e.At, func() {
				st.restartNode(e.Node)
				n.SetMode(Serving)
			}}, step{e.At + st.s.List.Delay, func() { st.setLifecycle(e.Node, "in_service") }})
		case script.Hangs:
			steps = append(steps, step{e.At, func() { n.SetMode(Hanging) }})
		case script.Resumes:
			steps = append(steps, step{e.At, func() { n.SetMode(Serving) }})
		}
	}
	for _, d := range st.schedule.Down {
		steps = append(steps, step{d.From, st.Discovery.Down}, step{d.To, func() { st.Discovery.Up("") }})
	}
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		now := time.Since(st.startedAt)
		for i := 0; i < len(steps); i++ {
			if steps[i].at <= now {
				steps[i].do()
				steps = append(steps[:i], steps[i+1:]...)
				i--
			}
		}
		for i, n := range st.Nodes {
			n.mu.Lock()
			n.model.MeanWork = st.meanWork(i, now)
			n.mu.Unlock()
		}
	}
}

// restartNode makes a node behave like a new, cold process.
func (st *Rehearsal) restartNode(node int) {
	n := st.Nodes[node]
	n.mu.Lock()
	defer n.mu.Unlock()
	n.model.LastStart = time.Since(n.epoch)
	n.model.cores = make([]time.Duration, st.s.Fleet.Cores)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.List[node].StartedAt = time.Now().UnixMilli()
}

// setLifecycle changes the lifecycle of a node's entry; terminated nodes are left out of the list.
func (st *Rehearsal) setLifecycle(node int, state string) {
	st.mu.Lock()
	st.List[node].Lifecycle = state
	var list []Instance
	for _, l := range st.List {
		if l.Lifecycle != "terminated" {
			list = append(list, l)
		}
	}
	st.mu.Unlock()
	st.Discovery.SetList(list)
}
