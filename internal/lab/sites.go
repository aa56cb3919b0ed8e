package lab

// This file audits two sites: it compares which shard requests ran where with what clients were told.

import (
	"fmt"
	"sync"
)

// Audit compares the results of queries that must not take effect twice with what the nodes of all sites ran.
type Audit struct {
	mu       sync.Mutex
	outcomes map[string]queryOutcome
	Fleet    []*Fleet
}

type queryOutcome struct {
	queryType string
	status    int
	shards    []int
}

// RecordResult records the end of a query; it is made for Load.RecordResult.
func (a *Audit) RecordResult(query, queryType string, shards []int, status int) {
	if queryType != "sign" && queryType != "book" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outcomes == nil {
		a.outcomes = map[string]queryOutcome{}
	}
	a.outcomes[query] = queryOutcome{queryType, status, shards}
}

// Check returns the violations of rule 2: a shard request that must run once ran twice, or a query was shed although one of its
// shard requests ran. Call it when no query is in flight any more.
func (a *Audit) Check() (broken []string, queries int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for query, s := range a.outcomes {
		ran := 0
		for _, shard := range s.shards {
			request, times := fmt.Sprintf("%s.%d", query, shard), 0
			for _, f := range a.Fleet {
				for _, n := range f.Nodes {
					times += n.RunCount(request)
				}
			}
			if ran += times; times > 1 && s.queryType == "sign" {
				broken = append(broken, fmt.Sprintf("rule 2: %s ran %d times", request, times))
			}
		}
		if ran > 0 && (s.status == 429 || s.status == 503) {
			broken = append(broken, fmt.Sprintf("rule 2: %s %s was shed, and %d of its shard requests ran", s.queryType, query, ran))
		}
	}
	return broken, len(a.outcomes)
}
