package terms

// This file owns the configuration file. It must never open what the file names, or serve with a field that is wrong.

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
)

// Limits are what the platform lets one broker use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is the configuration file, read and checked.
type Config struct {
	Name       string
	Listen     netip.AddrPort
	Discovery  netip.AddrPort
	PeerListen netip.AddrPort // not valid: brokers do not talk
	Peers      []netip.AddrPort
	PeersAll   netip.AddrPort
	Limits     Limits
	Known      json.RawMessage // the node list as last held, in discovery's form
	Terms      Terms
}

// ReadConfig reads the configuration file; an error names the field at fault.
func ReadConfig(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{err}
	}
	s, err := DecodeConfig(raw)
	if err != nil {
		return nil, &InvalidConfigError{path, err}
	}
	return s, nil
}

// DecodeConfig reads the text of a configuration file.
func DecodeConfig(raw []byte) (*Config, error) {
	var file struct {
		Name       string          `json:"name"`
		Listen     string          `json:"listen"`
		Discovery  string          `json:"discovery"`
		Seed       string          `json:"seed"`
		Limits     Limits          `json:"limits"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		PeersAll   string          `json:"peers_all"`
		Known      json.RawMessage `json:"known"`
		Settings   json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if len(file.Settings) == 0 {
		return nil, fmt.Errorf("configuration: settings: missing")
	}
	config := &Config{Name: file.Name, Limits: file.Limits, Known: file.Known}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("configuration: seed: %q is no hexadecimal number", file.Seed)
	}
	if l := config.Limits; l.Cores <= 0 || l.MemoryMB <= 0 || l.Sockets <= 0 {
		return nil, fmt.Errorf("configuration: limits: %+v: each must be above 0", l)
	}
	if config.Terms, err = FromJSON(file.Settings, seed); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	address := func(field, text string) (at netip.AddrPort) {
		if err == nil {
			if at, err = netip.ParseAddrPort(text); err != nil {
				err = fmt.Errorf("configuration: %s: %q is no address with a port", field, text)
			}
		}
		return at
	}
	config.Listen, config.Discovery = address("listen", file.Listen), address("discovery", file.Discovery)
	if config.Terms.Module.GossipAllowed {
		config.PeerListen, config.PeersAll = address("peer_listen", file.PeerListen), address("peers_all", file.PeersAll)
		for i, text := range file.Peers {
			config.Peers = append(config.Peers, address(fmt.Sprintf("peers.%d", i), text))
		}
	}
	if err != nil {
		return nil, err
	}
	return config, nil
}

// ChangedFields names the fields in which another configuration says something that only a restart could take over.
func (s *Config) ChangedFields(o *Config) (fields []string) {
	mine, theirs := s.Terms, o.Terms
	mine.Module.Seed = theirs.Module.Seed // is new with each start
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", s.Name == o.Name},
		{"listen", s.Listen == o.Listen},
		{"limits", s.Limits == o.Limits},
		{"peer_listen", s.PeerListen == o.PeerListen},
		{"peers", slices.Equal(s.Peers, o.Peers)},
		{"peers_all", s.PeersAll == o.PeersAll},
		{"settings", reflect.DeepEqual(mine, theirs)},
	} {
		if !f.same {
			fields = append(fields, f.name)
		}
	}
	return fields
}
