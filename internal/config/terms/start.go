package terms

// This file reads the configuration file. It opens none of the files and addresses that are named there, and rejects the whole
// configuration if a field is invalid.

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
)

// Limits are the resources that the platform grants to one broker.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // open at once
}

// Config is the content of a configuration file that was read and checked.
type Config struct {
	Name       string
	Listen     netip.AddrPort
	Discovery  netip.AddrPort
	PeerListen netip.AddrPort // not valid: brokers may not talk to each other
	Peers      []netip.AddrPort
	PeersAll   netip.AddrPort // gossip is sent to this address
	Limits     Limits
	Known      json.RawMessage // the endpoint list as known at deployment, in discovery's JSON format
	Terms      Terms
}

// ReadConfig reads and checks the configuration file at path. An error names the invalid field.
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

// DecodeConfig decodes and checks the text of a configuration file.
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
		return nil, fmt.Errorf("configuration: seed: %q is not a hexadecimal number of 64 bits", file.Seed)
	}
	if l := config.Limits; l.Cores <= 0 || l.MemoryMB <= 0 || l.Sockets <= 0 {
		return nil, fmt.Errorf("configuration: limits: %+v: cores, memory_mb and sockets must each be above 0", l)
	}
	if config.Terms, err = FromJSON(file.Settings, seed); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	address := func(field, text string) (at netip.AddrPort) {
		if err == nil {
			if at, err = netip.ParseAddrPort(text); err != nil {
				err = fmt.Errorf("configuration: %s: %q is not an address with a port", field, text)
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

// ChangedFields returns the names of the fields in which o differs from s and which a broker can only apply by a restart.
func (s *Config) ChangedFields(o *Config) (fields []string) {
	mine, theirs := s.Terms, o.Terms
	mine.Module.Seed = theirs.Module.Seed // differs at each start of a broker
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
