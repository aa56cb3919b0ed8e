package server

import (
	"log/slog"
	"time"

	"flaxfront/internal/transport/link"
)

// By the protocol, clients open new connections for up to newConnectionPeriod after a shutdown was requested, and what comes later than
// answerWithin has to be answered before the process is killed. The broker stops accepting halfway between the two.
const (
	newConnectionPeriod = 400 * time.Millisecond
	answerWithin        = 700 * time.Millisecond
	stopAcceptingAfter  = (newConnectionPeriod + answerWithin) / 2
)

// The process is killed answerWithin after the longest client timeout has passed since the shutdown was requested, but at the latest
// maxKillWait plus answerWithin after that request. Answers have to be sent killMargin before the kill; a
// query that arrives too late for that still has minAnswerTime.
const (
	maxKillWait   = 3 * time.Second
	killMargin    = 150 * time.Millisecond
	minAnswerTime = 50 * time.Millisecond
)

// drain shuts down gracefully: the broker accepts clients for as long as they may connect, and then answers the queries in flight.
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

// announceShutdown tells the other brokers of the shutdown, members first, so that they take over periodic jobs at once.
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
		s.siteLinks.SetStatus(link.Status{IsDraining: true}, true) // other sites forward nothing new; queries in flight are finished
	}
}

// answerDeadline returns when a query that arrived at arrival has to be answered, as the time since the broker's start. For a query that
// arrives after a shutdown was requested, the deadline is killMargin before the kill at the latest, but minAnswerTime after the arrival at the
// earliest: a query that is not answered when the process is killed is lost.
func (s *Server) answerDeadline(arrival, timeout time.Duration) time.Duration {
	deadline := arrival + timeout
	if s.draining.Load() {
		kill := time.Duration(s.stopRequested.Load()) + min(s.Settings().LongestTimeout(), maxKillWait) + answerWithin
		deadline = min(deadline, max(arrival+minAnswerTime, kill-killMargin))
	}
	return deadline
}
