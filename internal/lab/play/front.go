package play

// This file owns a broker as the world sees it: the real loop behind its clients, its connections and its core. What it sends is
// audited here, as it leaves.

import (
	"syscall"
	"time"

	"flaxfront/internal/cluster/readhint"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/server"
	"flaxfront/internal/transport/store"
)

// What brokers and their clients are told.
const (
	kUp      kind = iota + 40 // a: the connection
	kAnswer                   // a: the connection, p: *store.Answer
	kDown                     // a: the connection, n: why
	kListed                   // p: *discovery.List or error
	kSaid                     // p: []byte, n: from
	kTurn                     // the loop takes a turn
	kWake                     // it asked for this
	kArrive                   // a client asks
	kTry                      // p: *asked; it asks again
	kOverdue                  // p: *asked, n: which try
	kLate                     // a: a dial's connection
	kKill
	kBack
	kPicture
)

// Why a connection went down.
const (
	downRefused int32 = iota
	downReset
)

const graceSlip = 50 * time.Millisecond // as on sockets

// front is one broker with its clients.
type front struct {
	self
	n      int
	zone   int
	policy Policy
	starts uint64
	began  time.Duration // its last start
	core   *server.Core  // nil: it is down
	book   *cachedlist.EntryTable
	rate   float64 // searches a second that its clients ask in ordinary times

	conns   map[uint64]*conn
	opened  uint64
	told    map[string]time.Duration // nodes that it was told are leaving or gone
	busy    time.Duration
	turning bool
	wake    time.Duration
	events  int // since the last turn
	lines   int

	asks uint64
	open map[string]*asked
	ids  []decision.NodeID // of nodes as last listed, for pictures

	sends  []time.Duration // rule 6: what was sent and asked lately
	counts []time.Duration

	sessions []*session // that ask nothing now
	begun    int
}

// asked is a client's search with its repeats.
type asked struct {
	row, typ, tenant int
	born, due        time.Duration
	shards           []int
	weights          []float64
	text             string
	client           uint64
	tries            int32
	repeats          bool // it comes back at once
	id               string
	sent             []uint8 // by shard
	held             server.PendingQuery
	over             bool // the try has its verdict
	coming           bool // its client asks again

	hint    *readhint.Hint
	session *session
	tried   time.Duration // when it was last put to the broker
}

func newFront(w *world, n int, p Policy) *front {
	f := &front{n: n, zone: n % w.script.Fleet.Zones, policy: p, conns: map[uint64]*conn{}, told: map[string]time.Duration{},
		open: map[string]*asked{}, wake: never}
	l, count := &w.script.Load, w.script.Brokers.Count
	f.rate = l.Rate / float64(count)
	if top := max(1, count/10); l.Skew > 0 && count > top {
		if f.rate = l.Rate * (1 - l.Skew) / float64(count-top); n < top {
			f.rate = l.Rate * l.Skew / float64(top)
		}
	}
	return f
}

func (f *front) start() error {
	f.sends, f.counts = nil, nil // a broker is counted from its start
	for _, r := range f.w.plan.Restarts {
		if r.Broker == f.n {
			f.send(f.id, r.From, kKill, 0, 0, nil)
			f.send(f.id, r.To, kBack, 0, 0, nil)
		}
	}
	if f.w.script.Brokers.KeepList {
		f.book = cachedlist.NewEntryTable(cachedlist.Head{}, nil)
	}
	f.next()
	f.share()
	f.send(f.id, time.Second-2, kPicture, 0, 0, nil)
	return f.boot()
}

// boot starts the broker with nothing but what it keeps.
func (f *front) boot() (err error) {
	f.starts++
	f.began = f.now
	t := *f.w.terms
	t.Module.Seed = f.rnd.Uint64()
	f.core, err = server.NewCore(&t, f.w.operators(), f.w.decider(f.policy, f), server.Environment{
		Now: f.since, Start: f.w.epoch.Add(f.began), Sockets: f.w.script.Brokers.Sockets, Carrier: f.dial,
		PollDiscovery: func() {
			f.send(idDiscovery, f.now+f.w.script.Network.ZoneDelay, kAskList, 0, uint64(f.id), nil)
		},
		SendGossip: f.tell, Log: f.log, CachedList: f.book})
	f.kick()
	return err
}

// since is the time as the broker counts it: from its start.
func (f *front) since() time.Duration { return f.now - f.began }

func (f *front) log(text string) {
	f.by.tally.said++
	if f.lines++; f.lines <= mostLines/f.w.script.Brokers.Count {
		f.by.tally.lines = append(f.by.tally.lines, Line{f.now, f.n, text})
	}
	f.mark(hashOf(digestedLine(text)))
}

func (f *front) tell(text string) {
	for i := range f.w.script.Brokers.Count {
		if i != f.n {
			if took, lost, held := f.way(f.zone, i%f.w.script.Fleet.Zones); !lost && held == 0 {
				f.send(uint32(idBrokers+i), f.now+took, kSaid, int32(f.n), 0, []byte(text))
			}
		}
	}
}

// kick has the loop take a turn as soon as the core is free.
func (f *front) kick() {
	f.events++
	if !f.turning {
		f.turning = true
		f.send(f.id, max(f.now, f.busy), kTurn, 0, 0, nil)
	}
}

func (f *front) turn() {
	f.turning = false
	if f.core == nil {
		return
	}
	cost := f.w.script.Brokers.StepCost
	f.busy = f.now + cost + time.Duration(f.events)*cost/8
	f.events = 0
	next := f.core.Step()
	for i := 0; next <= f.since() && i < 64; i++ {
		next = f.core.Step()
	}
	if next <= f.since() {
		f.kick()
	} else if next < f.wake-f.began || f.wake <= f.now {
		f.wake = min(next, time.Hour) + f.began
		f.send(f.id, f.wake, kWake, 0, 0, nil)
	}
}

func (f *front) handle(e *event) {
	switch e.kind {
	case kTurn:
		f.turn()
	case kWake:
		if f.wake <= f.now {
			f.wake = never
			f.kick()
		}
	case kUp:
		if c := f.conns[e.a]; c != nil && !c.shut {
			c.up = true
			f.happened(c.h.Up(f.since(), c))
		}
	case kAnswer:
		if c := f.conns[e.a]; c != nil && !c.shut {
			f.happened(c.h.Answered(f.since(), *e.p.(*store.Answer)))
		}
	case kDown:
		if c := f.conns[e.a]; c != nil {
			err := error(syscall.ECONNREFUSED)
			if e.n == downReset {
				err = syscall.ECONNRESET
			}
			f.ended(c, err)
		}
	case kLate:
		if c := f.conns[e.a]; c != nil && !c.up {
			f.ended(c, &dialTimeout{})
		}
	case kListed:
		f.listed(e.p)
	case kSaid:
		if f.core != nil {
			f.core.HandleGossip(int(e.n), e.p.([]byte))
			f.kick()
		}
	case kArrive:
		f.arrive()
	case kTry:
		f.try(e.p.(*asked))
	case kOverdue:
		if q := e.p.(*asked); q.tries == e.n && !q.over && f.core != nil {
			f.core.Abandon(q.held, true)
			f.kick()
		}
	case kKill:
		f.kill()
	case kBack:
		if err := f.boot(); err != nil {
			f.breach(0, "broker %d did not start again: %v", f.n, err)
		}
	case kShare, kPull, kFacts, kMove:
		f.shared(e)
	case kPicture:
		f.picture()
		f.send(f.id, f.now+time.Second, kPicture, 0, 0, nil)
	}
}
