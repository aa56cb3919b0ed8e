// Package operator reads the operators' own file: JSON with comments and trailing commas, in which every feature that
// the platform does not ask for is switched on. It owns the form of the file, its defaults and its ranges. It must never
// open what the file names, guess at a key that it does not know, or change anything where there is no file.
//
// Depends on config/form. Concurrency: it keeps no state and starts no goroutine, so that its functions may
// be called from any goroutine; what they return is the caller's.
package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"flaxfront/internal/config/form"
)

// File is what the operators' file says, defaults filled in. The zero value of Start.NodeList.Directory leaves the
// whole feature off.
type File struct {
	Start     Start     `json:"start" doc:"starting while discovery is down"`
	Sites     Sites     `json:"sites" doc:"the gateway to other sites"`
	Admission Admission `json:"door" doc:"fair queues by tenant and client"`

	Membership           Membership           `json:"crew" doc:"brokers of one tier that keep one another's company"`
	Z3950                Z3950                `json:"z3950" doc:"a front for clients that speak Z39.50"`
	SRU                  SRU                  `json:"sru" doc:"a front for clients that speak SRU"`
	StoreProtocol        StoreProtocol        `json:"back" doc:"store nodes that are catalogue servers"`
	ControlPlaneSettings ControlPlaneSettings `json:"fleet" doc:"what the brokers of a tier agree on: releases, drains, pins, budgets"`

	doc *form.Document
}

// Start holds the settings for starting while discovery is down.
type Start struct {
	NodeList  NodeList  `json:"node_list" doc:"the node list kept on disk"`
	Trust     Trust     `json:"trust" doc:"what an entry of an old list is worth"`
	Discovery Discovery `json:"discovery" doc:"how an unreachable discovery is asked again"`
}

// NodeList holds the settings of the saved list.
type NodeList struct {
	Directory  string        `json:"directory" doc:"where the list is kept; empty: off, with all of start"`
	MaxEntries int           `json:"max_entries" default:"100000" min:"1" max:"1000000" doc:"entries kept at most"`
	KeepEnded  time.Duration `json:"keep_ended" default:"720h" min:"1h" max:"8760h" doc:"how long an ended node is remembered"`
	SaveEvery  time.Duration `json:"save_every" default:"1s" min:"10ms" max:"10m" doc:"least time between two writes"`
}

// Trust holds the settings for entries that discovery has not confirmed.
type Trust struct {
	HalfLife           time.Duration `json:"half_life" default:"168h" min:"1m" max:"87600h" doc:"age at which half of all entries are taken for wrong"`
	MaxEntryAge        time.Duration `json:"oldest" default:"720h" min:"1m" max:"87600h" doc:"entries confirmed longer ago are not used"`
	ExclusionThreshold float64       `json:"strike_at" default:"0.95" min:"0.5" max:"0.9999" doc:"an entry this likely wrong gets nothing"`
	TrialDelay         time.Duration `json:"parole" default:"30s" min:"1s" max:"1h" doc:"after so long a struck-out entry gets one trial; doubles up to twenty times that"`
}

// Discovery holds the settings for asking discovery again.
type Discovery struct {
	ConnectEvery   time.Duration `json:"knock_every" default:"200ms" min:"20ms" max:"10s" doc:"mean time between two attempts to connect"`
	DelayPerBroker time.Duration `json:"per_call" default:"2ms" min:"0s" max:"1s" doc:"a broker's call is delayed at random by up to this times the brokers"`
	MaxDelay       time.Duration `json:"most_delay" default:"500ms" min:"0s" max:"10s" doc:"but by no more than this"`
	Resume         bool          `json:"resume" doc:"ask for changes since the saved version; only where all versions come of one lasting counter"`
}

// Admission holds the settings of fair queuing at the door.
type Admission struct {
	On            bool     `json:"on" doc:"share what the store can do between tenants; false: first come, first served"`
	Weights       []string `json:"weights" doc:"TENANT=WEIGHT of every tenant, adding up to 1; empty: the portions of the settings"`
	WaitShare     float64  `json:"wait_share" default:"0.25" min:"0" max:"0.9" doc:"of its time left that a search may wait"`
	MaxWaiting    int      `json:"most_wait" default:"64" min:"1" max:"4096" doc:"searches of one tenant that wait"`
	MinInFlight   int      `json:"least_work" default:"8" min:"1" max:"100000" doc:"parts in hand that are always let in"`
	RetryFraction float64  `json:"repeats" default:"0.2" min:"0" max:"10" doc:"clients' repeats let in while others wait, as a share of a tenant's fresh searches"`
}

