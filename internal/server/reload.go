package server

import (
	"fmt"
	"log/slog"
	"slices"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/remedy"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/discovery"
)

// SecondPhaseError reports a query type in the settings with a second phase, which the protocol does not support.
type SecondPhaseError struct{ QueryType string }

func (e *SecondPhaseError) Error() string {
	return fmt.Sprintf("configuration: settings: domain.fetchParts: %s has a second phase, which the protocol does not support", e.QueryType)
}

// checkConfiguration checks what reading the configuration file did not, and decodes the endpoint list if the file contains one.
func checkConfiguration(start *terms.Config, reader discovery.Reader) (list *discovery.List, given bool, err error) {
	t := &start.Terms
	for i := range t.Module.QueryTypes {
		if t.Module.QueryTypes[i].SecondPhaseRequests > 0 {
			return nil, false, &SecondPhaseError{t.Types[i]}
		}
	}
	if len(start.Known) == 0 || string(start.Known) == "null" {
		return &discovery.List{}, false, nil
	}
	list, err = reader.Decode(start.Known)
	if err != nil {
		return nil, false, fmt.Errorf("configuration: known: %w", err)
	}
	list.Full = true
	return list, true, nil
}

// Reload applies a new configuration while serving, and logs one line about it. The caller has read and checked the files; err is the error
// that the caller found. After an error the old configuration stays in force. The address of discovery and the settings change; what needs a
// restart is logged and stays as it was. Calls must not overlap.
func (s *Server) Reload(start *terms.Config, file *operator.File, err error) {
	var reader discovery.Reader
	var list *discovery.List
	var listGiven bool
	if err == nil {
		reader = discovery.Reader{Zones: start.Terms.Zones, CellCount: start.Terms.Module.Cells, StartedAt: s.loop.start}
		list, listGiven, err = checkConfiguration(start, reader)
	}
	if err != nil {
		slog.Error("configuration reload rejected", "error", err, "remedy", remedy.Of(err))
		return
	}
	if !listGiven {
		list = nil
	}
	current := *s.start
	current.Terms = *s.Settings()
	needsRestart := current.ChangedFields(start)
	i := slices.Index(needsRestart, "settings")
	settingsSwitched := i >= 0 && s.canReconfigure(&start.Terms)
	var discoverySettings *discovery.Settings
	if settingsSwitched {
		needsRestart = slices.Delete(needsRestart, i, i+1)
		discoverySettings = s.switchSettings(&current.Terms, start, reader, list)
	}
	needsRestart = append(needsRestart, s.operator.ChangedFields(file)...)
	if s.discoveryAddress != start.Discovery || discoverySettings != nil {
		s.discoveryAddress = start.Discovery
		s.discoveryClient.ChangeAddress(start.Discovery.String(), discoverySettings)
	}
	s.reloadCertificates()
	slog.Info("configuration reloaded", "discovery", start.Discovery, "settings_switched", settingsSwitched, "needs_restart", needsRestart)
}

// switchSettings changes the loop to other settings, and returns the new settings for polling discovery, or nil if they are unchanged. list
// is the endpoint list of the configuration; nil: it contains none.
func (s *Server) switchSettings(current *terms.Terms, start *terms.Config, reader discovery.Reader, list *discovery.List) *discovery.Settings {
	next := &start.Terms
	otherDiscoveryAndTypes := s.discoveryAddress != start.Discovery && !slices.Equal(current.Types, next.Types)
	deploymentChanged := otherDiscoveryAndTypes || current.Fingerprint() != next.Fingerprint()
	if !deploymentChanged {
		list = nil
	}
	s.reconfigure(next, deploymentChanged, list)
	if deploymentChanged || current.MaxPollInterval != next.MaxPollInterval || current.ListPushed != next.ListPushed {
		return &discovery.Settings{Reader: reader, MaxWatchTime: next.MaxPollInterval, LocalAgent: next.ListPushed}
	}
	return nil
}

// reloadCertificates reads the certificates of site links and of the control plane again. If a file can't be read, the old ones stay in force.
func (s *Server) reloadCertificates() {
	if s.siteKeys != nil {
		if err := s.siteKeys.Reload(); err != nil {
			slog.Error("certificate reload rejected", "component", "gateway", "error", err, "remedy", remedy.Of(err))
		} else {
			slog.Info("certificates reloaded", "component", "gateway", "broker", s.siteKeys.ID(), "expires", s.siteKeys.Expiry())
		}
	}
	if s.controlPlane != nil {
		if err := s.controlPlane.keys.Reload(); err != nil {
			slog.Error("certificate reload rejected", "component", "control-plane", "error", err, "remedy", remedy.Of(err))
		}
	}
}

// canReconfigure reports whether other settings can be applied without a restart. The features that the operators' file turns on depend on
// the settings at the start, and so do the addresses at which brokers communicate.
func (s *Server) canReconfigure(t *terms.Terms) bool {
	if _, ok := s.loop.router.(reconfigurable); !ok || s.boundToSettings() {
		return false
	}
	current := s.Settings()
	return t.PeerNumber == current.PeerNumber && t.Module.GossipAllowed == current.Module.GossipAllowed
}

// boundToSettings reports whether a feature that can't change to other settings is on.
func (s *Server) boundToSettings() bool {
	o := s.operator
	switch {
	case o.Admission.On, o.Membership.On, o.GatewayEnabled(), o.NodeListEnabled(), o.ControlPlaneEnabled(), o.ControlPlaneSettings.Pins:
		return true
	}
	return o.StoreProtocol.Protocol != "" || len(s.fronts) > 0
}

// reconfigure applies other settings, first to the loop and then to the reading of requests. A query that was read under the old settings and
// reaches the loop after the change is translated there.
func (s *Server) reconfigure(t *terms.Terms, deploymentChanged bool, list *discovery.List) {
	m := settingsChanged{t, deploymentChanged, list, make(chan struct{})}
	if !s.deliver(m) {
		return
	}
	select {
	case <-m.done:
		s.settings.Store(t)
	case <-s.ctx.Done():
	}
}
