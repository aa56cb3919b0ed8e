package play

// This file simulates the replication lag of nodes and the positions that they report. The writes of a shard depend on time alone, so
// that the audit can compute what was acknowledged by any time without asking a broker.

import (
	"strconv"
	"strings"
	"time"

	"flaxfront/internal/decision/readpin"
	"flaxfront/internal/lab/script"
)

// replica is the state of a node's replica: all writes that were acknowledged by stateAt.
type replica struct {
	stateAt    time.Duration
	updatedAt  time.Duration // time of the last update of stateAt
	baseLag    time.Duration // lag without faults
	lagsUntil  time.Duration // no writes are applied before
	clockDrift float64       // the node's clock runs slow by this share
	clockError time.Duration // the measured age of the state is too low by this
}

// positionAt returns the position of a shard's last write that was acknowledged by a time. The write rate varies by shard.
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

// advance applies the writes since the last update. catch is how many seconds of writes beyond the new ones a replica that is behind
// applies per second.
func (r *replica) advance(now time.Duration, catch float64) {
	if from := max(r.updatedAt, r.lagsUntil); now > from {
		r.stateAt = max(r.stateAt, min(now-r.baseLag, r.stateAt+time.Duration((1+catch)*float64(now-from))))
	}
	r.updatedAt = now
}

// readReplica returns the suffix with position and node that a shard request's value gets, and the node's report on its replica.
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

// splitValue splits a value into its content, position and node.
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
