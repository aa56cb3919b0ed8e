package routes

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision/broker"
)

// This file checks the protocol of one forwarded search over the real Near and Far: every interleaving of what a link, two
// processes, the nodes, a client and time may do is tried to a stated depth. States that were met are not gone into again.

// model is one state. It is made anew by replaying the choices that lead to it, as the real code can't be copied.
type model struct {
	variant string
	effect  broker.Effect
	near    *Near
	far     *Far
	now     time.Duration
	epoch   uint64
	conn    uint64 // the newest link; 0: none yet
	up      bool   // as the near side sees it
	outbox  []msg  // of the near side, not yet handed to the network
	toFar   map[uint64][]msg
	toNear  []msg // of the newest link
	farConn uint64
	deaf    uint64 // links up to this one ended with the process that had them
	farRuns bool   // a search is in the far module's hands
	verdict *msg   // kept
	home    bool   // it is in the near module's hands
	begun   bool
	left    bool // the client went away
	final   string
	finals  int
	ran     int
	wrong   string
	risk    bool // so the near side says: it may have run, and must not be shed
	homeRan bool // one module sends a part that must not run twice once
	farRan  bool
	cuts    int
	kills   int
}

type msg struct {
	what  string // ask, cancel, answered, refused, failed
	again bool
}

const search = 7

var modelPolicy = Policy{Share: 0.1, Burst: 5, MostAbroad: 10, LeastLeft: 20 * time.Millisecond, Speak: 50 * time.Millisecond,
	Resume: 200 * time.Millisecond, Accept: 0.5, MostRemember: 4}

func newModel(variant string, effect broker.Effect) *model {
	m := &model{variant: variant, effect: effect, near: NewNear(modelPolicy, []string{"far"}), far: NewFar(modelPolicy),
		epoch: 1, toFar: map[uint64][]msg{}}
	return m
}

func (m *model) fault(format string, args ...any) {
	if m.wrong == "" {
		m.wrong = fmt.Sprintf(format, args...)
	}
}

// run is an effect at some node, here or there.
func (m *model) run() {
	m.ran++
	if m.effect == broker.NonIdempotent && m.ran > 1 {
		m.fault("rule 2: it has run %d times", m.ran)
	}
	if m.effect == broker.NonIdempotent && m.final == "shed" {
		m.fault("rule 2: it was shed, and has run")
	}
}

func (m *model) end(how string) {
	if m.left {
		return
	}
	if m.finals++; m.finals > 1 {
		m.fault("rule 1: %s after %s", how, m.final)
	}
	m.final = how
	if how == "shed" && m.effect != broker.Idempotent && m.ran > 0 {
		m.fault("rule 2: shed, though it has run")
	}
	if how == "answered" && m.ran == 0 {
		m.fault("rule 5: answered, though nothing has run")
	}
}

// acts carries out what the near side decided.
func (m *model) acts() {
	for _, a := range m.near.Acts() {
		switch a.Kind {
		case Forward:
			m.outbox = append(m.outbox, msg{"ask", a.Again})
		case Cancel:
			m.outbox = append(m.outbox, msg{"cancel", false})
		case Home:
			m.home, m.risk = true, a.Risk
		case Shed:
			m.end("shed")
		case Fail:
			m.end("failed")
		}
	}
}

func (m *model) origin() Origin { return Origin{"near", 1} }

// farSays sends the near side a verdict over the newest link, if the far process has one.
func (m *model) farSays(v msg) {
	if m.farConn == m.conn && m.up {
		m.toNear = append(m.toNear, v)
	}
}

// farEnds is the far module's verdict.
func (m *model) farEnds(v msg) {
	m.farRuns = false
	if m.far.Ended(Key{m.origin(), search}) {
		m.verdict = &v
	}
	m.farSays(v)
}

