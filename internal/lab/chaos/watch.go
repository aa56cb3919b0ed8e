package chaos

// This file owns the outside view of who is out: it asks each broker's /up and sees processes end, and takes no broker's word for
// who may go. It must never call a broker out for a moment at which it may have served: a look that came late on a busy machine
// finds nothing, rather than something that was not so.

import (
	"fmt"
	"sync"
	"time"
)

// pollInterval is how often each broker is looked at. A planned stop says 503 for half a second before the process ends, so that none
// is missed; a crash is seen by the end of the process.
const pollInterval = 15 * time.Millisecond

// Absence is a span in which a broker was surely out: from the first sign of it to the last look that still found it so.
type Absence struct {
	Broker            string
	From, LastSeenOut time.Time
	Killed            bool // by a fault of the test
	Ended             bool
}

// PlannedStop is one planned stop, with who else was surely out at that moment.
type PlannedStop struct {
	Broker string
	At     time.Time
	Out    []OutBroker
}

// OutBroker is a broker that was out when another one went.
type OutBroker struct {
	Broker string
	OutFor time.Duration
	Killed bool // by a fault of the test
}

// Monitor follows a tier.
type Monitor struct {
	mu           sync.Mutex
	all          []*Absence
	current      map[string]*Absence  // of those that are out
	serves       map[string]bool      // at the last look
	servedBefore map[string]bool      // served before
	killedAt     map[string]time.Time // a fault of the test is about to end it
	stop         chan struct{}
	pollers      sync.WaitGroup
}

func newMonitor(t *Tier) *Monitor {
	w := &Monitor{current: map[string]*Absence{}, serves: map[string]bool{}, servedBefore: map[string]bool{}, killedAt: map[string]time.Time{},
		stop: make(chan struct{})}
	for _, b := range t.Brokers {
		w.pollers.Go(func() { w.poll(b) })
	}
	return w
}

func (w *Monitor) poll(b *Broker) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		asked := time.Now()
		if b.Paused() {
			continue // a process that is stopped says nothing, and has not gone
		}
		if !b.Running() {
			w.record(b.Name, asked, asked, false)
			continue
		}
		if up, said := b.Serving(); said {
			w.record(b.Name, asked, time.Now(), up)
		}
	}
}

// record takes a look: at some moment from asked to told it was so.
func (w *Monitor) record(name string, asked, told time.Time, up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serves[name] = up
	a := w.current[name]
	switch {
	case up && a != nil:
		a.Ended = true
		delete(w.current, name)
		delete(w.killedAt, name)
	case !up && a != nil:
		a.LastSeenOut = asked
	case !up && w.servedBefore[name]:
		since, killed := w.killedAt[name]
		if !killed {
			since = told
		}
		a = &Absence{Broker: name, From: since, LastSeenOut: since, Killed: killed}
		w.all, w.current[name] = append(w.all, a), a
	}
	w.servedBefore[name] = w.servedBefore[name] || up
}

// ExpectKill tells that a broker is about to be killed by the test: its end is no step.
func (w *Monitor) ExpectKill(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killedAt[name] = time.Now()
}

// Serves tells whether a broker served when it was looked at last.
func (w *Monitor) Serves(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.serves[name]
}

// MaxOut is how many were surely out at once.
func (w *Monitor) MaxOut() (most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.all {
		n := 0
		for _, o := range w.all {
			if !o.From.After(a.From) && !o.LastSeenOut.Before(a.From) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// PlannedStops are the planned stops so far.
func (w *Monitor) PlannedStops() (all []PlannedStop) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.all {
		if a.Killed {
			continue
		}
		s := PlannedStop{Broker: a.Broker, At: a.From}
		for _, o := range w.all {
			if o != a && o.From.Before(a.From) && !o.LastSeenOut.Before(a.From) {
				s.Out = append(s.Out, OutBroker{o.Broker, a.From.Sub(o.From), o.Killed})
			}
		}
		all = append(all, s)
	}
	return all
}

// Check lists what breaks the limit: a planned stop while as many others as may be out at once were out. A crash that the fleet
// can't have heard of yet is no broker's fault; it is one once it is older than known.
func (w *Monitor) Check(most int, known time.Duration) (broken []string) {
	for _, s := range w.PlannedStops() {
		n := 0
		for _, o := range s.Out {
			if !o.Killed || o.OutFor >= known {
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
func (w *Monitor) Close() {
	close(w.stop)
	w.pollers.Wait()
}