// Membership holds the settings of members and duties.
type Membership struct {
	On              bool          `json:"on" doc:"know which brokers of the tier are there, and share duties; only where brokers may talk"`
	Keys            []string      `json:"keys" doc:"secrets of 32 hex digits or more: the first signs, all are accepted; empty: only the configuration's peers, unsigned"`
	Seeds           []string      `json:"seeds" doc:"ADDRESS:PORT of brokers to ask who is there; empty: the configuration's peers"`
	AddressFile     string        `json:"keep" doc:"file in which the members' addresses are kept, as further seeds after a restart; empty: none"`
	Interval        time.Duration `json:"interval" default:"500ms" min:"50ms" max:"1m" doc:"between two probes"`
	Timeout         time.Duration `json:"timeout" default:"150ms" min:"5ms" max:"10s" doc:"for a direct answer to one"`
	MinSuspicion    float64       `json:"suspicion" default:"5" min:"1" max:"100" doc:"least time of suspicion, in probes"`
	MaxSuspicion    float64       `json:"longest" default:"2" min:"1" max:"20" doc:"longest time of suspicion, as a multiple of that"`
	Forget          time.Duration `json:"forget" default:"10m" min:"1s" max:"24h" doc:"dead and departed brokers are remembered"`
	Weight          int           `json:"weight" default:"1" min:"1" max:"255" doc:"spare capacity: duties are dealt out by it"`
	Lease           time.Duration `json:"lease" default:"3s" min:"100ms" max:"10m" doc:"an owner that heard nobody for so long does nothing"`
	SummaryInterval time.Duration `json:"summary" default:"1m" min:"1s" max:"24h" doc:"period of the duty that logs the owner's counters"`
	ShareEndpoints  bool          `json:"list" doc:"pass on what discovery told of nodes; others take it for nodes that they know"`
}

// Z3950 holds the settings of the front for Z39.50.
type Z3950 struct {
	Listen        string        `json:"listen" doc:"ADDRESS:PORT; empty: no such front"`
	Type          string        `json:"type" doc:"query type of its searches; empty: the first"`
	Tenant        string        `json:"tenant" doc:"tenant of its clients; empty: the first"`
	Databases     []string      `json:"databases" doc:"names that clients may search; empty: any"`
	Sessions      int           `json:"sessions" default:"64" min:"1" max:"10000" doc:"clients at once"`
	Idle          time.Duration `json:"idle" default:"5m" min:"1s" max:"24h" doc:"a session that asks nothing for so long is closed"`
	MaxResultSets int           `json:"sets" default:"10" min:"1" max:"1000" doc:"result sets of a session"`
	Bytes         int           `json:"bytes" default:"8388608" min:"65536" max:"1073741824" doc:"records kept for all sessions"`
	Age           time.Duration `json:"age" default:"5m" min:"1s" max:"24h" doc:"a result set that nobody used for so long is dropped"`
	Depth         int           `json:"depth" default:"20" min:"1" max:"1000" doc:"records of each part that a search fetches at once"`
}

// SRU holds the settings of the front for SRU.
type SRU struct {
	Listen   string        `json:"listen" doc:"ADDRESS:PORT; empty: no such front"`
	Type     string        `json:"type" doc:"query type of its searches; empty: the first"`
	Tenant   string        `json:"tenant" doc:"tenant of its clients; empty: the first"`
	Database string        `json:"database" default:"catalogue" doc:"name in paths and in the explain record"`
	Clients  int           `json:"clients" default:"64" min:"1" max:"10000" doc:"connections at once"`
	Bytes    int           `json:"bytes" default:"8388608" min:"65536" max:"1073741824" doc:"records kept for later pages"`
	Age      time.Duration `json:"age" default:"1m" min:"1s" max:"24h" doc:"for how long after the last one a further page comes from the same answer"`
	Most     int           `json:"most" default:"100" min:"1" max:"1000" doc:"records of a page"`
}

// StoreProtocol holds the settings for store nodes that speak a catalogue's protocol.
type StoreProtocol struct {
	Protocol string `json:"protocol" doc:"sru or z3950: what all store nodes speak; empty: the platform's frames"`
	Database string `json:"database" default:"shard%d" doc:"database of a shard at its nodes; %d stands for the shard's number"`
}

