package chaos

// This file observes from outside which brokers are out of service: it polls each broker's /up and sees processes end, and does
// not rely on what brokers say of each other. It must never report a broker as out at a moment at which it may have served: a
// poll that is late on a busy machine must miss an absence rather than invent one.

import (
	"fmt"
	"sync"
	"time"
)

// pollInterval is the interval of polls of each broker. Before a planned stop a broker answers 503 for half a second, so that
// no stop is missed; a crash is seen by the end of the process.
const pollInterval = 15 * time.Millisecond

// Absence is a period in which a broker was certainly out: from the first poll that found it out to the last one that did.
type Absence struct {
	Broker            string
	From, LastSeenOut time.Time
	Killed            bool // killed by the test
	Ended             bool // the broker has served again since
}

// PlannedStop is a planned stop, with the brokers that were certainly out at that moment.
type PlannedStop struct {
	Broker string
	At     time.Time
	Out    []OutBroker
}

// OutBroker is a broker that was out when another one stopped.
type OutBroker struct {
	Broker string
	OutFor time.Duration
	Killed bool // killed by the test
}

// Monitor polls the brokers of a tier.
type Monitor struct {
	mu           sync.Mutex
	all          []*Absence
	current      map[string]*Absence  // of the brokers that are out now
	serves       map[string]bool      // at the last poll
	servedBefore map[string]bool      // has served at some time
	killedAt     map[string]time.Time // when the test was about to kill it
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
			continue // a paused process does not answer, but has not ended
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

// record records the result of a poll, which held at some moment between asked and told.
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

// ExpectKill announces that the test is about to kill a broker, so that its end does not count as a planned stop.
func (w *Monitor) ExpectKill(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killedAt[name] = time.Now()
}

// Serves reports whether a broker served at the last poll.
func (w *Monitor) Serves(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.serves[name]
}

// MaxOut returns the most brokers that were certainly out at once.
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

// PlannedStops returns the planned stops so far.
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

// Check returns the violations of the limit: planned stops while at least most other brokers were out. A killed broker counts only
// once it has been out for known, as brokers cannot know of a crash at once.
func (w *Monitor) Check(most int, known time.Duration) (broken []string) {
	for _, s := range w.PlannedStops() {
		n := 0
		for _, o := range s.Out {
			if !o.Killed || o.OutFor >= known {
				n++
			}
		}
		if n >= most {
			broken = append(broken, fmt.Sprintf("%s stopped at %s while %v were out", s.Broker, s.At.Format("15:04:05.000"), s.Out))
		}
	}
	return broken
}

// Close stops the polls.
func (w *Monitor) Close() {
	close(w.stop)
	w.pollers.Wait()
}
