package resultset

import (
	"runtime"
	"testing"
	"time"
)

// Guards against a page whose size a client chooses taking memory for records that were never fetched.
func TestPageOfUnfetchedRecordsTakesNoMemory(t *testing.T) {
	const shards, hits, fetched = 9, 4_000_000, 20
	a := Answer{Complete: true, Hits: map[int]int{}, FirstRecords: map[int][][]byte{}, Depth: fetched}
	for shard := range shards {
		a.Shards = append(a.Shards, shard)
		a.Hits[shard] = hits
		for range fetched {
			a.FirstRecords[shard] = append(a.FirstRecords[shard], []byte("record"))
		}
	}
	sets := New(Limits{Bytes: 1 << 20, SetsPerSession: 1, Sessions: 1, Age: time.Hour})
	if !sets.Put(1, "a", "cat", a, 0) {
		t.Fatal("the set was not kept")
	}
	set, _ := sets.Get(1, "a", 0)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	page, neededDepth, ok := set.Page(1, 1<<25)
	runtime.ReadMemStats(&after)
	if len(page) > 0 || neededDepth != hits || !ok {
		t.Errorf("%d records, needed depth %d, %v", len(page), neededDepth, ok)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 64<<10 {
		t.Errorf("%d bytes were allocated for a page without records", allocated)
	}
	if page, neededDepth, ok := set.Page(hits+1, fetched); len(page) != fetched || neededDepth != 0 || !ok {
		t.Errorf("first page of the second shard: %d records, needed depth %d, %v", len(page), neededDepth, ok)
	}
}
