package script

import "time"

// Reads describes replicas that lag behind their writers, and clients whose read hints say what their reads need.
type Reads struct {
	On            bool          `json:"on" doc:"nodes report positions, and brokers obey hints"`
	Writes        time.Duration `json:"writes" default:"7ms" min:"100us" max:"10s" doc:"between two acknowledged writes to a shard"`
	Lag           time.Duration `json:"lag" default:"20ms" min:"0s" max:"1m" doc:"most by which a replica is behind in ordinary times; each has its own"`
	CatchUp       float64       `json:"catch_up" default:"10" min:"0.1" max:"1000" doc:"seconds of writes that a replica takes over in one, where it is behind"`
	ClockError    time.Duration `json:"clock_error" default:"20ms" min:"0s" max:"10s" doc:"most by which a node's measure is too low, and what brokers count in"`
	Drift         float64       `json:"drift" default:"0.001" min:"0" max:"0.1" doc:"most by which a node's clock is slow, and what brokers count in"`
	Hinted        float64       `json:"hinted" default:"1" min:"0" max:"1" doc:"of searches that carry a hint"`
	Pinned        float64       `json:"pinned" default:"0.6" min:"0" max:"1" doc:"of those: pinned to their session"`
	Fresh         float64       `json:"fresh" default:"0.6" min:"0" max:"1" doc:"of those: with a bound on age"`
	StalenessMin  time.Duration `json:"least_stale" default:"100ms" min:"1ms" max:"10m" doc:"that bound at least"`
	StalenessMax  time.Duration `json:"most_stale" default:"1s" min:"1ms" max:"10m" doc:"and at most"`
	Tokens        float64       `json:"tokens" default:"0.6" min:"0" max:"1" doc:"of those: with what the session has seen"`
	OwnWrites     float64       `json:"own_writes" default:"0.1" min:"0" max:"1" doc:"of those with it: which have just written"`
	OrStale       float64       `json:"or_stale" default:"0.1" min:"0" max:"1" doc:"of those: content with less"`
	HotKey        float64       `json:"hot" default:"0" min:"0" max:"1" doc:"of those: pinned to one key, the same at every broker"`
	Sessions      int           `json:"sessions" default:"40" min:"1" max:"100000" doc:"that begin at a broker; each moves to another now and then"`
	MoveChance    float64       `json:"moves" default:"0.05" min:"0" max:"1" doc:"chance of that after an answer"`
	ShareInterval time.Duration `json:"share" default:"250ms" min:"1ms" max:"1h" doc:"between two times that a broker asks another what it knows of replicas"`
}
