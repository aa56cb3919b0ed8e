package server

// This file owns the links to other sites as part of a broker's life: opened, kept, and ended with a planned stop. It must
// never read what they carry.

import (
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
	certificateExpiryWarning = 30 * 24 * time.Hour
	certificateCheckInterval = 12 * time.Hour
)

// openSiteLinks reads the keys and opens the listener for other sites.
func (s *Server) openSiteLinks() (err error) {
	o := &s.operator.Sites
	if s.siteKeys, err = keys.Open(o.Keys); err != nil {
		return err
	}
	opts := link.Options{Keys: s.siteKeys, Epoch: rand.Uint64(), Credit: o.Credit, Sites: o.Allow, MostIn: o.MostLinks,
		Post: func(e link.Event) { s.deliver(linkEvent{e}) }}
	var names []string
	for _, t := range o.Dialled() {
		opts.Targets = append(opts.Targets, link.Target{Site: t.Site, Addr: t.Addr.String()})
		names = append(names, fmt.Sprintf("%s at %s", t.Site, t.Addr))
	}
	s.siteLinks = link.New(opts)
	s.loop.useGateway(newGateway(forwarding.Policy{Share: o.Share, Burst: o.Burst, MostAbroad: o.MostAbroad, LeastLeft: o.LeastLeft,
		Speak: o.Speak, Resume: o.Resume, Accept: o.Accept, MostRemember: o.Remember}, names, s.siteLinks, &s.start.Terms,
		s.draining.Load))
	if o.Listen != "" {
		if s.siteListener, err = net.Listen("tcp", o.Listen); err != nil {
			return err
		}
		slog.Info("other sites may open links", "at", s.siteListener.Addr(), "as", s.siteKeys.ID(), "sites", o.Allow)
	}
	return nil
}

// runSiteLinks keeps the links until the broker ends.
func (s *Server) runSiteLinks() {
	for peer := range s.operator.Sites.Targets {
		s.group.Go(func() error {
			s.siteLinks.Keep(s.ctx, peer)
			return nil
		})
	}
	if s.siteListener != nil {
		s.group.Go(func() error { return s.siteLinks.Serve(s.ctx, s.siteListener) })
		s.group.Go(func() error {
			<-s.ctx.Done()
			return s.siteListener.Close()
		})
	}
	s.group.Go(func() error {
		for {
			if left := time.Until(s.siteKeys.Ends()); left < certificateExpiryWarning {
				slog.Warn("this broker's certificate expires soon", "broker", s.siteKeys.ID(), "expires", s.siteKeys.Ends(),
					"left", left.Round(time.Hour))
			}
			select {
			case <-time.After(certificateCheckInterval):
			case <-s.ctx.Done():
				return nil
			}
		}
	})
}

// drainSiteLinks waits until the searches of other sites are answered, for as long as any client waits at most.
func (s *Server) drainSiteLinks() {
	for end := time.Now().Add(s.Settings().LongestTimeout()); time.Now().Before(end) && s.Counters().Queries.InFlight > 0; {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-s.ctx.Done():
			return
		}
	}
}
