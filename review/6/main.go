// Command 6 plays case 6: clients leave in a burst while others come, at a broker that shares the store fairly.
package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"flaxfront/review/rig"
)

const (
	cells     = 3
	holders   = 4 // of each shard
	shards    = 9
	parts     = 3 // of a search
	workTime  = 120 * time.Millisecond
	rounds    = 60
	usual     = 90 // searches of a round, of usual clients
	users     = 4  // of these searches
	fresh     = 30 // searches of a round, each of a client that has not asked before
	leaving   = usual / fresh
	pause     = 50 * time.Millisecond
	leaveAt   = 40 * time.Millisecond // after the usual clients' searches
	roundTime = time.Second
	deadline  = 4 * time.Second
	patience  = deadline + 500*time.Millisecond
	logTail   = 1500
)

// site is that of nairobi-main.
var site = rig.Site{
	Zones: []string{"westlands", "mombasa-rd"},
	Classes: []rig.Class{
		{Name: "audit-report", Aim: 2500 * time.Millisecond, Deadline: 5 * time.Second, Effect: "read_like", Floor: 0.5},
		{Name: "doc-find", Aim: 2 * time.Second, Deadline: deadline, Effect: "read_like", Floor: 1},
	},
	Tenants: []string{"tuko-sacco", "pwani-law", "kilele-hr"},
	Cells:   cells, Shards: shards, Streams: 32, Idle: 30 * time.Second, MaxOpen: 282, DrainGrace: 500 * time.Millisecond,
}

func main() { rig.Play(play) }

func play(r *rig.Run) {
	var nodes []*rig.Node
	for i := range cells * holders {
		nodes = append(nodes, r.StartNode(fmt.Sprintf("s-%08x", 0x9000+i), i%cells, func(*rig.Part) rig.Reply {
			return rig.Reply{After: workTime, Value: "5be2a07c19f04d63"}
		}))
	}
	b := r.StartBroker(&rig.Config{Name: "n0", Discovery: r.StartDiscovery(rig.ListOf("westlands", nodes...)).Addr, Settings: site.Settings(),
		Operator: `{"door": {"on": true, "most_wait": 16}}`})
	rig.UntilServed(b.Listen, search("first", 0))
	t := &tally{statuses: map[int]int{}}
	for round := 0; round < rounds && !b.Ended(); round++ {
		began := time.Now()
		playRound(r, b, round, t)
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	t.all.Wait()
	r.Note("answers by status, 0 for none: %v", t.statuses)
	if b.Ended() {
		text := b.LogText()
		r.Broken("the broker's process has ended by itself, with %d requests that it had taken and not answered; its log ends: %s", t.statuses[0],
			text[max(0, len(text)-logTail):])
	}
}

// tally counts the answers to clients that stay.
type tally struct {
	all      sync.WaitGroup
	mu       sync.Mutex
	statuses map[int]int
}

// await sends a text on a connection and waits for the answer.
func (t *tally) await(conn net.Conn, text string) {
	conn.Write([]byte(text))
	t.all.Go(func() {
		defer conn.Close()
		a := rig.ExchangeIn(conn, bufio.NewReader(conn), "", patience)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.statuses[a.Status]++
	})
}

// playRound lets usual clients ask at once, and soon after fresh ones. With the disruption the usual clients leave just then.
func playRound(r *rig.Run, b *rig.Broker, round int, t *tally) {
	var all []net.Conn
	for range usual + fresh {
		conn, err := net.Dial("tcp", b.Listen)
		if err != nil {
			r.Note("round %d: %v", round, err)
			return
		}
		all = append(all, conn)
	}
	time.Sleep(pause)
	for i, conn := range all[:usual] {
		text := search(fmt.Sprintf("usual%d", i%users), i)
		if r.Trouble {
			conn.Write([]byte(text))
		} else {
			t.await(conn, text)
		}
	}
	time.Sleep(leaveAt)
	for i, conn := range all[usual:] {
		t.await(conn, search(fmt.Sprintf("fresh%d-%d", round, i), i))
		for j := i * leaving; r.Trouble && j < (i+1)*leaving; j++ {
			all[j].Close()
		}
	}
	r.Note("round %d: %d searches of usual clients, %d of fresh ones; usual clients leave: %v", round, usual, fresh, r.Trouble)
}

// search returns a search of a user for some shards in a row.
func search(user string, from int) string {
	q := rig.Request{Class: "doc-find", Tenant: "tuko-sacco", User: user, Timeout: deadline, Statement: "c41e77d0"}
	for i := range parts {
		q.Shards = append(q.Shards, (from+i)%shards)
	}
	return q.Text()
}
