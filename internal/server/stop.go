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
		s.controlPlane.SetLeaving()
	}
	if s.siteLinks != nil {
		s.siteLinks.Say(link.Status{Stopping: true}, true) // nothing new from other sites; what is in hand is finished
	}
	select {
	case <-s.after(stopTaking):
	case <-s.ctx.Done():
		return
	}
	s.ingress.StopAccepting()
	for _, f := range s.fronts {
		f.Drain()
	}
	s.ingress.CloseIdle()
	s.ingress.Wait()
	s.serving.Wait()
	if s.siteLinks != nil {
		s.drainSiteLinks()
	}
	if s.loop.connLeases != nil {
		s.releaseLeases()
	}
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
		kill := time.Duration(s.stopRequested.Load()) + min(s.Settings().LongestTimeout(), killWaits) + answerWithin
		by = min(by, max(arrived+leastAnswer, kill-beforeKill))
	}
	return by
}