// arrive is a message that the far side reads from some link.
func (m *model) arrive(conn uint64, in msg, full bool) {
	k := Key{m.origin(), search}
	if in.what == "cancel" {
		if m.far.Cancel(k) && m.farRuns {
			m.farEnds(msg{what: "failed"})
		}
		return
	}
	if m.variant == "a far side that forgets" {
		delete(m.far.known, k)
	}
	if full {
		m.far.Shed(m.now)
	} else {
		m.far.shed = 0
	}
	switch m.far.Arrive(k, conn, m.effect, 1, time.Second, Load{Places: 100}, m.now) {
	case Run:
		if m.farRuns {
			m.fault("rule 2: it is run a second time while it runs")
		}
		m.farRuns, m.farRan = true, false
	case Turn:
		m.farSays(msg{what: "refused"})
	case Repeat:
		if m.verdict != nil {
			m.farSays(*m.verdict)
		}
	}
}

// choice is one thing that may happen next.
type choice struct {
	name string
	do   func()
}

// choices lists what may happen, always in the same order.
func (m *model) choices() (all []choice) {
	add := func(name string, if_ bool, do func()) {
		if if_ {
			all = append(all, choice{name, func() { do(); m.acts() }})
		}
	}
	add("offer", !m.begun && m.up, func() {
		m.begun = true
		if !m.near.Offer(Search{ID: search, Effect: m.effect, Window: 300 * time.Millisecond, Due: m.now + time.Second}, m.now) {
			m.fault("not forwarded")
		}
	})
	add("connect", !m.up && m.conn < 3, func() {
		m.conn++
		m.up, m.farConn, m.toNear = true, m.conn, nil
		if m.variant != "old links are heard" {
			m.far.Opened(m.origin(), m.conn)
		}
		m.near.Up(0, m.epoch, 10, m.now)
		m.near.Heard(0, Status{Room: 1}, 10*time.Millisecond, m.now+1)
	})
	add("write", m.up && len(m.outbox) > 0, func() {
		m.toFar[m.conn] = append(m.toFar[m.conn], m.outbox[0])
		m.outbox = m.outbox[1:]
	})
	add("near sees a cut", m.up && m.cuts < 2, func() {
		m.cuts++
		m.up = false
		var unsent []uint64
		for _, o := range m.outbox {
			if o.what == "ask" {
				unsent = append(unsent, search)
			}
		}
		if m.variant == "all lost is taken for unsent" {
			unsent = []uint64{search}
		}
		m.outbox, m.toNear = nil, nil
		m.near.Down(0, unsent, m.now)
	})
	add("far sees a cut", m.farConn > 0 && (!m.up || m.farConn < m.conn), func() {
		m.farConn = 0
		if m.far.Cut(Key{m.origin(), search}) && m.farRuns {
			m.farEnds(msg{what: "failed"})
		}
	})
	for conn := uint64(1); conn <= m.conn; conn++ {
		add(fmt.Sprintf("far reads link %d", conn), len(m.toFar[conn]) > 0 && conn > m.deaf, func() {
			in := m.toFar[conn][0]
			m.toFar[conn] = m.toFar[conn][1:]
			m.arrive(conn, in, false)
		})
		add(fmt.Sprintf("far reads link %d and is full", conn), len(m.toFar[conn]) > 0 && conn > m.deaf && m.toFar[conn][0].what == "ask", func() {
			in := m.toFar[conn][0]
			m.toFar[conn] = m.toFar[conn][1:]
			m.arrive(conn, in, true)
		})
		add(fmt.Sprintf("link %d loses what it holds", conn), len(m.toFar[conn]) > 0 && (!m.up || conn < m.conn), func() {
			delete(m.toFar, conn)
		})
	}
	add("near reads", m.up && len(m.toNear) > 0, func() {
		in := m.toNear[0]
		m.toNear = m.toNear[1:]
		how := map[string]Ended{"answered": Answered, "refused": Refused, "failed": Failed}[in.what]
		if m.near.Back(0, search, how, m.now) {
			m.end(in.what)
		}
	})
	once := m.effect == broker.NonIdempotent
	add("a far node runs it", m.farRuns && m.ran < 3 && !(once && m.farRan), func() { m.farRan = true; m.run() })
	add("the far module answers", m.farRuns && m.farRan, func() { m.farEnds(msg{what: "answered"}) })
	add("the far module fails it", m.farRuns, func() { m.farEnds(msg{what: "failed"}) })
	add("the far module sheds it", m.farRuns && (!m.farRan || m.effect == broker.Idempotent), func() { m.farEnds(msg{what: "refused"}) })
	add("the far process is killed", m.kills < 1, func() {
		m.kills++
		m.epoch++
		m.far, m.farRuns, m.verdict, m.farConn = NewFar(modelPolicy), false, nil, 0
		m.toFar, m.toNear, m.deaf = map[uint64][]msg{}, nil, m.conn
	})
	add("a node runs it at home", m.home && m.ran < 3 && !(once && m.homeRan), func() { m.homeRan = true; m.run() })
	add("home answers", m.home && m.homeRan, func() { m.home = false; m.end("answered") })
	add("home fails it", m.home, func() { m.home = false; m.end("failed") })
	add("home sheds it", m.home && (!m.homeRan || m.effect == broker.Idempotent), func() {
		m.home = false
		if m.risk && m.effect != broker.Idempotent {
			m.end("failed")
		} else {
			m.end("shed")
		}
	})
	add("the client goes", m.begun && m.finals == 0 && !m.left && !m.home, func() {
		m.left = true
		m.near.Gone(search)
	})
	add("time passes", m.begun && m.finals == 0 && m.now < 2*time.Second, func() {
		next := m.near.Tick(m.now)
		if next > time.Hour {
			next = m.now + 250*time.Millisecond
		}
		m.now = next
		m.near.Tick(m.now)
		if m.now >= time.Second+m.near.policy.Speak && !m.home && !m.left && m.finals == 0 && len(m.near.Acts()) == 0 {
			m.fault("rule 1: no answer at %v", m.now)
		}
	})
	return all
}

