package server

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"flaxfront/internal/decision/forwarding"
	"flaxfront/internal/transport/keys"
	"flaxfront/internal/transport/link"
)

const (
	certificateExpiryWarning = 30 * 24 * time.Hour // before the certificate expires
	certificateCheckInterval = 12 * time.Hour
	drainCheckInterval       = 10 * time.Millisecond
)

// openSiteLinks opens the keys and the listener for other sites, and attaches the gateway to the loop.
func (s *Server) openSiteLinks() (err error) {
	o := &s.operator.Sites
	s.siteKeys, err = keys.Open(o.Keys)
	if err != nil {
		return err
	}
	options := link.Options{
		Keys:        s.siteKeys,
		Epoch:       rand.Uint64(),
		Credit:      o.Credit,
		Sites:       o.AllowedSites,
		MaxAccepted: o.MaxLinks,
		Post:        func(e link.Event) { s.deliver(linkEvent{e}) },
	}
	var names []string
	for _, t := range o.ParsedTargets() {
		options.Targets = append(options.Targets, link.Target{Site: t.Site, Addr: t.Addr.String()})
		names = append(names, fmt.Sprintf("%s at %s", t.Site, t.Addr))
	}
	s.siteLinks = link.New(options)
	policy := forwarding.Policy{
		ForwardShare:     o.ForwardedShare,
		Burst:            o.Burst,
		MaxForwarded:     o.MaxInFlight,
		MinRemainingTime: o.MinTimeLeft,
		AnswerReserve:    o.AnswerMargin,
		ResumeTimeout:    o.ResumeWait,
		RemoteShare:      o.AcceptShare,
		MaxRemembered:    o.RememberLimit,
	}
	s.loop.useGateway(newGateway(policy, names, s.siteLinks, &s.start.Terms, s.draining.Load))
	if o.Listen != "" {
		s.siteListener, err = net.Listen("tcp", o.Listen)
		if err != nil {
			return err
		}
		slog.Info("site links accepted", "component", "gateway", "address", s.siteListener.Addr(), "broker", s.siteKeys.ID(), "sites", o.AllowedSites)
	}
	return nil
}

// runSiteLinks keeps up the links to other sites, and accepts theirs, until the broker ends.
func (s *Server) runSiteLinks() {
	for peer := range s.operator.Sites.Targets {
		s.startGoroutine(func(ctx context.Context) error {
			s.siteLinks.Maintain(ctx, peer)
			return nil
		})
	}
	if s.siteListener != nil {
		s.startGoroutine(func(ctx context.Context) error { return s.siteLinks.Serve(ctx, s.siteListener) })
		s.startGoroutine(func(ctx context.Context) error {
			<-ctx.Done()
			return s.siteListener.Close()
		})
	}
	s.startGoroutine(s.watchCertificate)
}

// watchCertificate logs a warning every certificateCheckInterval while the certificate for site links is about to expire, until ctx ends.
func (s *Server) watchCertificate(ctx context.Context) error {
	for {
		if left := time.Until(s.siteKeys.Expiry()); left < certificateExpiryWarning {
			slog.Warn("certificate expires soon", "component", "certificates", "broker", s.siteKeys.ID(), "expires", s.siteKeys.Expiry(),
				"left", left.Round(time.Hour))
		}
		select {
		case <-time.After(certificateCheckInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// drainSiteLinks waits until no query is in flight, so that other sites get their results, for at most the longest timeout of a query.
func (s *Server) drainSiteLinks() {
	end := time.Now().Add(s.Settings().LongestTimeout())
	for time.Now().Before(end) && s.Counters().Queries.InFlight > 0 {
		select {
		case <-time.After(drainCheckInterval):
		case <-s.ctx.Done():
			return
		}
	}
}
