// Package script reads rehearsal scripts: the fleet, the load and the faults. It defines their format, checks ranges and
// contradictions, and turns a script into settings for brokers and into a schedule of faults that depends on nothing but the
// script and its seed. It does not run scripts.
//
// Depends on config/form, config/operator, config/terms, decision. Concurrency: nothing here locks or starts a goroutine; a value
// is used by one goroutine at a time.
package script

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"flaxfront/internal/config/form"
)

// Script describes one rehearsal.
type Script struct {
	Name    string        `json:"name" doc:"a few words"`
	Purpose string        `json:"teaches" doc:"what whoever plays it should learn"`
	Seed    int           `json:"seed" default:"1" min:"0" max:"1000000000" doc:"of all chance"`
	Length  time.Duration `json:"for" default:"30s" min:"1s" max:"2h" doc:"how long clients ask"`
	Fleet   Fleet         `json:"fleet" doc:"the store nodes"`
	Network Network       `json:"network" doc:"between all of them"`
	Brokers Brokers       `json:"brokers" doc:"the brokers"`
	List    List          `json:"discovery" doc:"the node list service"`
	Types   []Type        `json:"types" doc:"query types; none: one that needs all parts and one that may be partial"`
	Tenants []Tenant      `json:"tenants" doc:"none: one of half of the load, two of a quarter"`
	Load    Load          `json:"load" doc:"what clients ask"`
	Reads   Reads         `json:"reads" doc:"replicas that lag, and hints on reads"`
	Faults  []Fault       `json:"troubles" doc:"what goes wrong"`

	doc *form.Document
}

// Read reads a script file.
func Read(path string) (*Script, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read script: %w", err)
	}
	return Decode(path, raw)
}

// Decode decodes the text of a script. Its errors name line and field.
func Decode(path string, raw []byte) (*Script, error) {
	s := &Script{}
	var err error
	if s.doc, err = form.Decode("script", path, raw, s); err != nil {
		return nil, err
	}
	if field, err := s.Check(); err != nil {
		return nil, s.doc.ErrorAt(field, err)
	}
	return s, nil
}

func (s *Script) fillDefaults() {
	if len(s.Types) == 0 {
		s.Types = []Type{{Name: "find", Share: 0.7, Objective: time.Second, Timeout: 2 * time.Second, Value: 1, Late: 0.1, RequiredShare: 1,
			Min: 1, Max: 4, Work: 15 * time.Millisecond, Effect: "idempotent"},
			{Name: "report", Share: 0.3, Objective: 1500 * time.Millisecond, Timeout: 3 * time.Second, Value: 2, RequiredShare: 0.5, Min: 3,
				Max: 6, Work: 20 * time.Millisecond, Effect: "idempotent"}}
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{"acme", 0.5}, {"quiet", 0.25}, {"small", 0.25}}
	}
}

// Check fills in defaults, and returns the first field that contradicts the rest of the script, with an error.
func (s *Script) Check() (field string, err error) {
	s.fillDefaults()
	if s.Fleet.Cells > s.Fleet.Nodes {
		return "fleet.cells", fmt.Errorf("%d cells for %d nodes: each cell needs a node", s.Fleet.Cells, s.Fleet.Nodes)
	}
	if s.Fleet.Zones > s.Fleet.Nodes {
		return "fleet.zones", fmt.Errorf("%d zones for %d nodes: each zone needs a node", s.Fleet.Zones, s.Fleet.Nodes)
	}
	names := map[string]bool{}
	for i, t := range s.Types {
		at := fmt.Sprintf("types.%d", i)
		switch {
		case t.Name == "" || names[t.Name]:
			return at + ".name", fmt.Errorf("%q is empty or used twice", t.Name)
		case t.Timeout < t.Objective:
			return at + ".timeout", fmt.Errorf("%v is shorter than the target of %v", t.Timeout, t.Objective)
		case t.Max < t.Min || t.Max > s.Shards():
			return at + ".most_parts", fmt.Errorf("%d is out of range: from least_parts, %d, up to the %d shards", t.Max, t.Min, s.Shards())
		case t.Effect != "idempotent" && t.Effect != "tokened" && t.Effect != "non_idempotent":
			return at + ".effect", fmt.Errorf("%q is not one of idempotent, tokened, non_idempotent", t.Effect)
		}
		names[t.Name] = true
	}
	clear(names)
	sum := 0.0
	for i, t := range s.Tenants {
		if t.Name == "" || names[t.Name] {
			return fmt.Sprintf("tenants.%d.name", i), fmt.Errorf("%q is empty or used twice", t.Name)
		}
		names[t.Name] = true
		sum += t.Share
	}
	if sum <= 0 {
		return "tenants", fmt.Errorf("the shares of all tenants add up to 0")
	}
	for i := range s.Faults {
		if field, err := s.checkFault(&s.Faults[i]); err != nil {
			return fmt.Sprintf("troubles.%d.%s", i, field), err
		}
		for j := range i {
			if field, err := s.checkOverlap(j, i); err != nil {
				return fmt.Sprintf("troubles.%d.%s", i, field), err
			}
		}
	}
	return "", nil
}

// Shards returns the number of shards; shard s is held by cell s modulo the number of cells.
func (s *Script) Shards() int { return s.Fleet.Cells * s.Fleet.Shards }

// ZoneOf returns the zone of a node: the nodes of a cell lie in different zones as far as there are enough.
func (s *Script) ZoneOf(node int) int { return (node/s.Fleet.Cells + node) % s.Fleet.Zones }

func (s *Script) zone(name string) int {
	if len(name) == 1 && int(name[0]) >= 'a' && int(name[0]) < 'a'+s.Fleet.Zones {
		return int(name[0] - 'a')
	}
	return -1
}

func (s *Script) tenant(name string) int {
	return slices.IndexFunc(s.Tenants, func(t Tenant) bool { return t.Name == name })
}

// nodesOf returns the nodes that a fault affects, the same ones at each call.
func (s *Script) nodesOf(t *Fault) []int {
	if len(t.Nodes) > 0 {
		return t.Nodes
	}
	var all []int
	for n := range s.Fleet.Nodes {
		if t.Zone == "" || s.ZoneOf(n) == s.zone(t.Zone) {
			all = append(all, n)
		}
	}
	if t.Zone == "" {
		return draw(all, t.Share, s.Seed, t)
	}
	return all
}

// draw draws a share of the given numbers, at least one if the share is above 0.
func draw(all []int, share float64, seed int, t *Fault) []int {
	r := rand.New(rand.NewPCG(uint64(seed), uint64(t.At)<<8+uint64(len(t.Kind))))
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := int(math.Round(share * float64(len(all))))
	if share > 0 {
		n = max(1, n)
	}
	all = all[:n]
	slices.Sort(all)
	return all
}

// Text returns the script in the form that Read reads, with only the fields that differ from their defaults.
func (s *Script) Text() string { return form.Text(s) }
