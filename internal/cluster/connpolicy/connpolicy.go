// Package connpolicy compiles connection policies, by which operators divide the connections to nodes among brokers and tenants. A policy
// is written in JSON with comments; its conditions and amounts are CEL expressions.
//
//	document --decode--> classes, pool, tenants --compile--> expressions --evaluate--> a table of amounts, by class and tenant
//
// A policy is checked as a whole. One that could divide more connections than there are, leave a tenant without any, or never settle is
// rejected with line, reason and remedy. Expressions cannot depend on the time, the load, or anything else that brokers could see
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

// The bounds of a policy. They keep it small, as it goes to every broker and into every snapshot, and its check short.
const (
	maxBytes         = 64 << 10
	maxClasses       = 64
	maxTenants       = 64
	maxTenantEntries = 128
	maxWeight        = 1000
)

// document is the schema of a policy's text.
type document struct {
	Brokers int           `json:"brokers" min:"1" max:"1000" doc:"maximum number of brokers; each has its floors reserved, registered or not"`
	Nodes   int           `json:"nodes" min:"1" max:"10000" doc:"maximum number of nodes"`
	Lease   time.Duration `json:"lease" default:"6s" min:"1s" max:"10m" doc:"a grant expires this long after its last renewal"`
	Closing time.Duration `json:"closing" default:"1s" min:"10ms" max:"1m" doc:"this long before a lease expires, connections above the floors are closed"`
	Classes []classEntry  `json:"classes" doc:"classes of nodes; a node belongs to the first whose condition holds"`
	Pool    poolEntry     `json:"pool" doc:"all nodes together"`
	Tenants []tenantEntry `json:"tenants" doc:"amounts of each tenant; its first entry whose condition holds applies"`
}

type classEntry struct {
	Name   string `json:"name" doc:"name of the class in expressions"`
	When   string `json:"when" doc:"condition on node.name, node.zone, node.cell, node.machine; empty: always holds"`
	Budget string `json:"budget" doc:"connections to each node of this class"`
	Floor  string `json:"floor" default:"1" doc:"connections that each broker may open to such a node without a lease"`
}

type poolEntry struct {
	Budget string `json:"budget" doc:"connections to all nodes together; empty: only the budgets of the nodes apply"`
}

type tenantEntry struct {
	Name      string `json:"name" doc:"name of the tenant in the settings"`
	When      string `json:"when" doc:"condition on class; empty: always holds"`
	Guarantee string `json:"guarantee" default:"0" doc:"units that the tenant gets whenever it needs them"`
	Weight    string `json:"weight" default:"1" doc:"its share of the units above the guarantees, relative to other tenants"`
	Most      string `json:"most" default:"shared" doc:"maximum of units while other tenants need more"`
	Burst     string `json:"burst" default:"0" doc:"additional units that no other tenant needs"`
}

// Node holds the attributes of a node that conditions may use.
type Node struct {
	Name    string
	Zone    string
	Cell    string
	Machine string
}

// Class is a class of nodes, or the pool, with its evaluated amounts in connections.
type Class struct {
	Name   string
	Budget int              // connections to each node of the class
	Floor  int              // the part of the budget reserved for each broker
	Shared fairshare.Budget // the part of the budget above the floors of all brokers
	when   *expression      // nil: takes every node
	index  int              // in the document
}

// Policy is a connection policy that has passed all checks.
type Policy struct {
	Brokers int // maximum
	Nodes   int // maximum
	Lease   time.Duration
	Closing time.Duration // how long before the end of a lease connections above the floors are closed
	Tenants []string
	Classes []Class // the last one takes every node
	Pool    *Class  // all nodes together; nil: only the nodes' budgets apply
	Text    string
}

// PoolClass is the name of the pool's class in expressions.
const PoolClass = "pool"

// Compile compiles a policy and checks it as a whole. The path names the policy in errors. An error is a *form.Error, which states the line
// and wraps one of this package's errors with the reason and the remedy.
func Compile(path, text string) (*Policy, error) {
	if len(text) > maxBytes {
		return nil, &form.Error{Kind: "policy", Path: path, Err: fmt.Errorf("the policy has %d bytes, at most %d are allowed", len(text), maxBytes)}
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

// ClassOf returns the class of a node. A condition that cannot be evaluated for the node, such as by an overflow, does not hold.
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
