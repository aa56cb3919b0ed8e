package routing

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// nodeIndex is a node's index in Router.nodes and in the endpoint table.
type nodeIndex int32

// endpointMode determines what the dispatcher may send to a node.
type endpointMode uint8

const (
	modeUnlisted  endpointMode = iota // nothing: the node is not in the endpoint list, or is draining
	modeEjected                       // nothing, until the next trial attempt is due
	modeTrial                         // ejected; one trial attempt
	modeWarmingUp                     // what its slow start allows
	modeWarmedUp                      // no limit by slow start
)

// endpoint is the dispatcher's view of a node.
type endpoint struct {
	id                 decision.NodeID
	cell               int
	zone               int
	mode               endpointMode
	inCell             bool    // listed in endpointTable.byCell
	unreachable        bool    // the last connection failed
	costFactor         float64 // how many calls one call to the node counts as
	slowStart          slowStart
	confirmation       confirmation
	health             healthCheckState
	lastSentAt         time.Duration
	lastUsedAt         time.Duration // when an attempt was last sent to the node or ended there
	lastAnsweredSentAt time.Duration // latest send time of a call that was answered
	calls              []call        // in flight, oldest first
}

// call is one message to a node, which carries one or more attempts.
type call struct {
	sentAt   time.Duration
	attempts int // that have not ended
}

func (e *endpoint) available() bool { return e.mode >= modeWarmingUp }

// openCall returns the call that was started in this step and has room for another attempt, or nil.
func (e *endpoint) openCall(now time.Duration, maxBatch int) *call {
	n := len(e.calls)
	if n == 0 || e.calls[n-1].sentAt != now || e.calls[n-1].attempts >= maxBatch {
		return nil
	}
	return &e.calls[n-1]
}

// endAttempt removes one attempt from the call that was sent at the given time, or from the one sent nearest to that time.
func (e *endpoint) endAttempt(sentAt time.Duration) {
	nearest := -1
	for i := range e.calls {
		if nearest < 0 || (e.calls[i].sentAt-sentAt).Abs() < (e.calls[nearest].sentAt-sentAt).Abs() {
			nearest = i
		}
	}
	if nearest < 0 {
		return
	}
	e.calls[nearest].attempts--
	if e.calls[nearest].attempts == 0 {
		e.calls = slices.Delete(e.calls, nearest, nearest+1)
	}
}

// endpointTable holds the endpoints and the endpoints of each cell.
type endpointTable struct {
	all            []endpoint // by nodeIndex
	byCell         [][]nodeIndex
	cellsPerShard  int
	warmedUp       int // nodes in modeWarmedUp
	warmedUpByCell []int
	needTick       bitset      // nodes whose state may change with time alone
	scratch        []nodeIndex // holds the last result of replicas or sharingShards
}

// resize replaces the cells by empty ones and sets how many there are and how many of them hold a shard.
func (t *endpointTable) resize(cells, cellsPerShard int) {
	t.byCell = make([][]nodeIndex, cells)
	t.warmedUpByCell = make([]int, cells)
	t.warmedUp = 0
	t.cellsPerShard = cellsPerShard
}

// rebuildCells adds every endpoint that was in a cell to its cell again, after a resize.
func (t *endpointTable) rebuildCells() {
	for i := range t.all {
		e := &t.all[i]
		if e.inCell {
			t.cell(e.cell).add(nodeIndex(i))
			t.adjustWarmedUp(e, 1)
		}
	}
}

// cellNodes are the nodes of one cell.
type cellNodes []nodeIndex

func (c *cellNodes) add(index nodeIndex) { *c = append(*c, index) }

func (c *cellNodes) remove(index nodeIndex) {
	*c = slices.DeleteFunc(*c, func(i nodeIndex) bool { return i == index })
}

func (t *endpointTable) cell(cell int) *cellNodes { return (*cellNodes)(&t.byCell[cell%len(t.byCell)]) }

// move adds an endpoint to a cell, and removes it from the cell that it was in. The caller sets endpoint.cell afterwards.
func (t *endpointTable) move(index nodeIndex, cell int) {
	e := &t.all[index]
	if cell == e.cell && e.inCell {
		return
	}
	if e.inCell {
		t.cell(e.cell).remove(index)
	}
	e.inCell = true
	t.cell(cell).add(index)
}

// adjustWarmedUp adds change to the counts of warmed-up nodes if the endpoint is warmed up.
func (t *endpointTable) adjustWarmedUp(e *endpoint, change int) {
	if e.mode == modeWarmedUp {
		t.warmedUp += change
		t.warmedUpByCell[e.cell%len(t.byCell)] += change
	}
}

// replicas returns the nodes that hold a shard, whatever their mode. The result is valid until the next call of replicas or
// sharingShards.
func (t *endpointTable) replicas(shard int) []nodeIndex {
	t.scratch = t.scratch[:0]
	for i := range t.cellsPerShard {
		t.scratch = append(t.scratch, t.byCell[(shard+i)%len(t.byCell)]...)
	}
	return t.scratch
}

// sharingShards returns the nodes that hold at least one shard in common with the nodes of a cell. The result is valid until the next call
// of replicas or sharingShards.
func (t *endpointTable) sharingShards(cell int) []nodeIndex {
	t.scratch = t.scratch[:0]
	cells := len(t.byCell)
	for i := 1 - t.cellsPerShard; i < t.cellsPerShard; i++ {
		t.scratch = append(t.scratch, t.byCell[((cell+i)%cells+cells)%cells]...)
	}
	return t.scratch
}

// warmedUpReplicas returns how many warmed-up nodes hold a shard.
func (t *endpointTable) warmedUpReplicas(shard int) (count int) {
	for i := range t.cellsPerShard {
		count += t.warmedUpByCell[(shard+i)%len(t.byCell)]
	}
	return count
}

// callsPerReplica returns the mean number of pending calls of this broker per available replica of a shard.
func (t *endpointTable) callsPerReplica(shard int) float64 {
	calls := 0
	available := 0
	for _, i := range t.replicas(shard) {
		e := &t.all[i]
		if e.available() {
			available++
			calls += len(e.pendingCalls())
		}
	}
	return float64(calls) / float64(max(1, available))
}
