// Package operator reads the operators' file: JSON with comments and trailing commas, which switches on each feature that the platform's
// configuration does not. It defines the keys, defaults and ranges. Unknown keys are errors, files that the file names are not opened, and
// without a file every feature is off.
//
// Depends on config/form. Its functions keep no state and start no goroutine, may be called from any goroutine, and return values that
// the caller owns.
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

// File is the content of the operators' file, with defaults filled in. An empty Start.NodeList.Directory leaves all of Start
// off.
type File struct {
	Start     Start     `json:"start" doc:"starting while discovery is down: the cached endpoint list"`
	Sites     Sites     `json:"sites" doc:"the gateway to other sites"`
	Admission Admission `json:"door" doc:"admission: fair queues by tenant and client"`

	Membership           Membership           `json:"crew" doc:"membership and ownership among the brokers of a tier"`
	Z3950                Z3950                `json:"z3950" doc:"server for clients that use Z39.50"`
	SRU                  SRU                  `json:"sru" doc:"server for clients that use SRU"`
	StoreProtocol        StoreProtocol        `json:"back" doc:"store nodes that are catalogue servers"`
	ControlPlaneSettings ControlPlaneSettings `json:"fleet" doc:"control plane of a tier: releases, drains, read pins, connection budgets"`
	Log                  Log                  `json:"log" doc:"the log on standard error"`

	doc *form.Document
}

// Start holds the settings for starting while discovery is down.
type Start struct {
	NodeList  NodeList  `json:"node_list" doc:"the endpoint list cached on disk"`
	Trust     Trust     `json:"trust" doc:"how entries of an old list are trusted"`
	Discovery Discovery `json:"discovery" doc:"how an unreachable discovery is polled"`
}

// NodeList holds the settings of the cached endpoint list.
type NodeList struct {
	Directory  string        `json:"directory" doc:"directory of the cached list; empty: off, with all of start"`
	MaxEntries int           `json:"max_entries" default:"100000" min:"1" max:"1000000" doc:"maximum number of entries"`
	KeepEnded  time.Duration `json:"keep_ended" default:"720h" min:"1h" max:"8760h" doc:"how long an ended node is remembered"`
	SaveEvery  time.Duration `json:"save_every" default:"1s" min:"10ms" max:"10m" doc:"minimum time between two writes"`
}

// Trust holds the settings for unconfirmed entries of the cached list.
type Trust struct {
	HalfLife           time.Duration `json:"half_life" default:"168h" min:"1m" max:"87600h" doc:"age at which half of all entries are expected to be wrong"`
	MaxEntryAge        time.Duration `json:"oldest" default:"720h" min:"1m" max:"87600h" doc:"entries that were confirmed longer ago are not used"`
	ExclusionThreshold float64       `json:"strike_at" default:"0.95" min:"0.5" max:"0.9999" doc:"an entry whose error probability reaches this is excluded"`
	TrialDelay         time.Duration `json:"parole" default:"30s" min:"1s" max:"1h" doc:"an excluded entry gets one trial attempt after this time; it doubles with each, up to twenty times this"`
}

// Discovery holds the settings for polling discovery after an outage.
type Discovery struct {
	ConnectEvery   time.Duration `json:"knock_every" default:"200ms" min:"20ms" max:"10s" doc:"mean time between two attempts to connect"`
	DelayPerBroker time.Duration `json:"per_call" default:"2ms" min:"0s" max:"1s" doc:"a poll is delayed at random, by up to this time multiplied by the number of brokers"`
	MaxDelay       time.Duration `json:"most_delay" default:"500ms" min:"0s" max:"10s" doc:"maximum of that delay"`
	Resume         bool          `json:"resume" doc:"poll for changes since the saved version; only if discovery keeps its version counter across restarts"`
}

// Admission holds the settings of admission by fair queues.
type Admission struct {
	On            bool     `json:"on" doc:"share the capacity of the store between tenants; false: first come, first served"`
	Weights       []string `json:"weights" doc:"TENANT=WEIGHT of every tenant, adding up to 1; empty: the traffic shares of the settings"`
	WaitShare     float64  `json:"wait_share" default:"0.25" min:"0" max:"0.9" doc:"share of its remaining time that a query may wait"`
	MaxWaiting    int      `json:"most_wait" default:"64" min:"1" max:"4096" doc:"maximum number of queries of one tenant that wait"`
	MinInFlight   int      `json:"least_work" default:"8" min:"1" max:"100000" doc:"shard requests in flight up to which every query is admitted"`
	RetryFraction float64  `json:"repeats" default:"0.2" min:"0" max:"10" doc:"clients' retries admitted while other queries wait, as a share of a tenant's new queries"`
}

