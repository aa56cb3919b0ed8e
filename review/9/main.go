// Command 9 plays case 9: idle clients fill the descriptors of a broker with SRU and Z39.50 fronts while discovery is down for a while.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/review/rig"
)

const (
	cells    = 3
	holders  = 4 // of each shard
	shards   = 9
	sockets  = 256
	workTime = 120 * time.Millisecond

	libraryClients = 63  // idle ones of each of the two fronts, one less than their settings allow by default
	silentClients  = 400 // of HTTP
	recordBytes    = 1 << 20
	redial         = 10 * time.Millisecond
	outage         = 4 * time.Second
	toldWithin     = 6 * time.Second // from when discovery has a change and can be reached
	grace          = 500 * time.Millisecond
	slack          = 250 * time.Millisecond
	watched        = 12 * time.Second // after discovery's return
	between        = 100 * time.Millisecond
	calm           = time.Second
	patience       = 5 * time.Second
)

// site is that of nairobi-main.
var site = rig.Site{
	Zones: []string{"westlands", "mombasa-rd"},
	Classes: []rig.Class{
		{Name: "audit-report", Aim: 2500 * time.Millisecond, Deadline: 5 * time.Second, Effect: "read_like", Floor: 0.5},
		{Name: "doc-find", Aim: 2 * time.Second, Deadline: 4 * time.Second, Effect: "read_like", Floor: 1},
	},
	Tenants: []string{"tuko-sacco", "pwani-law"},
	Cells:   cells, Shards: shards, Streams: 32, Idle: 30 * time.Second, MaxOpen: 282, DrainGrace: grace,
}

func main() { rig.Play(play) }

func play(r *rig.Run) {
	var nodes []*rig.Node
	for i := range cells * holders {
		nodes = append(nodes, r.StartNode(fmt.Sprintf("s-%08x", 0xa000+i), i%cells, func(p *rig.Part) rig.Reply {
			record := fmt.Sprintf("<dc><title>document of shard %d</title></dc>", p.Shard)
			return rig.Reply{After: workTime, Value: catalogue.Value(1, [][]byte{[]byte(record)})}
		}))
	}
	discovery := r.StartDiscovery(rig.ListOf("westlands", nodes...))
	sru, z3950At := rig.FreeAddr(), rig.FreeAddr()
	b := r.StartBroker(&rig.Config{Name: "n0", Discovery: discovery.Addr, Settings: site.Settings(), Sockets: sockets,
		Operator: fmt.Sprintf(`{"sru": {"listen": %q, "type": "doc-find"}, "z3950": {"listen": %q, "type": "doc-find"}}`, sru, z3950At)})
	rig.UntilServed(sru, search)
	usual, err := net.Dial("tcp", sru)
	rig.Must(err)
	defer usual.Close()
	in := bufio.NewReader(usual)
	ask := func(during time.Duration) { // a usual client searches on its connection
		for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(between) {
			a := rig.ExchangeIn(usual, in, search, patience)
			r.Note("a usual search: sent at %.3f, ended at %.3f with status %d, %v", r.Since(a.Sent), r.Since(a.At), a.Status, a.Err)
			rig.Check(a.Status != 0, "the usual client has lost its connection: %v", a.Err)
		}
	}
	ask(calm)
	if r.Trouble {
		crowd(r, b, sru, z3950At)
	}
	r.Note("discovery is down for %v", outage)
	discovery.Down()
	ask(outage)
	draining := busiest(nodes)
	for _, n := range draining {
		r.Note("node %s begins to drain", n.Name)
	}
	discovery.SetLifecycle("terminating", draining...)
	discovery.Up()
	returned := time.Now()
	r.Note("discovery is back")
	ask(watched)
	r.Note("the broker's log says %d times that too many files are open", strings.Count(b.LogText(), "too many open files"))
	for _, n := range draining {
		judge(r, n, returned)
	}
}

// search is an SRU request.
const search = "GET /catalogue?version=1.2&operation=searchRetrieve&query=tenancy HTTP/1.1\r\nHost: backend.local\r\n\r\n"

// crowd lets idle clients connect, and stay.
func crowd(r *rig.Run, b *rig.Broker, sru, z3950At string) {
	var open [3]atomic.Int32
	for range libraryClients {
		go hold(sru, &open[0], func(conn net.Conn, in *bufio.Reader) {
			rig.ExchangeIn(conn, in, "GET /catalogue?version=1.2&operation=explain HTTP/1.1\r\nHost: backend.local\r\n\r\n", time.Second)
			conn.SetReadDeadline(time.Time{})
		})
		go hold(z3950At, &open[1], func(conn net.Conn, _ *bufio.Reader) {
			conn.Write(z3950.Encode(&z3950.InitRequest{Version3: true, Search: true, Present: true, PreferredMessageSize: recordBytes,
				ExceptionalRecordSize: recordBytes}))
		})
	}
	for range silentClients {
		go hold(b.Listen, &open[2], func(net.Conn, *bufio.Reader) {})
	}
	time.Sleep(time.Second)
	r.Note("idle clients hold %d connections of SRU, %d of Z39.50 and %d of HTTP", open[0].Load(), open[1].Load(), open[2].Load())
}

// hold connects, greets, and stays until the broker ends the connection; then it connects again.
func hold(to string, open *atomic.Int32, greet func(net.Conn, *bufio.Reader)) {
	for ; ; time.Sleep(redial) {
		conn, err := net.Dial("tcp", to)
		if err != nil {
			continue
		}
		open.Add(1)
		in := bufio.NewReader(conn)
		greet(conn, in)
		io.Copy(io.Discard, in)
		conn.Close()
		open.Add(-1)
	}
}

// busiest returns of each cell the node that has been sent a part last: a quarter of all nodes.
func busiest(nodes []*rig.Node) (all []*rig.Node) {
	last := func(i int) time.Time {
		parts := nodes[i].Parts()
		if len(parts) == 0 {
			return time.Time{}
		}
		return parts[len(parts)-1].At
	}
	for cell := range cells {
		best := cell
		for i := cell; i < len(nodes); i += cells {
			if last(i).After(last(best)) {
				best = i
			}
		}
		all = append(all, nodes[best])
	}
	return all
}

// judge holds what a draining node was sent against the rule.
func judge(r *rig.Run, node *rig.Node, returned time.Time) {
	late := 0
	for _, p := range node.Parts() {
		if p.At.Sub(returned) > toldWithin+grace+slack {
			late++
		}
	}
	if late > 0 {
		r.Broken("node %s, which drains, was sent %d parts later than %v after discovery had the change and could be reached", node.Name, late,
			toldWithin+grace+slack)
	}
}
