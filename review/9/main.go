// Command 9 plays case 9: a planned restart of a broker with an SRU front, while clients send on the connections that stay open.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"flaxfront/internal/protocols/catalogue"
	"flaxfront/review/rig"
)

const (
	cells     = 3
	holders   = 4 // of each shard
	shards    = 9
	clients   = 4
	workTime  = 120 * time.Millisecond
	connectAt = 100 * time.Millisecond  // after SIGTERM; new connections go on coming for 0.2 to 0.4 s
	between   = 30 * time.Millisecond   // two clients' connections
	requestAt = 800 * time.Millisecond  // after SIGTERM, the first client's request on its open connection
	later     = 700 * time.Millisecond  // the next client's
	killAt    = 3700 * time.Millisecond // after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s
	patience  = 4 * time.Second
	glance    = 5 * time.Millisecond
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
		nodes = append(nodes, r.StartNode(fmt.Sprintf("s-%08x", 0xf000+i), i%cells, func(p *rig.Part) rig.Reply {
			record := fmt.Sprintf("<dc><title>document of shard %d</title></dc>", p.Shard)
			return rig.Reply{After: workTime, Value: catalogue.Value(1, [][]byte{[]byte(record)})}
		}))
	}
	listen := rig.FreeAddr()
	b := r.StartBroker(&rig.Config{Name: "n0", Discovery: r.StartDiscovery(rig.ListOf("westlands", nodes...)).Addr, Settings: site.Settings(),
		Operator: fmt.Sprintf(`{"sru": {"listen": %q, "type": "doc-find"}}`, listen)})
	rig.UntilServed(listen, search)

	began := time.Now()
	if r.Trouble {
		b.Signal(syscall.SIGTERM)
	}
	var all sync.WaitGroup
	for i := range clients {
		time.Sleep(time.Until(began.Add(connectAt + time.Duration(i)*between)))
		conn, err := net.Dial("tcp", listen)
		rig.Must(err)
		r.Note("client %d connects", i)
		all.Go(func() {
			defer conn.Close()
			time.Sleep(time.Until(began.Add(requestAt + time.Duration(i)*later)))
			request(r, i, conn)
		})
	}
	all.Wait()
	time.Sleep(time.Until(began.Add(killAt)))
	if r.Trouble && !b.Ended() {
		b.Signal(syscall.SIGKILL)
	}
}

// search is an SRU request.
const search = "GET /catalogue?version=1.2&operation=searchRetrieve&query=tenancy HTTP/1.1\r\nHost: backend.local\r\n\r\n"

// request sends a request on a client's connection, if that is still open, and holds its end against the rule: a request that has been read, and
// whose connection is closed with no answer, is lost. A close over unread bytes resets the connection; an end without a reset shows that they
// were read.
func request(r *rig.Run, client int, conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(glance))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		r.Note("client %d finds its connection closed (%v), and sends nothing on it", client, err)
		return
	}
	a := rig.ExchangeIn(conn, bufio.NewReader(conn), search, patience)
	r.Note("client %d sent a request at %.3f on its open connection; at %.3f: status %d, %v", client, r.Since(a.Sent), r.Since(a.At), a.Status, a.Err)
	if a.Status == 0 && (errors.Is(a.Err, io.EOF) || errors.Is(a.Err, io.ErrUnexpectedEOF)) {
		r.Broken("the request of client %d was read, and its connection closed with no answer", client)
	}
}
