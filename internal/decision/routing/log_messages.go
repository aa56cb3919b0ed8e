package routing

import (
	"fmt"
	"slices"

	"flaxfront/internal/decision"
)

// logMessage identifies a log line that the router may write. The page docs/oncall.md explains each line and the operator's response.
type logMessage uint8

const (
	logEjectedUnresponsive logMessage = iota
	logEjectedErrors
	logEjectedRejecting
	logEjectedUnreachable
	logReinstated
	logWarmingUp
	logWarmedUp
	logZoneAvoided
	logZoneUsedAgain
	logFailuresAlike
	logFailuresAlikeEnded
	logIdleConnectionsAreCut
	logSheddingStarted
	logSheddingEnded
	logUnknownQueryType
	logMessageCount
)

// logFormats use the terms of docs/glossary.md. A change of a format needs a change of docs/oncall.md, and an entry in
// internal/lab/play/digest.go that maps the new wording to the one that the simulator's digests are computed from.
var logFormats = [logMessageCount]string{
	logEjectedUnresponsive:   "%v ejected: unresponsive (no answer for %.2f s)",
	logEjectedErrors:         "%v ejected: errors (error rate %.2f)",
	logEjectedRejecting:      "%v ejected: rejects attempts (error rate %.2f)",
	logEjectedUnreachable:    "%v ejected: unreachable (error rate %.2f)",
	logReinstated:            "%v reinstated: error rate %.2f",
	logWarmingUp:             "%v warming up: started %v ago",
	logWarmedUp:              "%v warmed up",
	logZoneAvoided:           "zone %d avoided: error rate %.2f",
	logZoneUsedAgain:         "zone %d used again: error rate %.2f",
	logFailuresAlike:         "attempts fail at all nodes alike: error rate %.2f",
	logFailuresAlikeEnded:    "attempts no longer fail at all nodes alike: error rate %.2f",
	logIdleConnectionsAreCut: "idle connections are cut: error rate %.2f after %v idle, %.2f over fresh connections",
	logSheddingStarted:       "shedding load: expected wait %.2f of the time left, %v",
	logSheddingEnded:         "shedding ended: expected wait %.2f of the time left, %v",
	logUnknownQueryType:      "query of unknown type %d failed",
}

// LogFormats returns the formats of all log lines that a router may write.
func LogFormats() []string { return slices.Clone(logFormats[:]) }

// log appends an action that writes a log line.
func (r *Router) log(m logMessage, args ...any) {
	r.act(decision.Action{Kind: decision.LogMessage, Text: fmt.Sprintf(logFormats[m], args...)})
}
