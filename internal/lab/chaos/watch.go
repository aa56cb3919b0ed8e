package chaos

// This file owns the outside view of who is out: it asks each broker's /up and sees processes end, and takes no broker's word for
// who may go. It must never call a broker out for a moment at which it may have served: a look that came late on a busy machine
// finds nothing, rather than something that was not so.

import (
	"fmt"
	"sync"
	"time"
)

// lookEvery is how often each broker is looked at. A planned stop says 503 for half a second before the process ends, so that none
// is missed; a crash is seen by the end of the process.
const lookEvery = 15 * time.Millisecond

// Absence is a span in which a broker was surely out: from the first sign of it to the last look that still found it so.
type Absence struct {
	Broker     string
	From, Last time.Time
	Killed     bool // by a fault of the test
	Over       bool
}

// Step is one planned stop, with who else was surely out at that moment.
type Step struct {
	Broker string
	At     time.Time
	Out    []Other
}

// Other is a broker that was out when another one went.
type Other struct {
	Broker string
	For    time.Duration
	Killed bool // by a fault of the test
}

// Watch follows a tier.
type Watch struct {
	mu     sync.Mutex
	all    []*Absence
	now    map[string]*Absence  // of those that are out
	serves map[string]bool      // at the last look
	begun  map[string]bool      // served before
	fault  map[string]time.Time // a fault of the test is about to end it
	stop   chan struct{}
	over   sync.WaitGroup
}

func newWatch(t *Tier) *Watch {
	w := &Watch{now: map[string]*Absence{}, serves: map[string]bool{}, begun: map[string]bool{}, fault: map[string]time.Time{},
		stop: make(chan struct{})}
	for _, b := range t.Brokers {
		w.over.Go(func() { w.follow(b) })
	}
	return w
}

func (w *Watch) follow(b *Broker) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		asked := time.Now()
		if b.Held() {
			continue // a process that is stopped says nothing, and has not gone
		}
		if !b.Running() {
			w.see(b.Name, asked, asked, false)
			continue
		}
		if up, said := b.Up(); said {
			w.see(b.Name, asked, time.Now(), up)
		}
	}
}

// see takes a look: at some moment from asked to told it was so.
func (w *Watch) see(name string, asked, told time.Time, up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serves[name] = up
	a := w.now[name]
	switch {
	case up && a != nil:
		a.Over = true
		delete(w.now, name)
		delete(w.fault, name)
	case !up && a != nil:
		a.Last = asked
	case !up && w.begun[name]:
		since, killed := w.fault[name]
		if !killed {
			since = told
		}
		a = &Absence{Broker: name, From: since, Last: since, Killed: killed}
		w.all, w.now[name] = append(w.all, a), a
	}
	w.begun[name] = w.begun[name] || up
}

// Fault tells that a broker is about to be killed by the test: its end is no step.
func (w *Watch) Fault(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault[name] = time.Now()
}

// Serves tells whether a broker served when it was looked at last.
func (w *Watch) Serves(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.serves[name]
}

// Most is how many were surely out at once.
func (w *Watch) Most() (most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.all {
		n := 0
		for _, o := range w.all {
			if !o.From.After(a.From) && !o.Last.Before(a.From) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Steps are the planned stops so far.
func (w *Watch) Steps() (all []Step) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.all {
		if a.Killed {
			continue
		}
		s := Step{Broker: a.Broker, At: a.From}
		for _, o := range w.all {
			if o != a && o.From.Before(a.From) && !o.Last.Before(a.From) {
				s.Out = append(s.Out, Other{o.Broker, a.From.Sub(o.From), o.Killed})
			}
		}
		all = append(all, s)
	}
	return all
}

// Check lists what breaks the limit: a planned stop while as many others as may be out at once were out. A crash that the fleet
// can't have heard of yet is no broker's fault; it is one once it is older than known.
func (w *Watch) Check(most int, known time.Duration) (broken []string) {
	for _, s := range w.Steps() {
		n := 0
		for _, o := range s.Out {
			if !o.Killed || o.For >= known {
				n++
			}
		}
		if n >= most {
			broken = append(broken, fmt.Sprintf("%s went out at %s while %v were out", s.Broker, s.At.Format("15:04:05.000"), s.Out))
		}
	}
	return broken
}

// Close ends the watch.
func (w *Watch) Close() {
	close(w.stop)
	w.over.Wait()
}
