// Command 10 plays case 10: a bad client of the SRU front sends a request with both Content-Length and Transfer-Encoding, whose body conceals
// another request.
package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"flaxfront/internal/protocols/catalogue"
	"flaxfront/review/rig"
)

const (
	cells     = 3
	holders   = 4 // of each shard
	shards    = 9
	workTime  = 120 * time.Millisecond
	badWithin = 3 * time.Second // a bad client gets an error or a close
	settle    = time.Second
)

// site is that of nairobi-main.
var site = rig.Site{
	Zones: []string{"westlands", "mombasa-rd"},
	Classes: []rig.Class{
		{Name: "audit-report", Aim: 2500 * time.Millisecond, Deadline: 5 * time.Second, Effect: "read_like", Floor: 0.5},
		{Name: "doc-find", Aim: 2 * time.Second, Deadline: 4 * time.Second, Effect: "read_like", Floor: 1},
	},
	Tenants: []string{"tuko-sacco", "pwani-law"},
	Cells:   cells, Shards: shards, Streams: 32, Idle: 30 * time.Second, MaxOpen: 282, DrainGrace: 500 * time.Millisecond,
}

func main() { rig.Play(play) }

func play(r *rig.Run) {
	var nodes []*rig.Node
	for i := range cells * holders {
		nodes = append(nodes, r.StartNode(fmt.Sprintf("s-%08x", 0xe000+i), i%cells, func(p *rig.Part) rig.Reply {
			record := fmt.Sprintf("<dc><title>document of shard %d</title></dc>", p.Shard)
			return rig.Reply{After: workTime, Value: catalogue.Value(1, [][]byte{[]byte(record)})}
		}))
	}
	listen := rig.FreeAddr()
	r.StartBroker(&rig.Config{Name: "n0", Discovery: r.StartDiscovery(rig.ListOf("westlands", nodes...)).Addr, Settings: site.Settings(),
		Operator: fmt.Sprintf(`{"sru": {"listen": %q, "type": "doc-find"}}`, listen)})

	form := "version=1.2&operation=searchRetrieve&query=lease"
	usual := fmt.Sprintf("POST /catalogue HTTP/1.1\r\nHost: backend.local\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: %d\r\n\r\n%s",
		len(form), form)
	a := rig.UntilServed(listen, usual)
	r.Note("a usual client's search for lease: sent at %.3f, answered at %.3f with status %d", r.Since(a.Sent), r.Since(a.At), a.Status)
	if r.Trouble {
		text := ambiguous()
		r.Note("a bad client sends %q", text)
		conn, err := net.Dial("tcp", listen)
		rig.Must(err)
		defer conn.Close()
		a = rig.ExchangeIn(conn, bufio.NewReader(conn), text, badWithin)
		r.Note("the bad client's first answer: at %.3f, status %d, %v; it goes on reading", r.Since(a.At), a.Status, a.Err)
	}
	time.Sleep(settle)
	ran := 0
	for _, n := range nodes {
		for _, p := range n.Parts() {
			if strings.Contains(p.Text, "concealed") {
				ran++
			}
		}
	}
	if ran > 0 {
		r.Broken("the request concealed in a body was passed on: nodes were sent %d parts of it", ran)
	}
}

// ambiguous returns a request that ends, by its Content-Length, behind all of its text, and by its chunks before the request in its body.
func ambiguous() string {
	concealed := "GET /catalogue?version=1.2&operation=searchRetrieve&query=concealed HTTP/1.1\r\nHost: backend.local\r\n\r\n"
	form := "version=1.2&operation=searchRetrieve&query=open"
	body := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n%s", len(form), form, concealed)
	return fmt.Sprintf("POST /catalogue HTTP/1.1\r\nHost: backend.local\r\nContent-Type: application/x-www-form-urlencoded\r\n"+
		"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(body), body)
}
