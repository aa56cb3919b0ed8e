package play

// This file owns how far the simulated nodes' replicas have come, and what they report of it. A shard's writers are a function of
// time alone: whoever knows a moment knows what was acknowledged by then, and no broker is asked.

import (
	"strconv"
	"strings"
	"time"

	"flaxfront/internal/decision/readpin"
	"flaxfront/internal/lab/script"
)

// replicaState is the state of a node: all that was acknowledged by a moment.
type replica struct {
	stateAt    time.Duration // that moment
	updatedAt  time.Duration // when it was last looked at
	baseLag    time.Duration // how far it is behind in ordinary times
	lagsUntil  time.Duration // it takes no writes over before
	clockDrift float64       // its clock
	clockError time.Duration // its measure says so much too little
}

// positionAt is the position of a shard's last write that was acknowledged by a moment. Each shard has a pace of its own.
func positionAt(r *script.Reads, shard int, at time.Duration) uint64 {
	every := r.Writes + r.Writes*time.Duration(shard%5)/7
	return uint64(max(0, at+time.Hour) / every)
}

func (n *node) startReplica() {
	r := &n.w.script.Reads
	n.replicaState = replica{baseLag: time.Duration(n.rnd.Float64() * float64(r.Lag)), clockDrift: n.rnd.Float64() * r.Drift,
		clockError: time.Duration(n.rnd.Float64() * float64(r.ClockError))}
	n.replicaState.stateAt = -n.replicaState.baseLag
}

// advance takes over what has come since it was last looked at.
func (r *replica) advance(now time.Duration, catch float64) {
	if from := max(r.updatedAt, r.lagsUntil); now > from {
		r.stateAt = max(r.stateAt, min(now-r.baseLag, r.stateAt+time.Duration((1+catch)*float64(now-from))))
	}
	r.updatedAt = now
}

// decodeScript is what a part finds at a replica: which state that is, beside the value, and what the node reports.
func (n *node) readReplica(requestID string) (version, report string) {
	s := &n.w.script.Reads
	if !s.On {
		return "", ""
	}
	r := &n.replicaState
	r.advance(n.now, s.CatchUp)
	_, text, _ := strings.Cut(requestID, ".")
	shard, _ := strconv.Atoi(text)
	pos := positionAt(s, shard, r.stateAt)
	head := time.Duration(float64(n.now-r.stateAt)*(1-r.clockDrift)) - r.clockError
	return "@" + strconv.FormatUint(pos, 10) + "@" + strconv.Itoa(n.n),
		string(readpin.AppendReport(nil, readpin.Report{Offset: pos, HeadAge: max(0, head)}))
}

// splitValue takes the version off a value.
func splitValue(value string) (bare string, pos uint64, node int) {
	bare, rest, versioned := strings.Cut(value, "@")
	if !versioned {
		return value, 0, 0
	}
	left, right, _ := strings.Cut(rest, "@")
	pos, _ = strconv.ParseUint(left, 10, 64)
	node, _ = strconv.Atoi(right)
	return bare, pos, node
}
