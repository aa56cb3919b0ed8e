// Command 8 plays case 8: every search of the SRU front comes from a new client.
package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"flaxfront/internal/protocols/catalogue"
	"flaxfront/review/rig"
)

const (
	cells      = 3
	holders    = 4 // of each shard
	shards     = 9
	workTime   = 120 * time.Millisecond
	records    = 10
	recordSize = 6000 // bytes; a node's answer holds 64 KiB at most
	memoryMB   = 192
	apart      = 40 * time.Millisecond // between two clients' searches: 25 a second
	searches   = 700
	returning  = 4 // clients that come again and again, without the disruption
	patience   = 5 * time.Second
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
	var all [][]byte
	for i := range records {
		all = append(all, []byte(fmt.Sprintf("<dc><title>document %d</title><description>%s</description></dc>", i, strings.Repeat("d", recordSize))))
	}
	value := catalogue.Value(1000, all)
	var nodes []*rig.Node
	for i := range cells * holders {
		nodes = append(nodes, r.StartNode(fmt.Sprintf("s-%08x", 0xc000+i), i%cells, func(*rig.Part) rig.Reply {
			return rig.Reply{After: workTime, Value: value}
		}))
	}
	listen := rig.FreeAddr()
	b := r.StartBroker(&rig.Config{Name: "n0", Discovery: r.StartDiscovery(rig.ListOf("westlands", nodes...)).Addr, Settings: site.Settings(),
		MemoryMB: memoryMB, Operator: fmt.Sprintf(`{"sru": {"listen": %q, "type": "doc-find"}}`, listen)})
	r.WatchMemory(b, memoryMB)
	rig.UntilServed(listen, search("first", "ready"))
	var answered, others atomic.Int32
	for i := range searches {
		if b.Ended() {
			break
		}
		client := i
		if !r.Trouble {
			client = i % returning
		}
		go func() {
			if rig.Exchange(listen, search(fmt.Sprintf("client%d", client), fmt.Sprintf("tenancy%d", i)), patience).Status == 200 {
				answered.Add(1)
			} else {
				others.Add(1)
			}
		}()
		time.Sleep(apart)
	}
	time.Sleep(time.Second)
	r.Note("%d searches were answered, %d were not", answered.Load(), others.Load())
	rig.Check(answered.Load() > 0, "no search was answered")
}

// search returns the SRU request of a client, by its cookie.
func search(client, term string) string {
	return "GET /catalogue?version=1.2&operation=searchRetrieve&query=" + term + " HTTP/1.1\r\nHost: backend.local\r\nCookie: user=" + client + "\r\n\r\n"
}