// Membership holds the settings of membership and ownership.
type Membership struct {
	On              bool          `json:"on" doc:"know the members of the tier and divide jobs between them; only if brokers may talk to each other"`
	Keys            []string      `json:"keys" doc:"secrets of 32 or more hexadecimal digits: the first is used for sending, all for receiving; empty: only the configuration's peers, unsigned"`
	Seeds           []string      `json:"seeds" doc:"brokers to join through, each ADDRESS:PORT; empty: the configuration's peers"`
	AddressFile     string        `json:"keep" doc:"file for the members' addresses, which are further seeds after a restart; empty: none"`
	Interval        time.Duration `json:"interval" default:"500ms" min:"50ms" max:"1m" doc:"interval between probes"`
	Timeout         time.Duration `json:"timeout" default:"150ms" min:"5ms" max:"10s" doc:"timeout of a direct ack of a probe"`
	MinSuspicion    float64       `json:"suspicion" default:"5" min:"1" max:"100" doc:"minimum time of suspicion, in probe intervals"`
	MaxSuspicion    float64       `json:"longest" default:"2" min:"1" max:"20" doc:"maximum time of suspicion, as a multiple of the minimum"`
	Forget          time.Duration `json:"forget" default:"10m" min:"1s" max:"24h" doc:"how long dead and departed brokers are remembered"`
	Weight          int           `json:"weight" default:"1" min:"1" max:"255" doc:"share of the jobs that this broker gets, relative to others"`
	Lease           time.Duration `json:"lease" default:"3s" min:"100ms" max:"10m" doc:"an owner that has heard from no member for this long does not run its jobs"`
	SummaryInterval time.Duration `json:"summary" default:"1m" min:"1s" max:"24h" doc:"period of the job that logs the owner's counters"`
	ShareEndpoints  bool          `json:"list" doc:"gossip endpoint changes of discovery; other brokers apply them to nodes that they know"`
}

// check checks what the range of a single field does not cover, and returns the first invalid field.
func (f *File) check() (field string, err error) {
	sites := &f.Sites
	for _, text := range sites.Targets {
		if _, err := target(text); err != nil {
			return "sites.targets", err
		}
	}
	if sites.Listen != "" {
		if _, err := netip.ParseAddrPort(sites.Listen); err != nil {
			return "sites.listen", fmt.Errorf("%.80q is not ADDRESS:PORT", sites.Listen)
		}
		if len(sites.AllowedSites) == 0 {
			return "sites.listen", errors.New("sites.allow names no site that may connect there")
		}
	}
	for field, at := range map[string]string{"z3950.listen": f.Z3950.Listen, "sru.listen": f.SRU.Listen} {
		if _, err := netip.ParseAddrPort(at); at != "" && err != nil {
			return field, fmt.Errorf("%.80q is not ADDRESS:PORT", at)
		}
	}
	if p := f.StoreProtocol.Protocol; p != "" && p != "sru" && p != "z3950" {
		return "back.protocol", fmt.Errorf("%.40q is neither sru nor z3950", p)
	}
	if l := f.Log.Level; l != "info" && l != "debug" {
		return "log.level", fmt.Errorf("%.40q is neither info nor debug", l)
	}
	membership := &f.Membership
	for _, k := range membership.Keys {
		if b, err := hex.DecodeString(k); err != nil || len(b) < 16 {
			return "crew.keys", errors.New("a secret does not have 32 or more hexadecimal digits") // the error must not contain the secret
		}
	}
	for _, text := range membership.Seeds {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return "crew.seeds", fmt.Errorf("%.80q is not ADDRESS:PORT", text)
		}
	}
	if membership.Timeout >= membership.Interval {
		return "crew.timeout", fmt.Errorf("%v must be less than crew.interval, %v", membership.Timeout, membership.Interval)
	}
	if field, err := f.ControlPlaneSettings.check(); err != nil {
		return "fleet." + field, err
	}
	if f.ControlPlaneEnabled() && f.ControlPlaneKeys() == "" {
		return "fleet.keys", errors.New("required with fleet.voters: brokers identify each other by certificates")
	}
	if sites.Keys == "" && (sites.Listen != "" || len(sites.Targets) > 0) {
		return "sites.keys", errors.New("required with sites.listen or sites.targets: links use certificates")
	}
	return "", nil
}

// NodeListEnabled reports whether the endpoint list is cached on disk.
func (f *File) NodeListEnabled() bool { return f.Start.NodeList.Directory != "" }

// Decode decodes and checks the text of a file. Path is used only in errors.
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

// Settings returns all settings, in the order of the structs, with a short hash in place of the secrets.
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

// Default returns the settings in force without a file.
func Default() *File {
	f, err := Decode("", []byte("{}"))
	if err != nil {
		panic(err) // a default of this package is outside its range
	}
	return f
}

// Read reads and checks a file; "" gives the defaults. An error names the file, line and field.
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

// FileError reports an operators' file that cannot be read.
type FileError struct{ Err error }

func (e *FileError) Error() string { return fmt.Sprintf("operators' file cannot be read: %v", e.Err) }

func (e *FileError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do.
func (e *FileError) Remedy() string {
	return "set --operator or $FLAXFRONT_OPERATOR to a file that the broker has permission to read, or set neither: then every feature of the file is off"
}

// ChangedFields returns the names of the settings whose values differ between f and o.
func (f *File) ChangedFields(o *File) (fields []string) {
	theirs := o.Settings()
	for i, mine := range f.Settings() {
		if mine.Value != theirs[i].Value {
			fields = append(fields, mine.Field)
		}
	}
	return fields
}
