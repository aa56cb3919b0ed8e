// Package archive is a simulated catalogue: records by shard, what a store node would make of a part of a catalogue search, and a
// broker over them for the tests of fronts, whose answers can be held back, cut short or spoilt. It owns no socket.
//
// Depends on config/terms, decision, protocols/catalogue, server. Concurrency: it starts no
// goroutine; what several goroutines may use is behind a lock or an atomic value.
package archive

import (
	"context"
	"fmt"
	"sync"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/server"
)

// Broker answers searches out of its records.
type Broker struct {
	mu       sync.Mutex
	Store    [][]string
	Missing  int                 // this shard does not answer; -1: all do
	Verdict  *server.QueryResult // instead of an answer
	Hold     chan struct{}       // searches wait for it
	Left     chan error          // told how a search that was held ended, if its client went
	Searches int
	start    time.Time
}

// New makes one of three shards with ten records each, in the form that make gives them.
func New(make_ func(shard, record int) string) *Broker {
	b := &Broker{Missing: -1, start: time.Now(), Left: make(chan error, 10)}
	for s := range 3 {
		b.Store = append(b.Store, nil)
		for i := range 10 {
			b.Store[s] = append(b.Store[s], make_(s, i))
		}
	}
	return b
}

// Plain is a record of a line of text.
func Plain(shard, record int) string { return fmt.Sprintf("record %d of shard %d", record, shard) }

// DC is a record of Dublin Core.
func DC(shard, record int) string {
	return fmt.Sprintf(`<dc xmlns="http://purl.org/dc/elements/1.1/"><title>%s</title></dc>`, Plain(shard, record))
}

// Settings are those of a deployment with one query type.
func (b *Broker) Settings() *terms.Terms {
	return &terms.Terms{Types: []string{"find"}, Tenants: []string{"acme"}, Shards: len(b.Store),
		Module: decision.Settings{QueryTypes: []decision.QueryType{{Timeout: 2 * time.Second, LatencyObjective: time.Second}}}}
}

// Uptime is the time since it was made.
func (b *Broker) Uptime() time.Duration { return time.Since(b.start) }

// Set changes it between two searches.
func (b *Broker) Set(do func(*Broker)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	do(b)
}

// Asked tells how many searches there were.
func (b *Broker) Asked() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Searches
}

// RunQuery answers as a broker would.
func (b *Broker) RunQuery(ctx context.Context, a *server.Query) (server.QueryResult, error) {
	b.mu.Lock()
	hold, verdict := b.Hold, b.Verdict
	b.Searches++
	b.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			b.Left <- ctx.Err()
			return server.QueryResult{}, ctx.Err()
		}
	}
	if verdict != nil {
		return *verdict, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	v := server.QueryResult{Answered: true, Complete: b.Missing < 0}
	for _, s := range a.Shards {
		if value, ok := Value(b.Store[s], a.Text); ok && s != b.Missing {
			v.Shards, v.Values = append(v.Shards, s), append(v.Values, value)
		}
	}
	return v, nil
}

// Value is what a node makes of its part of a catalogue search; false: the statement is of none.
func Value(records []string, statement string) (string, bool) {
	w, err := catalogue.ParseStatement(statement)
	if err != nil {
		return "", false
	}
	var first [][]byte
	for _, r := range records[:min(w.Depth, len(records))] {
		first = append(first, []byte(r))
	}
	return catalogue.Value(len(records), first), true
}
