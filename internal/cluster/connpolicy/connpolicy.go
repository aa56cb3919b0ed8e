// Package connpolicy is the language in which operators say how connections are divided: declarations as JSON with comments, with
// conditions and amounts as expressions of CEL. It owns the form, the types, the bounds of cost and the check of the whole: a
// policy that could divide more than there is, starve a guarantee or never settle is refused with line and reason. It must
// never look at a clock, at a load or at anything else that brokers could see differently: the same text is the same policy
// on all of them.
//
// Depends on config/form, decision/fairshare. Concurrency: nothing here locks or starts a goroutine; a value
// is used by one goroutine at a time.
package connpolicy

import (
	"fmt"
	"time"

	"flaxfront/internal/config/form"
	"flaxfront/internal/decision/fairshare"
)

// maxText bounds a policy, as it goes to every broker and into every snapshot.
const maxText = 64 << 10

// file is the text's form.
type file struct {
	Brokers int           `json:"brokers" min:"1" max:"1000" doc:"brokers at most; each has its floors, there or not"`
	Nodes   int           `json:"nodes" min:"1" max:"10000" doc:"nodes at most"`
	Lease   time.Duration `json:"lease" default:"6s" min:"1s" max:"10m" doc:"what is granted lapses so long after it was last asked for"`
	Closing time.Duration `json:"closing" default:"1s" min:"10ms" max:"1m" doc:"before that end connections above the floors are closed"`
	Classes []class       `json:"classes" doc:"kinds of node: the first whose condition holds"`
	Pool    pool          `json:"pool" doc:"all nodes together"`
	Tenants []tenant      `json:"tenants" doc:"what each tenant gets of a budget: the first of its name whose condition holds"`
}

type class struct {
	Name   string `json:"name" doc:"class in expressions"`
	When   string `json:"when" doc:"condition on node.name, node.zone, node.cell, node.machine; empty: holds"`
	Budget string `json:"budget" doc:"connections that a node of this kind holds"`
	Floor  string `json:"floor" default:"1" doc:"connections that each broker may open to it without asking"`
}

type pool struct {
	Budget string `json:"budget" doc:"connections to all nodes; empty: the nodes' budgets alone bound"`
}

type tenant struct {
	Name      string `json:"name" doc:"as the settings name it"`
	When      string `json:"when" doc:"condition on class; empty: holds"`
	Guarantee string `json:"guarantee" default:"0" doc:"units that it has whenever it needs them"`
	Weight    string `json:"weight" default:"1" doc:"its part of what is above the guarantees"`
	Most      string `json:"most" default:"shared" doc:"units while others need more"`
	Burst     string `json:"burst" default:"0" doc:"further units of what nobody else needs"`
}

// Node is what a condition may ask of a node.
type Node struct{ Name, Zone, Cell, Machine string }

// Class is a kind of node, evaluated.
type Class struct {
	Name   string
	Budget int // connections of a node
	Floor  int // of these, each broker's own
	Shared fairshare.Budget
	when   *expression // nil: holds
	index  int         // in the text
}

// Policy is a text that was found whole.
type Policy struct {
	Brokers, Nodes int
	Lease, Closing time.Duration
	Tenants        []string
	Classes        []Class // the last one takes every node
	Pool           *Class  // nil: none
	Text           string
}

// PoolClass is the class of the pool in expressions.
const PoolClass = "pool"

// most bounds classes and tenants, so that a check of the whole is short.
const most = 64

// Compile reads a text and checks it whole. Path names it in errors, of which each tells line, reason and what to do.
func Compile(path, text string) (*Policy, error) {
	if len(text) > maxText {
		return nil, &form.Error{What: "policy", Path: path, Err: fmt.Errorf("%d bytes, %d at most", len(text), maxText)}
	}
	var f file
	doc, err := form.Decode("policy", path, []byte(text), &f)
	if err != nil {
		return nil, err
	}
	c := &compiler{doc: doc, file: &f, p: &Policy{Brokers: f.Brokers, Nodes: f.Nodes, Lease: f.Lease, Closing: f.Closing, Text: text}}
	if err := c.run(); err != nil {
		return nil, err
	}
	return c.p, nil
}

// ClassOf is the class of a node. A condition that fails on it, such as by an overflow, does not hold.
func (p *Policy) ClassOf(n Node) *Class {
	vars := map[string]any{"node.name": n.Name, "node.zone": n.Zone, "node.cell": n.Cell, "node.machine": n.Machine}
	for i := range p.Classes[:len(p.Classes)-1] {
		if yes, err := p.Classes[i].when.truth(vars); yes && err == nil {
			return &p.Classes[i]
		}
	}
	return &p.Classes[len(p.Classes)-1]
}
