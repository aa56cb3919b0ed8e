package forwarding

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// This file checks the protocol of one forwarded search over the real Near and Far: every interleaving of what a link, two
// processes, the nodes, a client and time may do is tried to a stated depth. States that were met are not gone into again.

// model is one state. It is made anew by replaying the choices that lead to it, as the real code can't be copied.
type model struct {
	variant string
	effect  decision.Idempotency
	near    *Forwarder
	far     *Receiver
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

var modelPolicy = Policy{ForwardShare: 0.1, Burst: 5, MaxForwarded: 10, MinTimeLeft: 20 * time.Millisecond, AnswerReserve: 50 * time.Millisecond,
	ResumeTimeout: 200 * time.Millisecond, RemoteShare: 0.5, MaxRemembered: 4}

func newModel(variant string, effect decision.Idempotency) *model {
	m := &model{variant: variant, effect: effect, near: NewForwarder(modelPolicy, []string{"far"}), far: NewReceiver(modelPolicy),
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
	if m.effect == decision.NonIdempotent && m.ran > 1 {
		m.fault("rule 2: it has run %d times", m.ran)
	}
	if m.effect == decision.NonIdempotent && m.final == "shed" {
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
	if how == "shed" && m.effect != decision.Idempotent && m.ran > 0 {
		m.fault("rule 2: shed, though it has run")
	}
	if how == "answered" && m.ran == 0 {
		m.fault("rule 5: answered, though nothing has run")
	}
}

// acts carries out what the near side decided.
func (m *model) acts() {
	for _, a := range m.near.DrainActions() {
		switch a.Kind {
		case Forward:
			m.outbox = append(m.outbox, msg{"ask", a.Resent})
		case Cancel:
			m.outbox = append(m.outbox, msg{"cancel", false})
		case Resubmit:
			m.home, m.risk = true, a.MayHaveRun
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
	if m.far.QueryEnded(Key{m.origin(), search}) {
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
		m.far.QueryShed(m.now)
	} else {
		m.far.shed = 0
	}
	switch m.far.HandleQuery(k, conn, m.effect, 1, time.Second, Load{Capacity: 100}, m.now) {
	case Admit:
		if m.farRuns {
			m.fault("rule 2: it is run a second time while it runs")
		}
		m.farRuns, m.farRan = true, false
	case Reject:
		m.farSays(msg{what: "refused"})
	case AlreadyEnded:
		if m.verdict != nil {
			m.farSays(*m.verdict)
		}
	}
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
func explore(variant string, effect decision.Idempotency, depth int) (states int, wrong string) {
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
	for _, effect := range []decision.Idempotency{decision.Idempotent, decision.IdempotencyKeyed, decision.NonIdempotent} {
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
		states, wrong := explore(variant, decision.NonIdempotent, 13)
		if wrong == "" {
			t.Errorf("%s: not found in %d states", variant, states)
		}
		t.Logf("%s: %s (%d states)", variant, wrong, states)
	}
}
