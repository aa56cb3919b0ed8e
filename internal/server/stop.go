package server

import (
	"log/slog"
	"time"

	"flaxfront/internal/transport/link"
)

// By the protocol new connections come for newConnectionPeriod after a shutdown was requested, and what comes later than answerWithin has to
// be answered before the process is killed. Between the two the broker stops accepting.
const (
	newConnectionPeriod = 400 * time.Millisecond
	answerWithin        = 700 * time.Millisecond
	stopAcceptingAfter  = (newConnectionPeriod + answerWithin) / 2
)

// The process is killed answerWithin after the longest time of a client, but no later than maxKillWait plus answerWithin, after the shutdown
// was requested. An answer has to be on its way some time before.
const (
	maxKillWait   = 3 * time.Second
	killMargin    = 150 * time.Millisecond
	minAnswerTime = 50 * time.Millisecond
)

// drain is a graceful shutdown: the broker serves for as long as clients may come, then until all that is in flight is answered.
func (s *Server) drain() {
	slog.Info("shutdown started", "in_flight", s.Counters().Queries.InFlight)
	s.stopRequested.Store(int64(s.loop.since()))
	s.draining.Store(true)
	s.announceShutdown()
	select {
	case <-s.timeAfter(stopAcceptingAfter):
	case <-s.ctx.Done():
		return
	}
	s.ingress.StopAccepting()
	for _, f := range s.fronts {
		f.Drain()
	}
	s.ingress.CloseIdle()
	s.ingress.Wait()
	s.servingFronts.Wait()
	if s.siteLinks != nil {
		s.drainSiteLinks()
	}
	if s.loop.connLeases != nil {
		s.releaseLeases()
	}
}

// announceShutdown tells the other brokers, members first, so that periodic jobs are taken over at once.
func (s *Server) announceShutdown() {
	if s.loop.membership != nil {
		m := shutdownStarted{make(chan struct{})}
		if s.deliver(m) {
			select {
			case <-m.done:
			case <-s.ctx.Done():
			}
		}
	}
	if s.controlPlane != nil {
		s.controlPlane.SetLeaving()
	}
	if s.siteLinks != nil {
		s.siteLinks.Say(link.Status{Stopping: true}, true) // nothing new from other sites; what is in flight is finished
	}
}

// answerDeadline is when a query that came at a time has to be answered: what comes after the shutdown was requested, and is not answered when the
// process is killed, is lost.
func (s *Server) answerDeadline(arrival, timeout time.Duration) time.Duration {
	deadline := arrival + timeout
	if s.draining.Load() {
		kill := time.Duration(s.stopRequested.Load()) + min(s.Settings().LongestTimeout(), maxKillWait) + answerWithin
		deadline = min(deadline, max(arrival+minAnswerTime, kill-killMargin))
	}
	return deadline
}
