package script

// This file defines the sections of a script and the kinds of faults.

import "time"

// Fleet describes the store nodes.
type Fleet struct {
	Nodes          int           `json:"nodes" default:"16" min:"1" max:"20000" doc:"simulated store nodes"`
	Cells          int           `json:"cells" default:"4" min:"1" max:"5000" doc:"sets of nodes that hold the same shards; nodes are dealt out in turn"`
	Shards         int           `json:"shards_a_cell" default:"3" min:"1" max:"64" doc:"shards that a set holds"`
	Zones          int           `json:"zones" default:"2" min:"1" max:"16" doc:"data centres, named a, b and so on"`
	Cores          int           `json:"cores" default:"2" min:"1" max:"64" doc:"of a node"`
	Queue          int           `json:"queue" default:"200" min:"0" max:"100000" doc:"parts that wait at a node; beyond it they are turned away"`
	CallWork       time.Duration `json:"call_work" default:"1ms" min:"0s" max:"10s" doc:"work of a call beside that of its parts"`
	Handshake      time.Duration `json:"handshake" default:"1ms" min:"0s" max:"1s" doc:"work of a new connection"`
	DropsCancelled bool          `json:"drops_cancelled" doc:"waiting work that is called off is dropped"`
	ColdCapacity   float64       `json:"cold_from" default:"0.3" min:"0.01" max:"1" doc:"share of its capacity that a node starts with"`
	WarmUpAfter    time.Duration `json:"warm_after" default:"12s" min:"0s" max:"10m" doc:"until it has all of it"`
	CrashMultiple  float64       `json:"falls_at" default:"2" min:"1.01" max:"100" doc:"offered more than so many times what it can do"`
	CrashAfter     time.Duration `json:"falls_after" default:"2s" min:"10ms" max:"1m" doc:"for so long, a cold node falls over"`
	DrainGrace     time.Duration `json:"drain_grace" default:"500ms" min:"0s" max:"1m" doc:"after a broker was told of a drain"`
	Connections    int           `json:"connections" default:"1000" min:"1" max:"100000" doc:"that a node accepts"`
}

// Network describes the network between clients, brokers and nodes.
type Network struct {
	ZoneDelay      time.Duration `json:"hop" default:"300us" min:"50us" max:"1s" doc:"one way, within a zone"`
	CrossZoneDelay time.Duration `json:"cross" default:"700us" min:"50us" max:"1s" doc:"one way, between zones"`
	Jitter         float64       `json:"jitter" default:"0.1" min:"0" max:"10" doc:"mean of what is added, as a share"`
	Loss           float64       `json:"loss" default:"0" min:"0" max:"0.9" doc:"of packets; within a connection they come 200ms late"`
}

// Brokers describes the brokers.
type Brokers struct {
	Count         int           `json:"count" default:"3" min:"1" max:"2000" doc:"brokers, each with clients of its own"`
	MaxOpen       int           `json:"max_open" default:"4096" min:"4" max:"1000000" doc:"searches and parts that one holds"`
	Sockets       int           `json:"sockets" default:"1024" min:"64" max:"100000" doc:"descriptors of one"`
	Gossip        bool          `json:"peers" doc:"they may send each other messages"`
	Attempts      int           `json:"attempts" default:"4" min:"1" max:"16" doc:"sub-requests for a part at most"`
	ExtraAttempts float64       `json:"budget" default:"0" min:"0" max:"1" doc:"further sub-requests as a share of searches and parts in 10s; 0: none is set"`
	StepCost      time.Duration `json:"turn_cost" default:"40us" min:"0s" max:"10ms" doc:"of the core that a broker's turn takes"`
	Admission     bool          `json:"door" doc:"fair queues at the door, as the operators' file switches them on"`
	KeepList      bool          `json:"keep_list" doc:"the node list is kept over restarts"`
}

// List describes the service that provides the endpoint list.
type List struct {
	Delay time.Duration `json:"delay" default:"2s" min:"0s" max:"5m" doc:"from a change of a node to the list's"`
}

