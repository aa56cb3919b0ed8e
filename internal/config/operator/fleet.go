package operator

// This file defines and checks the settings of the control plane, through which the brokers of a tier agree.

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// ControlPlaneSettings holds the settings of the control plane. Without Voters the control plane is off.
type ControlPlaneSettings struct {
	Voters        []string      `json:"voters" doc:"1, 3 or 5 brokers that vote, each NAME=ADDRESS:PORT, the same on every broker; empty: the control plane is off"`
	Keys          string        `json:"keys" doc:"directory of this broker's certificate, its key and the authorities; empty: as sites.keys"`
	Listen        string        `json:"listen" doc:"ADDRESS:PORT at which brokers of this site connect; empty: none; required on a voter"`
	Slot          int           `json:"slot" default:"0" min:"0" max:"4095" doc:"this broker's number in the tier, unique and kept across restarts"`
	Sources       []string      `json:"sources" doc:"brokers to follow, each ADDRESS:PORT; empty: the voters"`
	Directory     string        `json:"directory" doc:"directory in which a voter stores its log; one per broker"`
	Zone          string        `json:"zone" doc:"zone of this broker; empty: as in the settings"`
	Lease         time.Duration `json:"lease" default:"3s" min:"300ms" max:"10m" doc:"a broker that is not heard from for this long counts as lost"`
	Drift         float64       `json:"drift" default:"0.01" min:"0" max:"0.2" doc:"maximum difference between the rates of two brokers' clocks, as a share"`
	Election      time.Duration `json:"election" default:"600ms" min:"50ms" max:"1m" doc:"a leader that is silent for this long is replaced"`
	Heartbeat     time.Duration `json:"heartbeat" default:"100ms" min:"5ms" max:"10s" doc:"interval between heartbeats of a leader; at most a third of election"`
	FollowerLimit int           `json:"most_followers" default:"32" min:"1" max:"1000" doc:"maximum number of brokers that follow this one; further ones are redirected to these"`
	Report        time.Duration `json:"report" default:"1s" min:"50ms" max:"1m" doc:"interval between reports of the queries served"`
	Version       string        `json:"release_version" doc:"version that this process runs, as releases name it; empty: the version of the build"`
	ExitOnPermit  bool          `json:"exit_on_permit" doc:"stop as on SIGTERM once this broker has a release permit; whatever restarts it must start the new version"`
	Budgets       bool          `json:"budgets" doc:"divide the nodes' connections between brokers by the agreed policy"`
	Pins          bool          `json:"pins" doc:"share replicas' positions and honour read hints"`
	Gates         Gates         `json:"gates" doc:"how a release is judged"`
	ClockError    time.Duration `json:"clock_error" default:"50ms" min:"0s" max:"10s" doc:"maximum difference between a node's clock and this broker's, allowed for in the guarantees of read pins"`
}

// Gates holds the settings of the release gates, which halt a release that does harm.
type Gates struct {
	Observe           time.Duration `json:"observe" default:"3s" min:"0s" max:"1h" doc:"a new leader observes for this long before it issues a permit"`
	WarmUp            time.Duration `json:"warm" default:"2s" min:"0s" max:"1h" doc:"for this long after its return a broker is not judged"`
	Overdue           time.Duration `json:"overdue" default:"5m" min:"1s" max:"24h" doc:"a broker that is out for longer halts the release"`
	MinSamples        int           `json:"least" default:"1000" min:"0" max:"1000000000" doc:"minimum number of queries, at brokers that run the new version, by which a batch is judged"`
	Tolerance         float64       `json:"tolerance" default:"0.005" min:"0" max:"1" doc:"share of queries that may go wrong beyond the share that goes wrong at the other brokers"`
	SignificanceLevel float64       `json:"alpha" default:"0.001" min:"0.000001" max:"0.1" doc:"probability that noise halts a good release"`
	RollBack          bool          `json:"back" doc:"roll a release back without an operator when a gate halts it"`
}

// Voter is one of the brokers that vote.
type Voter struct {
	Name string
	Addr netip.AddrPort
}

// ControlPlaneEnabled reports whether the control plane is on.
func (f *File) ControlPlaneEnabled() bool { return len(f.ControlPlaneSettings.Voters) > 0 }

// ParsedVoters returns the voters, which Decode has checked, sorted by name, so that the order is the same on every broker.
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

// ControlPlaneKeys returns the directory of the keys that the control plane uses.
func (f *File) ControlPlaneKeys() string {
	if f.ControlPlaneSettings.Keys != "" {
		return f.ControlPlaneSettings.Keys
	}
	return f.Sites.Keys
}

// check checks what the range of a single field does not cover, and returns the first invalid field.
func (f *ControlPlaneSettings) check() (field string, err error) {
	names, addrs := map[string]bool{}, map[netip.AddrPort]bool{}
	for _, text := range f.Voters {
		v, err := parseVoter(text)
		if err != nil {
			return "voters", err
		}
		if names[v.Name] || addrs[v.Addr] {
			return "voters", fmt.Errorf("the name or the address of %.80q occurs twice", text)
		}
		names[v.Name], addrs[v.Addr] = true, true
	}
	if n := len(f.Voters); n != 0 && n != 1 && n != 3 && n != 5 {
		return "voters", fmt.Errorf("%d voters; there must be 1, 3 or 5", n)
	}
	for _, text := range f.Sources {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return "sources", fmt.Errorf("%.80q is not ADDRESS:PORT", text)
		}
	}
	if f.Listen != "" {
		if _, err := netip.ParseAddrPort(f.Listen); err != nil {
			return "listen", fmt.Errorf("%.80q is not ADDRESS:PORT", f.Listen)
		}
	}
	if len(f.Voters) == 0 {
		for field, set := range map[string]bool{"listen": f.Listen != "", "sources": len(f.Sources) > 0, "exit_on_permit": f.ExitOnPermit,
			"budgets": f.Budgets, "pins": f.Pins} {
			if set {
				return field, errors.New("set without the control plane: fleet.voters is empty")
			}
		}
	}
	if 3*f.Heartbeat > f.Election {
		return "heartbeat", fmt.Errorf("%v is more than a third of fleet.election, %v", f.Heartbeat, f.Election)
	}
	return "", nil
}
