package routing

import (
	"fmt"

	"flaxfront/internal/decision"
)

// logMessage is a log line that the router may write. What it means and what to do is on the page docs/oncall.md.
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
	logIdleConnectionsCut
	logSheddingStarted
	logSheddingEnded
	logUnknownQueryType
	logMessageCount
)

var logFormats = [logMessageCount]string{
	logEjectedUnresponsive: "%v shut: silent (%.2f)",
	logEjectedErrors:       "%v shut: errors (%.2f)",
	logEjectedRejecting:    "%v shut: refuses (%.2f)",
	logEjectedUnreachable:  "%v shut: unreachable (%.2f)",
	logReinstated:          "%v trusted: doubt %.2f",
	logWarmingUp:           "%v cold: started %v ago",
	logWarmedUp:            "%v warm",
	logZoneAvoided:         "zone %d shunned true: doubt %.2f",
	logZoneUsedAgain:       "zone %d shunned false: doubt %.2f",
	logFailuresAlike:       "parts fail at all nodes alike true: %.2f",
	logFailuresAlikeEnded:  "parts fail at all nodes alike false: %.2f",
	logIdleConnectionsCut:  "idle connections are cut: %.2f fail after %v, %.2f of fresh",
	logSheddingStarted:     "refusing true: wait %.2f of the time left, %v",
	logSheddingEnded:       "refusing false: wait %.2f of the time left, %v",
	logUnknownQueryType:    "search of unknown type %d failed",
}

func (r *Router) log(m logMessage, args ...any) {
	r.act(decision.Action{Kind: decision.LogMessage, Text: fmt.Sprintf(logFormats[m], args...)})
}
