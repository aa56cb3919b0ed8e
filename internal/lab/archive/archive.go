// Package archive simulates a catalogue for tests of protocol front ends: records by shard, the values that store nodes return
// for a catalogue query, and a broker over them whose answers can be held back, left incomplete or replaced. It opens no socket.
//
// Depends on config/terms, decision, protocols/catalogue, server. Concurrency: it starts no goroutine; what several goroutines
// may use is behind a lock or an atomic value.
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

// Broker answers queries from its records.
type Broker struct {
	mu             sync.Mutex
	RecordsByShard [][]string
	Missing        int                 // the shard that does not answer; -1: all do
	Result         *server.QueryResult // if set, returned instead of an answer
	Gate           chan struct{}       // if set, queries wait until it is closed
	Aborted        chan error          // receives the error of each waiting query whose context ended
	QueryCount     int
	start          time.Time
}

// New returns a broker with three shards of ten records each, made by makeRecord.
func New(makeRecord func(shard, record int) string) *Broker {
	b := &Broker{Missing: -1, start: time.Now(), Aborted: make(chan error, 10)}
	for s := range 3 {
		b.RecordsByShard = append(b.RecordsByShard, nil)
		for i := range 10 {
			b.RecordsByShard[s] = append(b.RecordsByShard[s], makeRecord(s, i))
		}
	}
	return b
}

// TextRecord returns a record of one line of text.
func TextRecord(shard, record int) string { return fmt.Sprintf("record %d of shard %d", record, shard) }

// DublinCoreRecord returns a Dublin Core record.
func DublinCoreRecord(shard, record int) string {
	return fmt.Sprintf(`<dc xmlns="http://purl.org/dc/elements/1.1/"><title>%s</title></dc>`, TextRecord(shard, record))
}

// Settings returns the settings of a deployment with one query type.
func (b *Broker) Settings() *terms.Terms {
	return &terms.Terms{Types: []string{"find"}, Tenants: []string{"acme"}, Shards: len(b.RecordsByShard),
		Module: decision.Settings{QueryTypes: []decision.QueryType{{Timeout: 2 * time.Second, LatencyObjective: time.Second}}}}
}

// Uptime returns the time since the broker was made.
func (b *Broker) Uptime() time.Duration { return time.Since(b.start) }

// FrontMemory returns unlimited memory.
func (b *Broker) FrontMemory() server.FrontMemory { return server.FrontMemory{} }

// Update changes the broker under its lock.
func (b *Broker) Update(do func(*Broker)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	do(b)
}

// Queries returns the number of queries so far.
func (b *Broker) Queries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.QueryCount
}

// RunQuery answers a query from the records.
func (b *Broker) RunQuery(ctx context.Context, a *server.Query) (server.QueryResult, error) {
	b.mu.Lock()
	hold, verdict := b.Gate, b.Result
	b.QueryCount++
	b.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			b.Aborted <- ctx.Err()
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
		if value, ok := Value(b.RecordsByShard[s], a.Text); ok && s != b.Missing {
			v.Shards, v.Values = append(v.Shards, s), append(v.Values, value)
		}
	}
	return v, nil
}

// Value returns the value of a node for a catalogue query; false if the statement is not one.
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
