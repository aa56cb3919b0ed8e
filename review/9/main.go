// Command 9 plays case 9: a broker of a fleet of 800 nodes is led to another discovery address by SIGHUP, and nodes drain.
package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"flaxfront/review/rig"
)

const (
	cells      = 200
	holders    = 4 // of each shard
	perCell    = 3 // shards
	workTime   = 120 * time.Millisecond
	between    = 50 * time.Millisecond // two queries
	parts      = 4
	calm       = 2 * time.Second
	oldCloses  = 1500 * time.Millisecond // after SIGHUP
	toldWithin = 6 * time.Second
	grace      = 500 * time.Millisecond
	slack      = 250 * time.Millisecond
	watched    = 12 * time.Second
)

// site is that of nairobi-main, with four times the nodes of the largest day.
var site = rig.Site{
	Zones: []string{"westlands", "mombasa-rd"},
	Classes: []rig.Class{
		{Name: "audit-report", Aim: 2500 * time.Millisecond, Deadline: 5 * time.Second, Effect: "read_like", Floor: 0.5},
		{Name: "doc-find", Aim: 2 * time.Second, Deadline: 4 * time.Second, Effect: "read_like", Floor: 1},
	},
	Tenants: []string{"tuko-sacco", "pwani-law"},
	Cells:   cells, Shards: cells * perCell, Streams: 32, Idle: 30 * time.Second, MaxOpen: 282, DrainGrace: grace,
}

func main() { rig.Play(play) }

func play(r *rig.Run) {
	var nodes, draining []*rig.Node
	for i := range cells * holders {
		n := r.StartNode(fmt.Sprintf("s-%08x", 0x10000+i), i%cells, func(*rig.Part) rig.Reply {
			return rig.Reply{After: workTime, Value: "5be2a07c19f04d63"}
		})
		nodes = append(nodes, n)
		if i < cells {
			draining = append(draining, n) // a quarter, one of each cell
		}
	}
	list := rig.ListOf("westlands", nodes...)
	old := r.StartDiscovery(list)
	c := &rig.Config{Name: "n0", Discovery: old.Addr, Settings: site.Settings(),
		Extra: map[string]any{"known": map[string]any{"generation": rig.FirstGeneration, "reset": true, "instances": list}}}
	b := r.StartBroker(c)
	ask(r, b, calm)
	current := old
	if r.Trouble {
		current = r.StartDiscoveryAt(list, 7)
		c.Discovery = current.Addr
		b.WriteConfig(c)
		b.Signal(syscall.SIGHUP)
		old.Leave(oldCloses)
	}
	r.Note("%d of %d nodes begin to drain", len(draining), len(nodes))
	current.SetLifecycle("terminating", draining...)
	began := time.Now()
	ask(r, b, watched)
	late, on := 0, 0
	for _, n := range draining {
		before := late
		for _, p := range n.Parts() {
			if p.At.Sub(began) > toldWithin+grace+slack {
				late++
			}
		}
		if late > before {
			on++
		}
	}
	if late > 0 {
		r.Broken("%d draining nodes were sent %d parts later than %v after discovery had the change and could be reached", on, late, toldWithin+grace+slack)
	}
}

// ask sends queries for a time.
func ask(r *rig.Run, b *rig.Broker, during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(between) {
		q := rig.Request{Class: "doc-find", Tenant: "tuko-sacco", Timeout: 4 * time.Second, Statement: "c41e77d0"}
		from := rand.IntN(site.Shards - parts)
		for i := range parts {
			q.Shards = append(q.Shards, from+i)
		}
		go func() {
			a := q.Send(b.Listen)
			r.Note("query %s: sent at %.3f, answered at %.3f with status %d", q.ID, r.Since(a.Sent), r.Since(a.At), a.Status)
		}()
	}
}
