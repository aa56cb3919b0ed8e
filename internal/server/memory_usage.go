package server

import (
	"runtime/metrics"

	"flaxfront/internal/decision/reclaim"
	"flaxfront/internal/transport/membudget"
)

// MemoryCounters describe the memory of the process now, in bytes, as Go's runtime counts it. The program's code is not in them.
type MemoryCounters struct {
	Limit       uint64 // of the configuration, for the whole process
	InUse       uint64 // mapped and not returned to the system
	Objects     uint64 // live objects, and dead ones that are not yet collected
	Stacks      uint64
	Collections uint64 // garbage collections since the start
	Requests    membudget.Counters
	Answers     membudget.Counters
}

// Names of the runtime's metrics.
const (
	metricTotal       = "/memory/classes/total:bytes"
	metricReleased    = "/memory/classes/heap/released:bytes"
	metricObjects     = "/memory/classes/heap/objects:bytes"
	metricStacks      = "/memory/classes/heap/stacks:bytes"
	metricCollections = "/gc/cycles/total:gc-cycles"
)

// runtimeMemory is the memory of the process as Go's runtime counts it, in bytes.
type runtimeMemory struct {
	inUse       uint64
	objects     uint64
	stacks      uint64
	collections uint64
}

func readRuntime() runtimeMemory {
	samples := []metrics.Sample{{Name: metricTotal}, {Name: metricReleased}, {Name: metricObjects}, {Name: metricStacks}, {Name: metricCollections}}
	metrics.Read(samples)
	return runtimeMemory{
		inUse:       samples[0].Value.Uint64() - samples[1].Value.Uint64(),
		objects:     samples[2].Value.Uint64(),
		stacks:      samples[3].Value.Uint64(),
		collections: samples[4].Value.Uint64(),
	}
}

// readMemory reads the runtime's metrics and the budgets.
func (s *Server) readMemory() MemoryCounters {
	now := readRuntime()
	return MemoryCounters{
		Limit:       uint64(s.start.Limits.MemoryMB) << 20,
		InUse:       now.inUse,
		Objects:     now.objects,
		Stacks:      now.stacks,
		Collections: now.collections,
		Requests:    s.memory.requests.Counters(),
		Answers:     s.memory.answers.Counters(),
	}
}

// ClientStateCounters count the client connections that are open now, by state.
type ClientStateCounters struct {
	Idle     uint64 // between requests
	Reading  uint64 // a request is arriving
	Busy     uint64 // a request is being answered
	NoMemory uint64 // since the start: requests that were refused as there was no memory to read them
	Paced    uint64 // since the start: requests that were read later, as their client sends too fast
}

func (s *Server) countStates() ClientStateCounters {
	return ClientStateCounters{
		Idle:     uint64(s.ingress.Count(reclaim.Idle)),
		Reading:  uint64(s.ingress.Count(reclaim.Reading)),
		Busy:     uint64(s.ingress.Count(reclaim.Busy)),
		NoMemory: s.ingress.Counters.NoMemory.Load(),
		Paced:    s.ingress.Counters.Paced.Load(),
	}
}
