package server

// This file owns other settings taken while the broker serves: what can change, and what needs a restart. It must never take over
// a configuration that was not checked whole.

import (
	"fmt"
	"log/slog"
	"slices"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/remedy"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/discovery"
)

// checkConfiguration reads what the configuration file leaves in other forms.
func checkConfiguration(start *terms.Start, reader discovery.Reader) (list *discovery.List, known bool, err error) {
	t := &start.Terms
	for i := range t.Module.QueryTypes {
		if t.Module.QueryTypes[i].SecondPhaseRequests > 0 {
			return nil, false, fmt.Errorf("configuration: settings: domain.fetchParts: %s has a second step, which "+
				"the protocol has no form for", t.Types[i])
		}
	}
	if len(start.Known) == 0 || string(start.Known) == "null" {
		return &discovery.List{}, false, nil
	}
	if list, err = reader.Decode(start.Known); err != nil {
		return nil, false, fmt.Errorf("configuration: known: %w", err)
	}
	list.Full = true
	return list, true, nil
}

// Reload takes over a new configuration while serving, with one log line. It is read and checked whole by then; err is
// what was wrong with it, and then the old one stays in force. Discovery moves and settings change; what would need a restart is
// named and stays as it was. Calls must not overlap.
func (s *Server) Reload(start *terms.Start, file *operator.File, err error) {
	var list *discovery.List
	var known bool
	var reader discovery.Reader
	if err == nil {
		reader = discovery.Reader{Zones: start.Terms.Zones, CellCount: start.Terms.Module.Cells, StartedAt: s.loop.start}
		list, known, err = checkConfiguration(start, reader)
	}
	if err != nil {
		slog.Error("configuration not taken; the old one stays in force", "error", err, "what_to_do", remedy.Of(err))
		return
	}
	have := *s.start
	have.Terms = *s.Settings()
	fixed := have.Differs(start)
	at := slices.Index(fixed, "settings")
	switched := at >= 0 && s.canReconfigure(&start.Terms)
	var asked *discovery.Settings
	if switched {
		fixed = slices.Delete(fixed, at, at+1)
		elsewhere := s.discoveryAddress != start.Discovery && !slices.Equal(have.Terms.Types, start.Terms.Types)
		moved := elsewhere || have.Terms.Fingerprint() != start.Terms.Fingerprint()
		if !known || !moved {
			list = nil
		}
		s.reconfigure(&start.Terms, moved, list)
		if moved || have.Terms.AskEvery != start.Terms.AskEvery || have.Terms.Pushed != start.Terms.Pushed {
			asked = &discovery.Settings{Reader: reader, MaxWatchTime: start.Terms.AskEvery, LocalAgent: start.Terms.Pushed}
		}
	}
	if fixed = append(fixed, s.operator.Differs(file)...); s.discoveryAddress != start.Discovery || asked != nil {
		s.discoveryAddress = start.Discovery
		s.discoveryClient.ChangeAddress(start.Discovery.String(), asked)
	}
	if s.siteKeys != nil {
		if err := s.siteKeys.Reload(); err != nil {
			slog.Error("keys not taken; the old ones stay in force", "error", err)
		} else {
			slog.Info("keys taken", "broker", s.siteKeys.ID(), "expires", s.siteKeys.Ends())
		}
	}
	if s.controlPlane != nil {
		if err := s.controlPlane.keys.Reload(); err != nil {
			slog.Error("the fleet's keys not taken; the old ones stay in force", "error", err)
		}
	}
	slog.Info("configuration taken", "discovery", start.Discovery, "settings_switched", switched, "needs_restart", fixed)
}

// canReconfigure tells whether other settings can be taken over without a restart. What the operators' own file switches on holds to
// the settings of the start, and so do the addresses at which brokers talk.
func (s *Server) canReconfigure(t *terms.Terms) bool {
	o, have := s.operator, s.Settings()
	plain := !o.Door.On && !o.Crew.On && !o.Linked() && !o.Listed() && !o.Agreed() && o.Back.Protocol == "" && len(s.fronts) == 0 && !o.Fleet.Pins
	_, able := s.loop.router.(reconfigurable)
	return able && plain && t.Me == have.Me && t.Module.GossipAllowed == have.Module.GossipAllowed
}

// reconfigure has all go on under other settings: the loop first, then what clients send. What was read under the old ones and comes
// to the loop later is translated there.
func (s *Server) reconfigure(t *terms.Terms, moved bool, list *discovery.List) {
	r := settingsChanged{t, moved, list, make(chan struct{})}
	if !s.deliver(r) {
		return
	}
	select {
	case <-r.done:
		s.settings.Store(t)
	case <-s.ctx.Done():
	}
}
