package lab

// This file owns the audit over two sites: what ran where, held against what clients were told.

import (
	"fmt"
	"sync"
)

// Audit holds the verdicts of searches whose effect must not come twice against what nodes of all sites ran.
type Audit struct {
	mu    sync.Mutex
	told  map[string]settled
	Fleet []*Fleet
}

type settled struct {
	class  string
	status int
	parts  []int
}

// Settle is for Load.
func (a *Audit) Settle(search, class string, parts []int, status int) {
	if class != "sign" && class != "book" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.told == nil {
		a.told = map[string]settled{}
	}
	a.told[search] = settled{class, status, parts}
}

// Check lists what breaks rule 2: a part of a search that must run once ran twice, or a search was shed of which a part ran.
// It is made once everything has come to rest.
func (a *Audit) Check() (broken []string, searches int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for search, s := range a.told {
		ran := 0
		for _, shard := range s.parts {
			part, times := fmt.Sprintf("%s.%d", search, shard), 0
			for _, f := range a.Fleet {
				for _, n := range f.Nodes {
					times += n.Ran(part)
				}
			}
			if ran += times; times > 1 && s.class == "sign" {
				broken = append(broken, fmt.Sprintf("rule 2: %s ran %d times", part, times))
			}
		}
		if ran > 0 && (s.status == 429 || s.status == 503) {
			broken = append(broken, fmt.Sprintf("rule 2: %s %s was shed, and %d of its parts ran", s.class, search, ran))
		}
	}
	return broken, len(a.told)
}
