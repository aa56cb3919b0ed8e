package statemachine

// Reason tells why an entry was rejected.
type Reason uint8

// The reasons. Their numbers are stored in snapshots.
const (
	ReasonForgotten      Reason = iota + 1 // the proposal is so old that its result is no longer kept
	ReasonFenced                           // the proposer is not the leader any more
	ReasonStale                            // the incarnation, drain, grant, policy or epoch is not the current one
	ReasonNotFound                         // no such broker, node, release, permit or policy
	ReasonWrongState                       // the release is not running, or has no such step
	ReasonAlreadyUsed                      // the permit has been used
	ReasonTierLimit                        // as many are out in the tier as the release allows
	ReasonZoneLimit                        // as many are out in the zone as the release allows
	ReasonTooFewReplicas                   // a shard would have too few ready replicas
	ReasonNotDrained                       // brokers may still send to the node
	ReasonOverBudget                       // a node's connection budget would be exceeded
	ReasonInvalid                          // the entry is inconsistent in itself or with the agreed state
	ReasonBusy                             // another release, drain, policy or lease must end first
	ReasonProtocol                         // a broker can't read the required protocol
)

// reasonText explains a reason to an operator.
type reasonText struct {
	meaning string
	remedy  string
}

const outLimitRemedy = "wait until those that are out have returned, or forget a broker that never comes back"

var reasonTexts = [...]reasonText{
	ReasonForgotten: {
		meaning: "the proposal is so old that its result is no longer kept",
		remedy:  "check the state, and repeat the request if it is still needed",
	},
	ReasonFenced: {
		meaning: "the proposer is not the leader any more",
		remedy:  "none needed: the current leader continues",
	},
	ReasonStale: {
		meaning: "it refers to an incarnation, drain, grant, policy or epoch that is not the current one",
		remedy:  "none needed: the broker reads the current state and acts on it",
	},
	ReasonNotFound: {
		meaning: "it refers to something that does not exist",
		remedy:  "see `flaxfront fleet status` for what exists",
	},
	ReasonWrongState: {
		meaning: "the release is not in a state that allows it",
		remedy:  "see `flaxfront fleet status`: the release may be halted, done or rolled back",
	},
	ReasonAlreadyUsed: {
		meaning: "the permit has already been used",
		remedy:  "none needed: a permit takes its holder out only once",
	},
	ReasonTierLimit: {
		meaning: "as many are out in the tier as the release allows",
		remedy:  outLimitRemedy,
	},
	ReasonZoneLimit: {
		meaning: "as many are out in the zone as the release allows",
		remedy:  outLimitRemedy,
	},
	ReasonTooFewReplicas: {
		meaning: "a shard would have fewer ready replicas than its minimum",
		remedy:  "bring replicas of the shard back, or add some, before this node goes out",
	},
	ReasonNotDrained: {
		meaning: "brokers may still send to the node",
		remedy:  "wait until all have acknowledged the drain or their leases have expired",
	},
	ReasonOverBudget: {
		meaning: "a node's connection budget would be exceeded",
		remedy:  "grant fewer connections, or wait until other leases are acknowledged or expire",
	},
	ReasonInvalid: {
		meaning: "it is inconsistent in itself or with the agreed state",
		remedy:  "correct the request; the detail names the inconsistency",
	},
	ReasonBusy: {
		meaning: "another release, drain, policy or lease must end first",
		remedy:  "wait until it ends; a release can also be halted and rolled back",
	},
	ReasonProtocol: {
		meaning: "a broker of the tier can't read the required protocol",
		remedy:  "upgrade all brokers to that version first, or forget those that are gone",
	},
}