// Type describes a query type.
type Type struct {
	Name          string        `json:"name"`
	Share         float64       `json:"share" default:"1" min:"0" max:"1000000" doc:"of searches, beside the others'"`
	Objective     time.Duration `json:"target" default:"1s" min:"10ms" max:"10m"`
	Timeout       time.Duration `json:"timeout" default:"2s" min:"10ms" max:"10m"`
	Value         float64       `json:"value" default:"1" min:"0" max:"1000"`
	Late          float64       `json:"late" default:"0.1" min:"0" max:"1" doc:"of its value after the target"`
	RequiredShare float64       `json:"floor" default:"1" min:"0.01" max:"1" doc:"least share of the parts for an answer"`
	Min           int           `json:"least_parts" default:"1" min:"1" max:"1000"`
	Max           int           `json:"most_parts" default:"4" min:"1" max:"1000"`
	Work          time.Duration `json:"work" default:"20ms" min:"10us" max:"1m" doc:"of a part, on average"`
	Effect        string        `json:"effect" default:"idempotent" doc:"idempotent, tokened or non_idempotent"`
	KeyWindow     time.Duration `json:"window" default:"1500ms" min:"0s" max:"10m" doc:"tokened: how long repeats are dropped"`
}

// Tenant describes a tenant.
type Tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share" default:"1" min:"0" max:"1000000" doc:"of the load, beside the others', and its portion"`
}

// Load describes the clients' load.
type Load struct {
	Rate            float64       `json:"rate" default:"60" min:"0.01" max:"10000000" doc:"searches a second over all brokers"`
	Retries         int           `json:"retries" default:"2" min:"0" max:"10" doc:"of a client after a search was refused or failed"`
	After           time.Duration `json:"retry_after" default:"100ms" min:"0s" max:"1m" doc:"unless it was told when to come back"`
	ObeysRetryAfter float64       `json:"obeys" default:"1" min:"0" max:"1" doc:"clients that come back when they are told to"`
	Skew            float64       `json:"skew" default:"0" min:"0" max:"1" doc:"of searches that go to the tenth of the brokers that are asked most"`
}

// Fault is one fault. It affects the nodes in Nodes, or those of a zone, or a share drawn at random.
type Fault struct {
	Kind    string        `json:"what" doc:"one of Kinds"`
	At      time.Duration `json:"at" default:"5s" min:"0s" max:"2h"`
	Length  time.Duration `json:"for" default:"5s" min:"1ms" max:"2h"`
	Ramp    time.Duration `json:"ramp" default:"0s" min:"0s" max:"2h" doc:"over which a factor comes and goes"`
	Share   float64       `json:"share" default:"0.2" min:"0" max:"1" doc:"of nodes or brokers"`
	Nodes   []int         `json:"nodes" doc:"their numbers, from 0"`
	Zone    string        `json:"zone"`
	Tenant  string        `json:"tenant"`
	Factor  float64       `json:"factor" default:"3" min:"0" max:"1000" doc:"how many times slower, or more"`
	Every   time.Duration `json:"every" default:"2s" min:"10ms" max:"1h" doc:"stall: between two pauses of a node"`
	Pause   time.Duration `json:"pause" default:"300ms" min:"1ms" max:"1h" doc:"stall: how long each"`
	Repeats bool          `json:"repeats" doc:"flood: its clients come back at once when they are refused"`
}

// FaultKinds describes what each kind of fault does.
var FaultKinds = map[string]string{
	"die":            "nodes end and their connections are reset; they come back cold",
	"vanish":         "nodes become unreachable, without a reset of connections; then their connections break",
	"hang":           "nodes accept shard requests and answer none",
	"stall":          "nodes pause for a time, again and again",
	"slow":           "nodes take factor times as long",
	"errors":         "nodes fail factor percent of their shard requests",
	"drain":          "nodes drain; when they have left, new, cold nodes take their places",
	"cut":            "a zone is cut off from the others",
	"jump":           "the load of all tenants is factor times as high",
	"flood":          "the load of one tenant is factor times as high",
	"discovery_down": "the list service refuses calls",
	"discovery_hang": "the list service accepts calls and does not answer",
	"restart":        "brokers are killed; they come back with only the state that they store",
	"loss":           "factor percent of the packets are lost",
	"lag":            "nodes apply no writes; then they catch up",
	"rollback":       "nodes fall back, unannounced, to a state older by factor seconds; then they catch up",
}
