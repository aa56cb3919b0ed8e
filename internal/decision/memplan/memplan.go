// Package memplan decides how a broker divides its memory limit: how many connections it may hold, and how many bytes all clients' requests and
// all nodes' answers may take together. What is bounded for each connection only grows with their number, past any limit.
//
// The package does no I/O, reads no clock and depends on no package of this module. It keeps no state.
package memplan

// What a connection takes while nothing large is on its way: its goroutine's stack, its reader's buffer and its state, in bytes.
const (
	bytesPerClient = 7 << 10
	bytesPerNode   = 6 << 10
)

// Shares of the memory that is left beside the program's code, as divisors or in percent. What is not given out is for the router, the endpoint
// list and garbage that is not collected yet.
const (
	leastAvailableDivisor = 4 // of the limit, where the code takes more than the rest
	systemDivisor         = 12
	runtimePercent        = 75 // of the limit, at most
	connectionPercent     = 45
	guaranteedPercent     = 10
	requestPercent        = 12
	answerPercent         = 12
	resultSetPercent      = 8
)

// A connection's guaranteed bytes are at least minGuaranteed, the head of a usual request, and at most maxGuaranteed.
const (
	minGuaranteed = 1 << 10
	maxGuaranteed = 16 << 10
)

// Connections are numbers of connections that may be open at once.
type Connections struct {
	Clients int
	Nodes   int
}

// Plan is the division of a memory limit.
type Plan struct {
	Runtime     int64       // bytes that heap and stacks may take before garbage is collected more often
	Connections Connections // at most those that the descriptors allow
	Guaranteed  int         // bytes of a request that each client connection has in any case
	Requests    int64       // bytes beyond that, of all requests that arrive or are in flight
	Answers     int64       // bytes of nodes' answers, until clients have them
	ResultSets  int64       // bytes of the result sets of one front

	RemoteResults int64 // bytes of the results that are kept for other sites; 0 without ReserveRemoteResults
}

// remoteResultsDivisor is the part of the memory for answers, as a divisor, that kept results of other sites' queries get.
const remoteResultsDivisor = 3

// ReserveRemoteResults sets a part of the memory for answers aside for the results that are kept for other sites.
func (p *Plan) ReserveRemoteResults() {
	p.RemoteResults = p.Answers / remoteResultsDivisor
	p.Answers -= p.RemoteResults
}

// New returns the plan for a memory limit and the size of the program's code in memory, both in bytes, and the connections that the descriptors
// allow.
func New(limit, code int64, descriptors Connections) Plan {
	available := max(limit-code-limit/systemDivisor, limit/leastAvailableDivisor)
	available = min(available, limit*runtimePercent/100)
	connections := limitConnections(available*connectionPercent/100, descriptors)
	guaranteed := int(available * guaranteedPercent / 100 / int64(connections.Clients))
	return Plan{
		Runtime:     available,
		Connections: connections,
		Guaranteed:  min(max(guaranteed, minGuaranteed), maxGuaranteed),
		Requests:    available * requestPercent / 100,
		Answers:     available * answerPercent / 100,
		ResultSets:  available * resultSetPercent / 100,
	}
}

// limitConnections returns the largest number of connections that a memory holds, in the proportion of those that the descriptors allow.
func limitConnections(memory int64, descriptors Connections) Connections {
	all := int64(descriptors.Clients)*bytesPerClient + int64(descriptors.Nodes)*bytesPerNode
	if all <= memory {
		return descriptors
	}
	return Connections{
		Clients: max(1, int(int64(descriptors.Clients)*memory/all)),
		Nodes:   max(1, int(int64(descriptors.Nodes)*memory/all)),
	}
}