func (m *model) String() string {
	var b strings.Builder
	fmt.Fprint(&b, m.now, m.epoch, m.conn, m.up, m.outbox, m.toFar, m.toNear, m.farConn, m.deaf, m.farRuns, m.home, m.risk, m.begun, m.left, m.final,
		m.ran, m.homeRan, m.farRan, m.cuts, m.kills)
	if m.verdict != nil {
		fmt.Fprint(&b, *m.verdict)
	}
	for _, t := range m.near.trips {
		fmt.Fprint(&b, *t)
	}
	for _, k := range m.far.known {
		fmt.Fprint(&b, *k)
	}
	fmt.Fprint(&b, m.far.links, m.near.peers[0].up, m.near.peers[0].abroad)
	return b.String()
}

// explore tries everything to a depth and returns the states met and the first fault with the way to it.
func explore(variant string, effect broker.Effect, depth int) (states int, wrong string) {
	seen := map[string]bool{}
	paths := [][]byte{{}}
	for range depth {
		var next [][]byte
		for _, path := range paths {
			m, names := newModel(variant, effect), []string{}
			for _, c := range path {
				all := m.choices()
				names = append(names, all[c].name)
				all[c].do()
			}
			if m.wrong != "" {
				return len(seen), m.wrong + ": " + strings.Join(names, ", ")
			}
			if key := m.String(); seen[key] {
				continue
			} else {
				seen[key] = true
			}
			for c := range m.choices() {
				next = append(next, append(slices.Clone(path), byte(c)))
			}
		}
		paths = next
	}
	return len(seen), ""
}

func modelDepth() int {
	if testing.Short() {
		return 9
	}
	return 11
}

// Whatever a link, two processes and time do to one forwarded search, the rules hold.
func TestModel(t *testing.T) {
	for _, effect := range []broker.Effect{broker.Idempotent, broker.Tokened, broker.NonIdempotent} {
		states, wrong := explore("", effect, modelDepth())
		if wrong != "" {
			t.Errorf("effect %d: %s", effect, wrong)
		}
		t.Logf("effect %d: %d states to depth %d", effect, states, modelDepth())
	}
}

// The model finds what is broken on purpose.
func TestModelFindsBrokenVariants(t *testing.T) {
	for _, variant := range []string{"a far side that forgets", "old links are heard", "all lost is taken for unsent"} {
		states, wrong := explore(variant, broker.NonIdempotent, 13)
		if wrong == "" {
			t.Errorf("%s: not found in %d states", variant, states)
		}
		t.Logf("%s: %s (%d states)", variant, wrong, states)
	}
}
