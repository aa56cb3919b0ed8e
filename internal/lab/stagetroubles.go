package lab

// This file owns what goes wrong on a stage, and the lines of its node list.

import (
	"time"

	"flaxfront/internal/lab/script"
)

// troubles does to nodes and discovery what the script says, when it says so.
func (st *Stage) troubles(stop <-chan struct{}) {
	type step struct {
		at time.Duration
		do func()
	}
	var steps []step
	for _, e := range st.plan.Events {
		n := st.Nodes[e.Node]
		switch e.Does {
		case script.Dies:
			steps = append(steps, step{e.At, func() { n.Turn(Dead) }}, step{e.At + st.s.List.Delay, func() { st.line(e.Node, "terminated") }})
		case script.Returns:
			steps = append(steps, step{e.At, func() {
				st.born(e.Node)
				n.Turn(Serving)
			}}, step{e.At + st.s.List.Delay, func() { st.line(e.Node, "in_service") }})
		case script.Hangs:
			steps = append(steps, step{e.At, func() { n.Turn(Hanging) }})
		case script.Resumes:
			steps = append(steps, step{e.At, func() { n.Turn(Serving) }})
		}
	}
	for _, d := range st.plan.Down {
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
		now := time.Since(st.began)
		for i := 0; i < len(steps); i++ {
			if steps[i].at <= now {
				steps[i].do()
				steps = append(steps[:i], steps[i+1:]...)
				i--
			}
		}
		for i, n := range st.Nodes {
			n.mu.Lock()
			n.box.Mean = st.work(i, now)
			n.mu.Unlock()
		}
	}
}

// born has a node be a new process, cold.
func (st *Stage) born(node int) {
	n := st.Nodes[node]
	n.mu.Lock()
	defer n.mu.Unlock()
	n.box.Began = time.Since(n.began)
	n.box.cores = make([]time.Duration, st.s.Fleet.Cores)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.List[node].StartedAt = time.Now().UnixMilli()
}

// line changes a node's line of the list; what has ended is left out.
func (st *Stage) line(node int, state string) {
	st.mu.Lock()
	st.List[node].Lifecycle = state
	var list []Instance
	for _, l := range st.List {
		if l.Lifecycle != "terminated" {
			list = append(list, l)
		}
	}
	st.mu.Unlock()
	st.Discovery.Set(list)
}
