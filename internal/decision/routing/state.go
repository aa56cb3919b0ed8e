package routing

// This file owns the shapes of what the module keeps: nodes, searches, and the desk that holds both. It holds no decision.

import (
	"flaxfront/internal/decision"
	"slices"
	"time"
)

// seat is the desk's view of a node.
type seat struct {
	id       decision.NodeID
	cell     int
	zone     int
	mode     mode
	share    float64
	placed   bool          // it is among the nodes of its cell
	downed   bool          // it could not be reached
	slow     float64       // how many calls one of its calls counts for
	ration   float64       // parts a cold node may be sent now
	rationed time.Duration // when it last grew
	last     time.Duration
	eased    time.Duration // since when it is eased in; 0: it is not
	window   float64       // calls that may be out at an eased node
	rest     time.Duration // eased in, and it did not answer: nothing until then
	lot      float64       // its place in the time over which brokers spread their first calls
	proved   time.Duration // when the latest call that it answered was sent
	vouched  time.Duration // when the latest probe or part that it answered was sent
	probing  bool          // a probe is out
	deaf     float64       // share of probes that it does not answer, lately
	talked   time.Duration // when something last passed between here and it
	calls    []call        // out, oldest first
}

type call struct {
	at    time.Duration
	parts int
}

type attempt struct {
	node int32
	live bool
	at   time.Duration
	load float64
	idle time.Duration // how long nothing passed between here and the node before
}

type part struct {
	id        uint64
	shard     int
	weight    float64
	wait      float64 // expected, over the time left
	tries     []attempt
	live      int
	done      bool
	dead      bool // nothing more will come of it
	copied    bool
	resent    bool
	mayRun    bool // a sub-request may have run
	firstRisk time.Duration
	only      *decision.AllowedReplicas
}

// rank is a node's place among those that may be sent the part, where the order counts, and 0 else; none: it may not.
func (p *part) rank(id decision.NodeID, first bool) int {
	if p.only == nil {
		return 0
	}
	at := slices.Index(p.only.Nodes, id)
	if at > 0 && !(p.only.Sticky && first) {
		return 0
	}
	return at
}

type search struct {
	gen      uint32
	id       uint64
	inUse    bool
	sent     bool
	stage2   bool
	whole1   bool
	serial   float32
	typ      *decision.QueryType
	tenant   int
	expect   int
	spent    time.Duration // of the client's time before this try, where that shows
	deadline time.Duration // of this step
	whole    time.Duration // of all steps
	last     time.Duration
	got      float64
	held     bool          // some parts wait for a node that is eased in, or for a probe
	asked    time.Duration // when the holders of its parts were probed; 0: they were not
	in       int           // parts answered
	moved    bool          // its shards lie elsewhere by now: no part of it goes to another node
	calm     bool          // only time can change anything of it
	oldest   time.Duration // calm: when the first part that may be copied was sent; never: there is none
	parts    []part
}

// ref names a search (part < 0) or a part by its place; gen tells whether the place was reused since.
type ref struct {
	slot, part int32
	gen        uint32
}

// wants is the weight that makes a whole answer of this step, and the least for any answer.
func (s *search) wants() (need, least float64) {
	need, least = s.typ.FullCompleteness, s.typ.MinCompleteness
	if s.stage2 {
		if need = 1; least >= s.typ.FullCompleteness {
			least = 1
		}
	}
	return need, least
}

// untouched tells whether no part of the search can have run.
func (s *search) untouched() bool {
	ran := func(p part) bool { return p.live > 0 || p.mayRun || p.done }
	return !s.stage2 && !slices.ContainsFunc(s.parts, ran)
}

// open is the weight of the parts that may still come.
func (s *search) open() (sum float64) {
	for i := range s.parts {
		if p := &s.parts[i]; !p.done && !p.dead {
			sum += p.weight
		}
	}
	return sum
}

// risk notes that a sub-request sent at that time may have run.
func (p *part) risk(at time.Duration) {
	if !p.mayRun || at < p.firstRisk {
		p.mayRun, p.firstRisk = true, at
	}
}

// keeper keeps the node list current.
type keeper struct {
	l       *Router
	box     inbox
	asked   bool // a watch is held or asked for
	due     time.Duration
	next    time.Duration
	backoff time.Duration
}

// node judges the health of one store node.
type node struct {
	l        *Router
	box      inbox
	at       int32
	id       decision.NodeID
	cell     int
	boot     time.Duration
	ready    bool
	trusted  bool
	trying   bool          // a trial is out
	regained time.Duration // when it was last trusted anew
	downed   bool          // it could not be reached
	lat      time.Duration
	slow     float64
	ticked   time.Duration
	gap      time.Duration   // usual time between two parts that a node is sent
	left     time.Duration   // when the list ended it; never: it names it
	named    *decision.Event // the last list that named it
	doubt    float64
	share    float64       // of its parts that fail, over a longer time than doubt
	counted  bool          // share is among those of the listed nodes
	failed   time.Duration // when a part last failed
	backoff  time.Duration
	until    time.Duration
	unheard  time.Duration // how long its calls have waited together since
	refused  int           // parts turned away since its last answer
	heard    time.Duration
	renewed  time.Duration // when fresh connections to it were last asked for
	eased    time.Duration // since when it is eased in; 0: it is not
	warming  bool
	since    time.Duration // cold start
	told     note
	rumour   float64 // how many peers say that it is sick, fading
	heardOf  time.Duration
}

// desk holds the searches in hand and sends their parts.
type desk struct {
	l            *Router
	box          inbox
	board        []seat
	cells        [][]int32 // nodes of each cell
	holders      []int32
	warm         int   // nodes neither cold nor distrusted
	warms        []int // the same in each cell
	slab         []search
	free         []int32
	used         bits  // places of the slab that are
	stirred      bits  // nodes that time alone may change
	places       int   // taken by the searches in hand
	last         int32 // the place of the search that came last
	refs         map[uint64]ref
	tokens       float64
	next         time.Duration
	takes        [samples]time.Duration
	sorted       [samples]time.Duration
	taken        int
	drawn        int  // of them when the quantiles were last drawn
	drew         bool // they were
	p50          time.Duration
	p95          time.Duration
	base         time.Duration // low point of p50
	flow         rate          // parts a second that a warm node is sent, on average
	flows        []rate        // the same in each cell
	slopes       []slope       // of each cell
	value, parts float64       // of a search, on average
	weighed      float64       // searches in that
	turned       float64       // share of parts that are turned away, lately
	turnedAt     time.Duration
	lengths      []majority // the usual length of a try, by type
	short        bool       // of places
	rates        []rate
	zones        []zone
	alike        bool          // parts break from all nodes alike
	cut, fail    float64       // share of parts that fail over connections that idled, and over others
	cutUntil     time.Duration // idle connections are closed before use until then
	idleMost     time.Duration // those that idled for so long
	total        rate
	asks         []time.Duration // rule 6: items taken and further sub-requests in the window
	extras       []time.Duration
	refusing     bool
}

// zone is how much of what goes to a data centre fails, as learned up to a time.
type zone struct {
	doubt   float64
	at      time.Duration
	shunned bool
}

// slope is the latency of the holders of a shard over (calls out a node + 1), as learned up to a time.
type slope struct {
	of   float64
	took float64 // latency alone
	at   time.Duration
}
