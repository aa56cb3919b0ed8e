// Package connpolicy compiles the language in which operators say how connections to nodes are divided: declarations as JSON with
// comments, with conditions and amounts as CEL expressions.
//
//	document --decode--> classes, pool, tenants --compile--> expressions --evaluate--> a table of amounts, by class and tenant
//
// A policy is checked as a whole. One that could divide more connections than there are, starve a guarantee, or never settle is
// refused, with line, reason and remedy. Expressions can't ask for the time, for a load, or for anything else that brokers could see
// differently: the same text is the same policy on all of them.
//
// A Policy is not changed after Compile, and ClassOf may be called from any goroutine.
package connpolicy

import (
	"fmt"
	"time"

	"flaxfront/internal/config/form"
	"flaxfront/internal/decision/fairshare"
)

// The bounds of a policy. It goes to every broker and into every snapshot, and its check has to be short.
const (
	maxBytes         = 64 << 10
	maxClasses       = 64
	maxTenants       = 64
	maxTenantEntries = 128
	maxWeight        = 1000
)

// document is the form of the text.
type document struct {
	Brokers int           `json:"brokers" min:"1" max:"1000" doc:"brokers at most; each has its floors, there or not"`
	Nodes   int           `json:"nodes" min:"1" max:"10000" doc:"nodes at most"`
	Lease   time.Duration `json:"lease" default:"6s" min:"1s" max:"10m" doc:"what is granted lapses so long after it was last asked for"`
	Closing time.Duration `json:"closing" default:"1s" min:"10ms" max:"1m" doc:"before that end connections above the floors are closed"`
	Classes []classEntry  `json:"classes" doc:"kinds of node: the first whose condition holds"`
	Pool    poolEntry     `json:"pool" doc:"all nodes together"`
	Tenants []tenantEntry `json:"tenants" doc:"what each tenant gets of a budget: the first of its name whose condition holds"`
}

type classEntry struct {
	Name   string `json:"name" doc:"class in expressions"`
	When   string `json:"when" doc:"condition on node.name, node.zone, node.cell, node.machine; empty: holds"`
	Budget string `json:"budget" doc:"connections that a node of this kind holds"`
	Floor  string `json:"floor" default:"1" doc:"connections that each broker may open to it without asking"`
}

type poolEntry struct {
	Budget string `json:"budget" doc:"connections to all nodes; empty: the nodes' budgets alone bound"`
}

type tenantEntry struct {
	Name      string `json:"name" doc:"as the settings name it"`
	When      string `json:"when" doc:"condition on class; empty: holds"`
	Guarantee string `json:"guarantee" default:"0" doc:"units that it has whenever it needs them"`
	Weight    string `json:"weight" default:"1" doc:"its part of what is above the guarantees"`
	Most      string `json:"most" default:"shared" doc:"units while others need more"`
	Burst     string `json:"burst" default:"0" doc:"further units of what nobody else needs"`
}

// Node is what conditions may ask of a node.
type Node struct {
	Name    string
	Zone    string
	Cell    string
	Machine string
}

// Class is a kind of node, evaluated. Amounts are connections.
type Class struct {
	Name   string
	Budget int              // of a node
	Floor  int              // of the budget, each broker's own
	Shared fairshare.Budget // what is above the floors of all brokers
	when   *expression      // nil: every node
	index  int              // in the document
}

// Policy is a policy that was checked as a whole.
type Policy struct {
	Brokers int // at most
	Nodes   int // at most
	Lease   time.Duration
	Closing time.Duration // before the end of a lease
	Tenants []string
	Classes []Class // the last one takes every node
	Pool    *Class  // all nodes together; nil: only the nodes' budgets bind
	Text    string
}

// PoolClass is the class of the pool in expressions.
const PoolClass = "pool"

// Compile reads a policy and checks it as a whole. The path names it in errors. An error is a *form.Error, which tells the line, and
// wraps one of this package's errors, which tells the reason and the remedy.
func Compile(path, text string) (*Policy, error) {
	if len(text) > maxBytes {
		return nil, &form.Error{What: "policy", Path: path, Err: fmt.Errorf("%d bytes, %d at most", len(text), maxBytes)}
	}
	var d document
	doc, err := form.Decode("policy", path, []byte(text), &d)
	if err != nil {
		return nil, err
	}
	policy := &Policy{
		Brokers: d.Brokers,
		Nodes:   d.Nodes,
		Lease:   d.Lease,
		Closing: d.Closing,
		Text:    text,
	}
	c := &compiler{doc: doc, document: &d, policy: policy}
	if err := c.compile(); err != nil {
		return nil, err
	}
	return policy, nil
}

// ClassOf returns the class of a node. A condition that fails on the node, such as by an overflow, does not hold.
func (p *Policy) ClassOf(n Node) *Class {
	variables := map[string]any{"node.name": n.Name, "node.zone": n.Zone, "node.cell": n.Cell, "node.machine": n.Machine}
	last := len(p.Classes) - 1
	for i := range p.Classes[:last] {
		holds, err := p.Classes[i].when.evaluateCondition(variables)
		if err == nil && holds {
			return &p.Classes[i]
		}
	}
	return &p.Classes[last]
}
