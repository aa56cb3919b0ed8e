package decision

import "time"

// Idempotency says whether a request may be run twice.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent       Idempotency = iota
	IdempotencyKeyed             // nodes recognise and drop a repeat that comes within QueryType.IdempotencyWindow
	NonIdempotent                // must not be run twice
)

// QueryType holds the settings of one query type. Completeness is the summed weight of the answered shard requests as a share of the
// weight of all of the query's shard requests, from 0 to 1.
type QueryType struct {
	LatencyObjective    time.Duration // an answer within it counts with the full PriorityWeight
	Timeout             time.Duration // of the client
	PriorityWeight      float64
	LateWeight          float64 // share of PriorityWeight with which a later answer counts
	Idempotency         Idempotency
	IdempotencyWindow   time.Duration
	MinCompleteness     float64 // with less than this a query fails
	FullCompleteness    float64 // with this or more an answer is complete
	SecondPhaseRequests int     // shard requests of the second phase; 0: queries have one phase
}

// Tenant holds the settings of one tenant.
type Tenant struct {
	TrafficShare float64 // usual share of all queries
	Quota        float64 // queries per second over all brokers
}

// Settings describe the deployment to a broker.
type Settings struct {
	Seed                  uint64
	BrokerCount           int
	GossipAllowed         bool          // brokers may send each other messages
	ClientsMarkRetries    bool          // clients set Event.Retry; otherwise any query may be a retry
	ClockStep             time.Duration // granularity of the clock
	QueryTypes            []QueryType
	Tenants               []Tenant
	OverQuotaWeight       float64 // factor on the priority weight of a query beyond its tenant's quota
	WeightPerShardRequest bool    // PriorityWeight applies to each shard request of a query, not to the query as a whole
	Cells                 int
	CellsPerShard         int // replication factor: how many cells hold each shard
	MaxBatch              int // the most attempts that one call to a node may carry

	CancelAllowed       bool
	HealthChecksAllowed bool
	ConnIdleTimeout     time.Duration // nodes close a connection that has been idle for this long
	HedgingAllowed      bool
	MaxRetryAfter       time.Duration // 0: clients are not told when to retry
	MaxAttempts         int           // of a shard request, the first one included
	MaxInFlight         int           // queries and shard requests in flight at once
	PollList            bool          // discovery sends the endpoint list only on request (SubscribeList)

	InitialCapacity  float64       // of a node that has just started, as a share of its capacity when warmed up
	WarmUpTime       time.Duration // from the start of a node until it has its full capacity
	OverloadMultiple float64       // a node that is warming up fails if its load is above this multiple of its capacity ...
	OverloadAfter    time.Duration // ... for this long

	// The extra attempts (hedges and retries) that may be sent within ExtraAttemptsWindow: ExtraAttemptsMin, plus ExtraAttemptsShare for
	// each query and shard request received in that window.
	ExtraAttemptsMin    float64
	ExtraAttemptsShare  float64
	ExtraAttemptsWindow time.Duration // 0: only the credit limits extra attempts
}
