package decision

import "time"

// Idempotency says what running a request twice does.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent       Idempotency = iota
	IdempotencyKeyed             // nodes drop a repeat within QueryType.IdempotencyWindow
	NonIdempotent
)

// QueryType holds the terms of one query type. Completeness is a share of the weight of a query's shard requests, from 0 to 1.
type QueryType struct {
	LatencyObjective    time.Duration // a query answered inside it earns its full PriorityWeight
	Timeout             time.Duration // of the client
	PriorityWeight      float64
	LateWeight          float64 // share of PriorityWeight that a late answer earns
	Idempotency         Idempotency
	IdempotencyWindow   time.Duration
	MinCompleteness     float64 // under it a query fails
	FullCompleteness    float64 // from it on an answer is complete
	SecondPhaseRequests int     // 0: queries have one phase
}

// Tenant holds the terms of one tenant.
type Tenant struct {
	TrafficShare float64
	Quota        float64 // queries a second over all brokers
}

// Settings are what a broker is told about its deployment.
type Settings struct {
	Seed                  uint64
	BrokerCount           int
	GossipAllowed         bool // brokers may send each other messages
	ClientsMarkRetries    bool
	ClockStep             time.Duration // granularity of the clock
	QueryTypes            []QueryType
	Tenants               []Tenant
	OverQuotaWeight       float64 // factor on the priority weight of a query beyond its tenant's quota
	WeightPerShardRequest bool    // a query's priority weight is that of each of its shard requests, not of the whole
	Cells                 int
	CellsPerShard         int // replication: the cells that hold a shard
	MaxBatch              int // shard requests that one call to a node may carry

	CancelAllowed       bool
	HealthChecksAllowed bool
	ConnIdleTimeout     time.Duration // nodes close a connection that was idle for so long
	HedgingAllowed      bool
	MaxRetryAfter       time.Duration // 0: clients are not told when to come back
	MaxAttempts         int           // of a shard request
	MaxInFlight         int           // queries and shard requests at once
	PollList            bool          // the endpoint list comes only to those who ask

	InitialCapacity  float64       // of a node that has just started, as a share of its warm capacity
	WarmUpTime       time.Duration // until a started node has its full capacity
	OverloadMultiple float64       // a warming node fails under more than this multiple of its capacity
	OverloadAfter    time.Duration // for so long

	// Extra attempts are hedges and retries, over all brokers, in the window: at most the minimum, or the share of first attempts.
	ExtraAttemptsMin    float64
	ExtraAttemptsShare  float64
	ExtraAttemptsWindow time.Duration // 0: no budget
}
