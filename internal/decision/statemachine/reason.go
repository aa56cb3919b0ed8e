package statemachine

// Reason is why an entry was rejected.
type Reason uint8

// The reasons, as they are stored.
const (
	ReasonForgotten      Reason = iota + 1 // a proposal so old that its result is forgotten
	ReasonFenced                           // of a leader that has been replaced
	ReasonStale                            // of an incarnation, drain or grant that is not the present one
	ReasonNotFound                         // no such broker, node, release or permit
	ReasonWrongState                       // the release is not running, or has no such step
	ReasonAlreadyUsed                      // the permit has been used
	ReasonTierLimit                        // as many are out as may be
	ReasonZoneLimit                        // as many are out in the zone as may be
	ReasonTooFewReplicas                   // a shard would have too few ready replicas
	ReasonNotDrained                       // brokers may still send to the node
	ReasonOverBudget                       // a node's connections would not suffice
	ReasonInvalid                          // the entry contradicts itself or what is agreed
	ReasonBusy                             // another release runs, or another policy waits
	ReasonProtocol                         // a broker can't read that protocol
)

// reasonText is a reason as an operator reads it.
type reasonText struct {
	meaning string
	remedy  string
}

const outLimitRemedy = "wait until those that are out are back, or forget one that never comes back"

var reasonTexts = [...]reasonText{
	ReasonForgotten: {
		meaning: "a proposal so old that its result is forgotten",
		remedy:  "look at the state, and ask again if it is still wanted",
	},
	ReasonFenced: {
		meaning: "its proposer does not lead any more",
		remedy:  "none needed: the present leader goes on",
	},
	ReasonStale: {
		meaning: "it speaks of an older incarnation, drain or grant",
		remedy:  "none needed: the broker reads the present state and goes by it",
	},
	ReasonNotFound: {
		meaning: "what it speaks of is not known",
		remedy:  "look at `flaxfront fleet status` for what there is",
	},
	ReasonWrongState: {
		meaning: "the release is not in a state that allows it",
		remedy:  "look at `flaxfront fleet status`: it may be halted, over or taken back",
	},
	ReasonAlreadyUsed: {
		meaning: "the permit was used before",
		remedy:  "none needed: nobody goes out twice by it",
	},
	ReasonTierLimit: {
		meaning: "as many brokers are out as may be",
		remedy:  outLimitRemedy,
	},
	ReasonZoneLimit: {
		meaning: "as many brokers of the zone are out as may be",
		remedy:  outLimitRemedy,
	},
	ReasonTooFewReplicas: {
		meaning: "a shard would have fewer ready replicas than it must keep",
		remedy:  "bring replicas of the shard back, or add some, before this one goes",
	},
	ReasonNotDrained: {
		meaning: "brokers may still send to the node",
		remedy:  "wait until all have acknowledged the drain or their leases have expired",
	},
	ReasonOverBudget: {
		meaning: "a node's connection budget does not suffice",
		remedy:  "grant less, or wait for what others hold to be acknowledged or to expire",
	},
	ReasonInvalid: {
		meaning: "it contradicts itself or what is agreed",
		remedy:  "correct the request; the detail says where",
	},
	ReasonBusy: {
		meaning: "another one is not over",
		remedy:  "wait for it, or halt it and take it back",
	},
	ReasonProtocol: {
		meaning: "a broker of the tier can't read that protocol",
		remedy:  "bring all brokers up to the version first, or forget those that are gone",
	},
}
