package routing

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// nodeIndex is a node's place in Router.nodes and in the endpoint table.
type nodeIndex int32

// endpointMode says what the dispatcher may send to a node.
type endpointMode uint8

const (
	modeUnlisted  endpointMode = iota // nothing: not in the endpoint list, or draining
	modeEjected                       // nothing
	modeTrial                         // ejected: one attempt
	modeWarmingUp                     // what its slow start allows
	modeWarmedUp
)

// endpoint is the dispatcher's view of a node.
type endpoint struct {
	id                 decision.NodeID
	cell               int
	zone               int
	mode               endpointMode
	inCell             bool    // it is among the nodes of its cell
	unreachable        bool    // the last connection failed
	costFactor         float64 // as how many calls one of its calls counts
	slowStart          slowStart
	confirmation       confirmation
	health             healthCheckState
	lastSentAt         time.Duration
	lastUsedAt         time.Duration // when something last passed between this broker and it
	lastAnsweredSentAt time.Duration // when the latest call that it has answered was sent
	calls              []call        // in flight, oldest first
}

// call is one message to a node, which carries one or more attempts.
type call struct {
	sentAt   time.Duration
	attempts int // those not yet ended
}

func (e *endpoint) available() bool { return e.mode >= modeWarmingUp }

// openCall is the call that was begun in this step and takes more attempts, or nil.
func (e *endpoint) openCall(now time.Duration, maxBatch int) *call {
	n := len(e.calls)
	if n == 0 || e.calls[n-1].sentAt != now || e.calls[n-1].attempts >= maxBatch {
		return nil
	}
	return &e.calls[n-1]
}

// endAttempt takes one attempt off the call that was sent at that time, or off the one sent nearest to it.
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

// endpointTable holds the endpoints and which cells they are in.
type endpointTable struct {
	all            []endpoint // by nodeIndex
	byCell         [][]nodeIndex
	cellsPerShard  int
	warmedUp       int // nodes in modeWarmedUp
	warmedUpByCell []int
	needTick       bitset      // nodes that time alone may change
	scratch        []nodeIndex // the last result of replicas or sharingShards
}

// resize empties the cells and gives them their number.
func (t *endpointTable) resize(cells, cellsPerShard int) {
	t.byCell = make([][]nodeIndex, cells)
	t.warmedUpByCell = make([]int, cells)
	t.warmedUp = 0
	t.cellsPerShard = cellsPerShard
}

// rebuildCells puts every placed endpoint into its cell anew.
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

// move puts an endpoint into a cell.
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

// adjustWarmedUp adds to the numbers of warmed-up nodes if the endpoint is one.
func (t *endpointTable) adjustWarmedUp(e *endpoint, change int) {
	if e.mode == modeWarmedUp {
		t.warmedUp += change
		t.warmedUpByCell[e.cell%len(t.byCell)] += change
	}
}

// replicas lists the nodes that hold a shard, whatever their mode. The result holds until the next call of a method of the table.
func (t *endpointTable) replicas(shard int) []nodeIndex {
	t.scratch = t.scratch[:0]
	for i := range t.cellsPerShard {
		t.scratch = append(t.scratch, t.byCell[(shard+i)%len(t.byCell)]...)
	}
	return t.scratch
}

// sharingShards lists the nodes that hold a shard of those that a cell's nodes hold, as replicas does.
func (t *endpointTable) sharingShards(cell int) []nodeIndex {
	t.scratch = t.scratch[:0]
	cells := len(t.byCell)
	for i := 1 - t.cellsPerShard; i < t.cellsPerShard; i++ {
		t.scratch = append(t.scratch, t.byCell[((cell+i)%cells+cells)%cells]...)
	}
	return t.scratch
}

// warmedUpReplicas is how many warmed-up nodes hold a shard.
func (t *endpointTable) warmedUpReplicas(shard int) (count int) {
	for i := range t.cellsPerShard {
		count += t.warmedUpByCell[(shard+i)%len(t.byCell)]
	}
	return count
}

// callsPerReplica is how many calls this broker has in flight at an available replica of the shard, on average.
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
