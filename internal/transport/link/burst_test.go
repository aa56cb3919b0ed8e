package link

import (
	"strings"
	"testing"
	"time"
)

// burst is a number of messages of burstText bytes, which together are many times maxQueuedBytes.
const (
	burst     = 80
	burstText = 60 << 10
)

// Guards against a link that ends, or loses messages, because all queries that wait for it, or all kept replies, are queued at once.
func TestBurstsOfWaitingMessagesKeepTheLink(t *testing.T) {
	near, far, _ := connectedSides(t, allVersions, allVersions)
	up := near.waitFor(t, "near up", isUp)
	far.waitFor(t, "far up", isUp)
	for id := range uint64(burst) {
		q := query(id)
		q.Text = strings.Repeat("x", burstText)
		if !up.Conn.Query(q) {
			t.Fatalf("query %d was not queued", id)
		}
	}
	var accepted *Conn
	for id := range uint64(burst) {
		e := far.waitFor(t, "a query", func(e Event) bool { return e.Query != nil })
		if e.Query.ID != id || len(e.Query.Text) != burstText {
			t.Fatalf("received query %d, want %d", e.Query.ID, id)
		}
		accepted = e.Conn
	}
	kept := Reply{IsComplete: true, ShardAnswers: []ShardAnswer{{Shard: 1, Value: strings.Repeat("v", burstText)}}}
	for id := range uint64(burst) {
		reply := kept
		reply.ID = id
		accepted.ReplyCached(NewCachedReply(reply))
	}
	for id := range uint64(burst) {
		if e := near.waitFor(t, "a reply", func(e Event) bool { return e.Reply != nil }); e.Reply.ID != id {
			t.Fatalf("received reply %d, want %d", e.Reply.ID, id)
		}
	}
	for _, s := range []*side{near, far} {
		for _, e := range s.pending {
			if e.Down != nil {
				t.Errorf("the link ended: %+v", e.Down)
			}
		}
	}
}

// A query that waits behind others states the time that it has left when it is written, and is not written when it has none.
func TestQueuedQueryStatesTheTimeLeft(t *testing.T) {
	c := &Conn{Peer: 0, wake: make(chan struct{}, 1)}
	const waited = 20 * time.Millisecond
	expiring := query(1)
	expiring.RemainingMicros = waited.Microseconds()
	c.Query(expiring)
	c.Query(query(2))
	time.Sleep(waited)
	b, _ := c.nextFrame()
	q, err := decodeQuery(b[5:])
	if err != nil || q.ID != 2 || q.RemainingMicros > query(2).RemainingMicros-waited.Microseconds() {
		t.Errorf("query %d is written with %d us left (%v)", q.ID, q.RemainingMicros, err)
	}
}

// A query that might not fit a frame is refused, so that none is lost while it waits.
func TestQueryThatDoesNotFit(t *testing.T) {
	c := &Conn{Peer: 0, wake: make(chan struct{}, 1)}
	q := query(1)
	q.Text = strings.Repeat("x", maxFrame)
	if c.Query(q) {
		t.Error("a query larger than a frame was queued")
	}
	q.ShardRequests = make([]ShardRequest, maxShards)
	for i := range q.ShardRequests {
		q.ShardRequests[i] = ShardRequest{Shard: 1 << 40, Weight: 1.0 / 3}
	}
	for q.Text = strings.Repeat("x", maxFrame); !q.fitsFrame(); q.Text = q.Text[1:] {
	}
	if _, err := appendFrame(nil, frameQuery, q); err != nil {
		t.Errorf("a query that is said to fit does not: %v", err)
	}
}
