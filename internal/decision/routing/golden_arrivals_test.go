package routing_test

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// addArrivals adds events for new queries with their shard requests, and for clients that leave.
func (s *sequence) addArrivals() {
	g := &s.random
	for range g.below(s.maxArrivalsPerTick + 1) {
		s.addQuery()
	}
	if len(s.queries) > 0 && g.oneIn(25) {
		at := g.below(len(s.queries))
		s.add(decision.Event{Kind: decision.ClientDeparted, ID: s.queries[at].id})
		s.queries = slices.Delete(s.queries, at, at+1)
	}
}

func (s *sequence) addQuery() {
	g := &s.random
	s.nextID++
	s.serial++
	q := openQuery{id: s.nextID, serial: s.serial, queryType: g.below(len(s.settings.QueryTypes))}
	shards := choose(g, 1, 1, 2, 3, 6)
	e := decision.Event{Kind: decision.QueryReceived, ID: q.id, Serial: q.serial, Type: q.queryType, Weight: float64(shards),
		RemainingTime: s.settings.QueryTypes[q.queryType].Timeout}
	if len(s.settings.Tenants) > 0 {
		e.Tenant = min(g.below(8), len(s.settings.Tenants)-1+g.below(2))
	}
	if g.oneIn(5) {
		e.RemainingTime = g.duration(e.RemainingTime)
		e.Retry = g.oneIn(2)
	}
	if g.oneIn(400) {
		e.Type = len(s.settings.QueryTypes)
		s.add(e)
		return
	}
	s.add(e)
	s.queries = append(s.queries, q)
	s.addShardRequests(q, shards)
}

// addShardRequests adds events for the shard requests of a query, with equal or skewed weights.
func (s *sequence) addShardRequests(q openQuery, count int) {
	g := &s.random
	weights := make([]float64, count)
	sum := 0.0
	skewed := g.oneIn(2)
	for i := range weights {
		weights[i] = 1
		if skewed {
			weights[i] = 0.05 + g.share()*g.share()
		}
		sum += weights[i]
	}
	for i := range weights {
		s.nextID++
		e := decision.Event{Kind: decision.ShardRequestReceived, ID: s.nextID, Serial: q.serial, Shard: g.below(2 * s.settings.Cells),
			Weight: weights[i] / sum, Allowed: s.allowedReplicas()}
		s.allowed[e.ID] = e.Allowed
		s.add(e)
	}
	if g.oneIn(300) { // of an unknown query
		s.nextID++
		s.add(decision.Event{Kind: decision.ShardRequestReceived, ID: s.nextID, Serial: -1, Weight: 1})
	}
}

// allowedReplicas restricts one shard request in ten to a few nodes, and returns nil for the others.
func (s *sequence) allowedReplicas() *decision.AllowedReplicas {
	g := &s.random
	if !g.oneIn(10) {
		return nil
	}
	a := &decision.AllowedReplicas{Sticky: g.oneIn(2)}
	for range g.below(6) {
		if n := s.nodes[g.below(len(s.nodes))].endpoint.Node; !slices.Contains(a.Nodes, n) {
			a.Nodes = append(a.Nodes, n)
		}
	}
	return a
}

// injectFaults changes conditions of nodes, the endpoint list, gossip and settings at random, and adds unexpected ends of attempts.
func (s *sequence) injectFaults() {
	g := &s.random
	if g.oneIn(15) {
		s.changeConditions()
	}
	if g.oneIn(20) {
		s.changeList()
	}
	if g.oneIn(30) {
		s.addGossip()
	}
	if g.oneIn(200) {
		s.reconfigure()
	}
	if g.oneIn(60) { // the end of an unknown attempt, or of one that has ended before
		s.add(decision.Event{Kind: decision.AttemptEnded, ID: uint64(g.below(int(s.nextID) + 1)), Attempt: uint16(g.below(3)),
			Outcome: choose(g, decision.OK, decision.Errored, decision.Cancelled), Node: nodeNumber(g.below(s.nodesStarted + 1)),
			Elapsed: g.duration(500 * time.Millisecond)})
	}
}

// changeConditions changes the condition of single nodes, of a whole zone or of all nodes, and lets others recover.
func (s *sequence) changeConditions() {
	g := &s.random
	newCondition := condition(g.below(int(conditionCount)))
	zone := g.below(3)
	scope := g.below(6)
	for _, n := range s.nodes {
		switch {
		case scope == 0 && n.endpoint.Zone == zone, scope == 1:
			n.condition = newCondition
		case scope > 1 && g.oneIn(s.conditionChangeOdds):
			n.condition = condition(g.below(int(conditionCount)))
		case g.oneIn(2):
			n.condition = healthy
		}
	}
}

func (s *sequence) changeList() {
	g := &s.random
	if g.oneIn(5) {
		s.fullList()
		return
	}
	if g.oneIn(8) {
		s.add(decision.Event{Kind: decision.ListPollFailed})
		return
	}
	at := g.below(len(s.nodes))
	n := s.nodes[at]
	switch g.below(6) {
	case 0:
		n.endpoint.StartedAt = s.now - g.duration(time.Second)
		n.endpoint.Unconfirmed = false
	case 1:
		n.endpoint.State = choose(g, decision.Draining, decision.Ready)
	case 2:
		n.endpoint.Unconfirmed = !n.endpoint.Unconfirmed
	case 3:
		n.endpoint.Cell = g.below(s.settings.Cells)
	default: // the node is replaced by a new one; its entry is removed by an update, or by its absence from a full list
		s.nodes = slices.Delete(s.nodes, at, at+1)
		fresh := s.startNode()
		fresh.endpoint.StartedAt = choose(g, decision.StartedLongAgo, s.now)
		if g.oneIn(2) {
			s.fullList()
			return
		}
		n.endpoint.State = decision.Removed
		s.add(decision.Event{Kind: decision.ListUpdateReceived, Endpoints: []decision.Endpoint{n.endpoint, fresh.endpoint}})
		return
	}
	s.add(decision.Event{Kind: decision.ListUpdateReceived, Endpoints: []decision.Endpoint{n.endpoint}})
}

// addGossip adds events with a gossip message of another broker: entries of seven bytes, sometimes with trailing bytes.
func (s *sequence) addGossip() {
	g := &s.random
	var payload []byte
	for range 1 + g.below(3) {
		id := nodeNumber(g.below(s.nodesStarted + 1))
		payload = append(payload, choose(g, byte('s'), 's', 'w'))
		payload = append(payload, id.Addr[:]...)
		payload = append(payload, byte(id.Port>>8), byte(id.Port))
	}
	payload = append(payload, make([]byte, g.below(3))...)
	for range 1 + g.below(3) {
		s.add(decision.Event{Kind: decision.GossipReceived, From: uint32(g.below(5)), Payload: payload})
	}
}

// reconfigure changes the router's settings. In half of the cases the shards move: the list is then emptied first and sent again after.
func (s *sequence) reconfigure() {
	g := &s.random
	changeSettings(g, &s.settings)
	moved := g.oneIn(2)
	if moved {
		s.add(decision.Event{Kind: decision.FullListReceived})
		s.step()
		s.settings.Cells = 1 + g.below(5)
		s.settings.CellsPerShard = 1 + g.below(min(3, s.settings.Cells))
		for _, n := range s.nodes {
			n.endpoint.Cell %= s.settings.Cells
		}
	}
	s.router.Reconfigure(s.settings, moved)
	if moved {
		s.fullList()
	}
}
