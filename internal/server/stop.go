package server

// This file owns a planned stop. It must never drop a search that was taken in time.

import (
	"log/slog"
	"time"

	"flaxfront/internal/transport/link"
)

// drain goes on serving for as long as clients may come, then until all that was taken is answered.
func (s *Server) drain() {
	slog.Info("stopping", "in_hand", s.Counters().Queries.InFlight)
	s.stopRequested.Store(int64(s.loop.since()))
	s.draining.Store(true)
	if s.loop.membership != nil { // before anything else: duties are taken over at once
		d := shutdownStarted{make(chan struct{})}
		if s.deliver(d) {
			select {
			case <-d.done:
			case <-s.ctx.Done():
			}
		}
	}
	if s.controlPlane != nil {
		s.controlPlane.Leaving()
	}
	if s.siteLinks != nil {
		s.siteLinks.Say(link.Status{Stopping: true}, true) // nothing new from other sites; what is in hand is finished
	}
	select {
	case <-s.after(stopTaking):
	case <-s.ctx.Done():
		return
	}
	s.takeQueued()
	for _, f := range s.fronts {
		f.Drain()
	}
	s.clients.closeIdle()
	s.serving.Wait()
	if s.siteLinks != nil {
		s.drainSiteLinks()
	}
	if s.loop.connLeases != nil {
		s.releaseLeases()
	}
}

// Connections that wait in the kernel at the end are still accepted, until none has come for queuedFor, and no longer than queuedMost.
// By the protocol none comes any more by then.
const (
	queuedFor  = 20 * time.Millisecond
	queuedMost = stopTaking
)

// queueEnd tells when the queue of connections that wait in the kernel is empty. Accepting goes on after a deadline, as that may have
// passed before the kernel was asked.
type queueEnd struct {
	since time.Time // the first deadline
	asked bool      // a deadline has passed with nothing accepted since
}

// taken notes a connection that was accepted.
func (q *queueEnd) taken() { q.asked = false }

// empty notes a deadline, and tells whether it was the last.
func (q *queueEnd) empty() bool {
	if q.since.IsZero() {
		q.since = time.Now()
	}
	last := q.asked || time.Since(q.since) > queuedMost
	q.asked = true
	return last
}

// acceptQueued has the accepting end once no connection has come for a moment; false: the listener can't.
func (s *Server) acceptQueued() bool {
	l, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(queuedFor)) == nil
}

// takeQueued ends the accepting of connections. Danger: those that wait in the kernel when the listener closes are reset, with the
// requests that their clients have sent.
func (s *Server) takeQueued() {
	if s.acceptQueued() {
		<-s.accepted
	}
	s.listener.Close()
	<-s.accepted
}

// The protocol's kill comes no sooner than the longest time of a client, but at most killWaits, and mustAnswer more after the stop was
// asked for. An answer has to be on its way some time before.
const (
	killWaits   = 3 * time.Second
	beforeKill  = 150 * time.Millisecond
	leastAnswer = 50 * time.Millisecond
)

// answerBy is when a search has to be answered that came at a time. Danger: what comes after the stop was asked for and is not
// answered when the process is killed is lost.
func (s *Server) answerBy(arrived, timeout time.Duration) time.Duration {
	by := arrived + timeout
	if s.draining.Load() {
		kill := time.Duration(s.stopRequested.Load()) + min(longestTimeout(s.Settings()), killWaits) + answerWithin
		by = min(by, max(arrived+leastAnswer, kill-beforeKill))
	}
	return by
}
