// Command 7 plays case 7: queries that may not run twice wait at the other site while the link between the sites drops once.
package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"flaxfront/review/rig"
)

const (
	queries       = 120
	statementSize = 56 << 10              // bytes; a body holds 64 KiB at most
	oneWay        = 40 * time.Millisecond // 80 ms of added delay there and back
	workTime      = 500 * time.Millisecond
	apart         = 8 * time.Millisecond   // between two clients' queries: 125 a second
	resetAfter    = 700 * time.Millisecond // from the first query
	clientTimeout = 2500 * time.Millisecond
)

// site is that of sillon-casa, with fewer shards; slot-hold may not run twice.
var site = rig.Site{
	Zones: []string{"casa-ain-sebaa", "rabat-technopolis"},
	Classes: []rig.Class{
		{Name: "path-lookup", Aim: 1500 * time.Millisecond, Deadline: 5 * time.Second, Effect: "read_like", Floor: 1},
		{Name: "slot-hold", Aim: 1200 * time.Millisecond, Deadline: clientTimeout, Effect: "non_idempotent", Floor: 1},
	},
	Tenants: []string{"shipper-a", "shipper-b"},
	Cells:   2, Shards: 4, Streams: 100, Idle: 15 * time.Second, MaxOpen: 2000, DrainGrace: time.Second,
}

func main() { rig.Play(play) }

func play(r *rig.Run) {
	serve := func(p *rig.Part) rig.Reply { return rig.Reply{After: workTime, Value: "0123456789abcdef"} }
	second := []*rig.Node{r.StartNode("s-0000b000", 0, serve), r.StartNode("s-0000b001", 1, serve)}
	first := r.StartNode("s-0000a001", 1, serve) // the first site has lost the nodes of cell 0
	_, relay, a := startSites(r, rig.ListOf("casa-ain-sebaa", first), rig.ListOf("rabat-technopolis", second...))
	time.Sleep(time.Second) // heartbeats tell the first site of the second one's room

	answers := make([]rig.Answer, queries)
	asked := make([]rig.Request, queries)
	if r.Trouble {
		time.AfterFunc(resetAfter, func() {
			r.Note("the link between the sites is reset once, while %d parts have come to the second site", len(second[0].Parts()))
			relay.Reset()
		})
	}
	var all sync.WaitGroup
	for i := range queries {
		asked[i] = rig.Request{ID: rig.NewID(), Class: "slot-hold", Tenant: "shipper-a", Timeout: clientTimeout, Shards: []int{0},
			Statement: fmt.Sprintf("hold-%d-%s", i, strings.Repeat("x", statementSize))}
		all.Go(func() { answers[i] = asked[i].Send(a.Listen) })
		time.Sleep(apart)
	}
	all.Wait()
	rig.Check(len(second[0].Parts()) > 0, "no query has reached the second site")
	judge(r, asked, answers, second)
}

// startSites starts two sites with a broker each, and a link between them over a relay.
func startSites(r *rig.Run, listA, listB []rig.Instance) (b *rig.Broker, relay *rig.Relay, a *rig.Broker) {
	authority := filepath.Join(r.Dir, "authority")
	rig.Command("keys", "new-authority", "--dir", authority)
	for _, name := range []string{"site-a", "site-b"} {
		rig.Command("keys", "issue", "--authority", authority, "--dir", filepath.Join(r.Dir, name), "--site", name, "--broker", "n0")
	}
	linkB := rig.FreeAddr()
	relay = r.StartRelay(linkB, oneWay)
	settings := site.Settings()
	b = r.StartBroker(&rig.Config{Name: "site-b-n0", Discovery: r.StartDiscovery(listB).Addr, Settings: settings,
		Operator: fmt.Sprintf(`{"sites": {"keys": %q, "listen": %q, "allow": ["site-a"]}}`, filepath.Join(r.Dir, "site-b"), linkB)})
	a = r.StartBroker(&rig.Config{Name: "site-a-n0", Discovery: r.StartDiscovery(listA).Addr, Settings: settings,
		Operator: fmt.Sprintf(`{"sites": {"keys": %q, "targets": ["site-b=%s"], "share": 1, "burst": 1000, "resume": "600ms"}}`,
			filepath.Join(r.Dir, "site-a"), relay.Addr)})
	return b, relay, a
}

// judge holds what clients were told against what nodes ran: a query that was shed has run nowhere, and nothing has run twice.
func judge(r *rig.Run, asked []rig.Request, answers []rig.Answer, nodes []*rig.Node) {
	ran := map[string]int{}
	for _, n := range nodes {
		for _, p := range n.Parts() {
			ran[p.Request()]++
		}
	}
	statuses := map[int]int{}
	for i := range asked {
		a := &answers[i]
		statuses[a.Status]++
		r.Note("query %s: sent at %.3f, answered at %.3f with status %d, retry-after %q; ran %d times", asked[i].ID, r.Since(a.Sent), r.Since(a.At),
			a.Status, a.Header.Get("Retry-After"), ran[asked[i].ID])
		switch {
		case (a.Status == 503 || a.Status == 429) && ran[asked[i].ID] > 0:
			r.Broken("query %s was shed with status %d, and had been run", asked[i].ID, a.Status)
		case ran[asked[i].ID] > 1:
			r.Broken("query %s ran %d times", asked[i].ID, ran[asked[i].ID])
		}
	}
	r.Note("statuses: %v", statuses)
}
