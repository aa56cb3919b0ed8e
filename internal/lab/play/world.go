package play

// This file sets up the actors of a run, runs it to its end, and models network delay, loss and cuts.

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"runtime"
	"sync/atomic"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/routing"
	"flaxfront/internal/discovery"
	"flaxfront/internal/lab/script"
)

// Options configure a run.
type Options struct {
	Cores  int          // number of workers; 0: by GOMAXPROCS and the size of the script
	Policy Policy       // the router of the brokers
	Stop   *atomic.Bool // the run ends early once it is true; may be nil
	Trace  io.Writer    // gets a line of JSON for each result of a query and forces one core; nil: no trace
}

// Policy names the router of the brokers.
type Policy string

// Module is the real router. It is compared with random choice and with an oracle that sees the state of every node.
const (
	Module Policy = "module"
	Random Policy = "random"
	Oracle Policy = "seer"
)

// world holds the actors of one run and what they share.
type world struct {
	script    *script.Script
	schedule  *script.Schedule
	terms     *terms.Terms
	actors    []registeredActor // discovery, the auditor, then brokers, then nodes
	workers   []*worker
	lookahead time.Duration // shortest delay of an event between two actors
	now, end  time.Duration
	stopped   bool
	rows      int // tenants times types
	nodes     []*node
	byID      map[decision.NodeID]*node // by the ID of each process that the node has had; for the oracle
	epoch     time.Time
	trace     *json.Encoder
}

const (
	idDiscovery = 0
	idAuditor   = 1
	idBrokers   = 2
	settleTime  = 5 * time.Second // from the last possible deadline to the end of the run
)

func (w *world) nodeActorID(n int) uint32 { return uint32(idBrokers + w.script.Brokers.Count + n) }

// Play runs a script that has passed Check to its end.
func Play(s *script.Script, o Options) (*Result, error) {
	w, brokers, err := buildWorld(s, o)
	if err != nil {
		return nil, err
	}
	if o.Stop == nil {
		o.Stop = &atomic.Bool{}
	}
	w.run(w.end, o.Stop)
	if !w.stopped {
		w.now = w.end
	}
	for _, f := range brokers {
		f.auditUnanswered()
	}
	return w.collectResult(string(o.Policy)), nil
}

// buildWorld sets up a world at time 0, with the first events of all actors.
func buildWorld(s *script.Script, o Options) (*world, []*broker, error) {
	w := &world{script: s, schedule: s.Schedule(), terms: s.Terms(), rows: len(s.Tenants) * len(s.Types), byID: map[decision.NodeID]*node{},
		lookahead: min(s.Network.ZoneDelay, s.Network.CrossZoneDelay), epoch: time.UnixMilli(1_700_000_000_000)}
	cores := o.Cores
	if cores == 0 {
		cores = min(runtime.GOMAXPROCS(0), 1+(s.Brokers.Count+s.Fleet.Nodes)/24)
	}
	if o.Policy == Oracle || o.Trace != nil { // the oracle reads other actors' state, and the trace is written in order
		cores = 1
	}
	if o.Trace != nil {
		w.trace = json.NewEncoder(o.Trace)
	}
	for i := range cores {
		w.workers = append(w.workers, &worker{at: i, outbox: make([][]queueItem, cores),
			tally: tally{latencyByRow: make([]Latency, w.rows)}})
	}
	attach := func(a actor, state *actorState) {
		state.attach(w, uint32(len(w.actors)))
		w.actors = append(w.actors, registeredActor{state, a})
	}
	d := newSimDiscovery(w)
	attach(d, &d.actorState)
	a := &auditor{executed: map[uint64]execution{}, shed: map[uint64]time.Duration{}}
	attach(a, &a.actorState)
	var brokers []*broker
	for i := range s.Brokers.Count {
		b := newBroker(w, i, o.Policy)
		attach(b, &b.actorState)
		brokers = append(brokers, b)
	}
	for i := range s.Fleet.Nodes {
		n := newNode(w, i)
		attach(n, &n.actorState)
		w.nodes = append(w.nodes, n)
		w.byID[discovery.IDOfName(nodeName(i, 0))] = n
	}
	d.start()
	for _, b := range brokers {
		if err := b.start(); err != nil {
			return nil, nil, err
		}
	}
	for _, n := range w.nodes {
		n.start()
	}
	longest := time.Duration(0)
	for _, y := range s.Types {
		longest = max(longest, y.Timeout)
	}
	w.end = s.Length + longest + settleTime
	return w, brokers, nil
}

// routerForTest, if set by a test, makes the router that takes the place of random choice.
var routerForTest func(decision.Settings, *broker) decision.Router

// changeOperatorFileForTest, if set by a test, changes the operators' file of the brokers.
var changeOperatorFileForTest func(*operator.File)

func (w *world) operatorFile() *operator.File {
	f := w.script.OperatorFile()
	if changeOperatorFileForTest != nil {
		changeOperatorFileForTest(f)
	}
	return f
}

// newRouterFunc returns the constructor of a broker's router.
func (w *world) newRouterFunc(policy Policy, b *broker) func(decision.Settings) decision.Router {
	switch policy {
	case Random:
		if routerForTest != nil {
			return func(t decision.Settings) decision.Router { return routerForTest(t, b) }
		}
		return func(t decision.Settings) decision.Router { return newBaselineRouter(t, b.rnd, nil) }
	case Oracle:
		return func(t decision.Settings) decision.Router { return newBaselineRouter(t, b.rnd, w.predictAnswer) }
	default:
		return func(t decision.Settings) decision.Router { return routing.New(t) }
	}
}

// samplePath draws the network delay between two zones. lost reports that the packet is lost; held, if not 0, is the time until which
// the zones are cut off from each other.
func (s *actorState) samplePath(from, to int) (took time.Duration, lost bool, held time.Duration) {
	n := &s.w.script.Network
	took = n.ZoneDelay
	if from != to {
		took = n.CrossZoneDelay
	}
	if n.Jitter > 0 {
		took += time.Duration(n.Jitter * s.rnd.ExpFloat64() * float64(took))
	}
	loss := s.w.schedule.Loss(s.now)
	return took, loss > 0 && s.rnd.Float64() < loss, s.w.schedule.Cut(from, to, s.now)
}

const resendAfter = 200 * time.Millisecond // delay until a lost packet of a connection is sent again

// deliveryTime returns when a write to a connection arrives: in order, and later if a packet is lost or the zones are cut off.
func (s *actorState) deliveryTime(from, to int, last *time.Duration) time.Duration {
	took, lost, held := s.samplePath(from, to)
	at := s.now + took
	if lost {
		at += resendAfter
	}
	if held > 0 {
		at = max(at, held+resendAfter+took)
	}
	*last = max(at, *last+1)
	return *last
}

// expectedValue returns the value of a shard request, a hash of its ID, so that the audit can check an answer.
func expectedValue(requestID string) string {
	h := hashOf(requestID)
	b := make([]byte, 0, 16)
	for range 16 {
		b = append(b, "0123456789abcdef"[h&15])
		h >>= 4
	}
	return string(b)
}

func hashOf(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return h.Sum64()
}
