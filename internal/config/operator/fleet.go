package operator

// This file owns the settings of what the brokers of a tier agree on.

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// ControlPlaneSettings holds the settings of the agreement between brokers. Empty Voters leave all of it off.
type ControlPlaneSettings struct {
	Voters        []string      `json:"voters" doc:"1, 3 or 5 brokers that agree, each NAME=ADDRESS:PORT, the same everywhere; empty: off, with all of fleet"`
	Keys          string        `json:"keys" doc:"directory of this broker's certificate, its key and the authorities; empty: that of sites"`
	Listen        string        `json:"listen" doc:"where brokers of the own site come, ADDRESS:PORT; empty: nowhere, which a voter cannot have"`
	Slot          int           `json:"slot" default:"0" min:"0" max:"4095" doc:"this broker's place in the tier: never that of two brokers at once, kept over restarts"`
	Sources       []string      `json:"sources" doc:"ADDRESS:PORT of brokers to follow; empty: the voters"`
	Directory     string        `json:"directory" doc:"where a voter keeps what was agreed; one broker a directory"`
	Zone          string        `json:"zone" doc:"zone of this broker; empty: that of the settings"`
	Lease         time.Duration `json:"lease" default:"3s" min:"300ms" max:"10m" doc:"a broker that is not heard for so long counts as lost"`
	Drift         float64       `json:"drift" default:"0.01" min:"0" max:"0.2" doc:"most by which the rates of two brokers' clocks differ, as a share"`
	Election      time.Duration `json:"election" default:"600ms" min:"50ms" max:"1m" doc:"a leader that is silent for so long is replaced"`
	Heartbeat     time.Duration `json:"heartbeat" default:"100ms" min:"5ms" max:"10s" doc:"between two words of a leader"`
	FollowerLimit int           `json:"most_followers" default:"32" min:"1" max:"1000" doc:"brokers that follow this one at most; others are sent on to these"`
	Report        time.Duration `json:"report" default:"1s" min:"50ms" max:"1m" doc:"between two reports of what was served"`
	Version       string        `json:"release_version" doc:"release that this process runs, as releases name it; empty: the version of the build"`
	ExitOnPermit  bool          `json:"exit_on_permit" doc:"stop as at SIGTERM once a release permits this broker to go; what starts it again starts the new version"`
	Budgets       bool          `json:"budgets" doc:"divide nodes' connections between brokers by the agreed policy"`
	Pins          bool          `json:"pins" doc:"share replicas' positions and obey hints on freshness"`
	Gates         Gates         `json:"gates" doc:"by what a release is judged"`
	ClockError    time.Duration `json:"clock_error" default:"50ms" min:"0s" max:"10s" doc:"most by which nodes' clocks differ from this broker's, counted into what pins promise"`
}

// Gates holds the settings by which a release is judged.
type Gates struct {
	Observe           time.Duration `json:"observe" default:"3s" min:"0s" max:"1h" doc:"a new leader watches for so long before it lets a broker go"`
	WarmUp            time.Duration `json:"warm" default:"2s" min:"0s" max:"1h" doc:"what a broker does for so long after its return is not judged"`
	Overdue           time.Duration `json:"overdue" default:"5m" min:"1s" max:"24h" doc:"a broker that is out for longer halts the release"`
	MinSamples        int           `json:"least" default:"1000" min:"0" max:"1000000000" doc:"searches of the released that a batch is judged by at least"`
	Tolerance         float64       `json:"tolerance" default:"0.005" min:"0" max:"1" doc:"share of searches that may go wrong on top of what goes wrong at the others"`
	SignificanceLevel float64       `json:"alpha" default:"0.001" min:"0.000001" max:"0.1" doc:"chance that a good release is halted by noise"`
	RollBack          bool          `json:"back" doc:"a release that a gate halted is taken back without a word of an operator"`
}

// Voter is one broker that agrees.
type Voter struct {
	Name string
	Addr netip.AddrPort
}

// ControlPlaneEnabled tells whether brokers agree on anything.
func (f *File) ControlPlaneEnabled() bool { return len(f.ControlPlaneSettings.Voters) > 0 }

// ParsedVoters reads the voters, which Decode has checked, in the order of their names: the same on every broker.
func (f *ControlPlaneSettings) ParsedVoters() (all []Voter) {
	for _, text := range f.Voters {
		if v, err := parseVoter(text); err == nil {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b Voter) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func parseVoter(text string) (v Voter, err error) {
	name, addr, ok := strings.Cut(text, "=")
	if v.Name = name; ok && name != "" {
		v.Addr, err = netip.ParseAddrPort(addr)
	}
	if !ok || name == "" || err != nil {
		err = fmt.Errorf("%.80q is not NAME=ADDRESS:PORT", text)
	}
	return v, err
}

// ControlPlaneKeys is the directory of keys in force.
func (f *File) ControlPlaneKeys() string {
	if f.ControlPlaneSettings.Keys != "" {
		return f.ControlPlaneSettings.Keys
	}
	return f.Sites.Keys
}

// check tells what is wrong between fields.
func (f *ControlPlaneSettings) check() (field string, err error) {
	names, addrs := map[string]bool{}, map[netip.AddrPort]bool{}
	for _, text := range f.Voters {
		v, err := parseVoter(text)
		if err != nil {
			return "voters", err
		}
		if names[v.Name] || addrs[v.Addr] {
			return "voters", fmt.Errorf("%.80q is named twice", text)
		}
		names[v.Name], addrs[v.Addr] = true, true
	}
	if n := len(f.Voters); n != 0 && n != 1 && n != 3 && n != 5 {
		return "voters", fmt.Errorf("%d of them; 1, 3 or 5 agree", n)
	}
	for _, text := range f.Sources {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return "sources", fmt.Errorf("%.80q is no ADDRESS:PORT", text)
		}
	}
	if f.Listen != "" {
		if _, err := netip.ParseAddrPort(f.Listen); err != nil {
			return "listen", fmt.Errorf("%.80q is no ADDRESS:PORT", f.Listen)
		}
	}
	if len(f.Voters) == 0 {
		for field, set := range map[string]bool{"listen": f.Listen != "", "sources": len(f.Sources) > 0, "exit_on_permit": f.ExitOnPermit,
			"budgets": f.Budgets, "pins": f.Pins} {
			if set {
				return field, errors.New("fleet.voters names nobody who agrees")
			}
		}
	}
	if 3*f.Heartbeat > f.Election {
		return "heartbeat", fmt.Errorf("%v; three must fit into fleet.election, %v", f.Heartbeat, f.Election)
	}
	return "", nil
}
