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
	expiresSoon = 30 * 24 * time.Hour
	warnEvery   = 12 * time.Hour
)

// openLinks reads the keys and opens the listener for other sites.
func (s *Server) openLinks() (err error) {
	o := &s.operator.Sites
	if s.keys, err = keys.Open(o.Keys); err != nil {
		return err
	}
	opts := link.Options{Keys: s.keys, Epoch: rand.Uint64(), Credit: o.Credit, Sites: o.Allow, MostIn: o.MostLinks,
		Post: func(e link.Event) { s.deliver(e) }}
	var names []string
	for _, t := range o.Dialled() {
		opts.Targets = append(opts.Targets, link.Target{Site: t.Site, Addr: t.Addr.String()})
		names = append(names, fmt.Sprintf("%s at %s", t.Site, t.Addr))
	}
	s.links = link.New(opts)
	s.loop.gate = newGateway(forwarding.Policy{Share: o.Share, Burst: o.Burst, MostAbroad: o.MostAbroad, LeastLeft: o.LeastLeft,
		Speak: o.Speak, Resume: o.Resume, Accept: o.Accept, MostRemember: o.Remember}, names, s.links, &s.start.Terms,
		s.draining.Load)
	if o.Listen != "" {
		if s.linkAt, err = net.Listen("tcp", o.Listen); err != nil {
			return err
		}
		slog.Info("other sites may open links", "at", s.linkAt.Addr(), "as", s.keys.ID(), "sites", o.Allow)
	}
	return nil
}

// runLinks keeps the links until the broker ends.
func (s *Server) runLinks() {
	for peer := range s.operator.Sites.Targets {
		s.group.Go(func() error {
			s.links.Keep(s.ctx, peer)
			return nil
		})
	}
	if s.linkAt != nil {
		s.group.Go(func() error { return s.links.Serve(s.ctx, s.linkAt) })
		s.group.Go(func() error {
			<-s.ctx.Done()
			return s.linkAt.Close()
		})
	}
	s.group.Go(func() error {
		for {
			if left := time.Until(s.keys.Ends()); left < expiresSoon {
				slog.Warn("this broker's certificate expires soon", "broker", s.keys.ID(), "expires", s.keys.Ends(),
					"left", left.Round(time.Hour))
			}
			select {
			case <-time.After(warnEvery):
			case <-s.ctx.Done():
				return nil
			}
		}
	})
}

// drainLinks waits until the searches of other sites are answered, for as long as any client waits at most.
func (s *Server) drainLinks() {
	for end := time.Now().Add(longest(s.Settings())); time.Now().Before(end) && s.Counters().Searches.InHand > 0; {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-s.ctx.Done():
			return
		}
	}
}