// check tells what is wrong between fields.
func (f *File) check() (field string, err error) {
	sites := &f.Sites
	for _, text := range sites.Targets {
		if _, err := target(text); err != nil {
			return "sites.targets", err
		}
	}
	if sites.Listen != "" {
		if _, err := netip.ParseAddrPort(sites.Listen); err != nil {
			return "sites.listen", fmt.Errorf("%.80q is no ADDRESS:PORT", sites.Listen)
		}
		if len(sites.AllowedSites) == 0 {
			return "sites.listen", errors.New("sites.allow names no site that may come there")
		}
	}
	for field, at := range map[string]string{"z3950.listen": f.Z3950.Listen, "sru.listen": f.SRU.Listen} {
		if _, err := netip.ParseAddrPort(at); at != "" && err != nil {
			return field, fmt.Errorf("%.80q is no ADDRESS:PORT", at)
		}
	}
	if p := f.StoreProtocol.Protocol; p != "" && p != "sru" && p != "z3950" {
		return "back.protocol", fmt.Errorf("%.40q is neither sru nor z3950", p)
	}
	membership := &f.Membership
	for _, k := range membership.Keys {
		if b, err := hex.DecodeString(k); err != nil || len(b) < 16 {
			return "crew.keys", errors.New("a secret is not of 32 hex digits or more") // which is not said again
		}
	}
	for _, text := range membership.Seeds {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return "crew.seeds", fmt.Errorf("%.80q is no ADDRESS:PORT", text)
		}
	}
	if membership.Timeout >= membership.Interval {
		return "crew.timeout", fmt.Errorf("%v does not fit between two probes, %v", membership.Timeout, membership.Interval)
	}
	if field, err := f.ControlPlaneSettings.check(); err != nil {
		return "fleet." + field, err
	}
	if f.ControlPlaneEnabled() && f.ControlPlaneKeys() == "" {
		return "fleet.keys", errors.New("missing; brokers know one another by certificates")
	}
	if sites.Keys == "" && (sites.Listen != "" || len(sites.Targets) > 0) {
		return "sites.keys", errors.New("missing; links need certificates")
	}
	return "", nil
}

// NodeListEnabled tells whether the node list is to be kept.
func (f *File) NodeListEnabled() bool { return f.Start.NodeList.Directory != "" }

// Decode reads the text of a file; path only names it in errors.
func Decode(path string, raw []byte) (*File, error) {
	f := &File{}
	var err error
	if f.doc, err = form.Decode("operators' file", path, raw, f); err != nil {
		return nil, err
	}
	if field, err := f.check(); err != nil {
		return nil, f.doc.ErrorAt(field, err)
	}
	return f, nil
}

// Settings are all fields, in the order of the structs. Secrets are not told.
func (f *File) Settings() []form.Setting {
	all := form.Settings(f, f.doc.Has)
	for i := range all {
		if s := &all[i]; s.Field == "crew.keys" && len(f.Membership.Keys) > 0 {
			sum := sha256.Sum256([]byte(strings.Join(f.Membership.Keys, " ")))
			s.Value = fmt.Sprintf("%d secrets, %x", len(f.Membership.Keys), sum[:4])
		}
	}
	return all
}

// Default is what is in force without a file.
func Default() *File {
	f, err := Decode("", []byte("{}"))
	if err != nil {
		panic(err) // a default of this package is out of its own range
	}
	return f
}

// Read reads a file; "" gives the defaults. An error names file, line and field.
func Read(path string) (*File, error) {
	if path == "" {
		return Default(), nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{err}
	}
	return Decode(path, raw)
}

// FileError is an operators' file that cannot be opened.
type FileError struct{ Err error }

func (e *FileError) Error() string { return fmt.Sprintf("operators' file: %v", e.Err) }

func (e *FileError) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *FileError) Remedy() string {
	return "have --operator or $FLAXFRONT_OPERATOR name a file that the broker may read, or leave both out: then all is off"
}

// ChangedFields names the settings in which another file says something else.
func (f *File) ChangedFields(o *File) (fields []string) {
	theirs := o.Settings()
	for i, mine := range f.Settings() {
		if mine.Value != theirs[i].Value {
			fields = append(fields, mine.Field)
		}
	}
	return fields
}
