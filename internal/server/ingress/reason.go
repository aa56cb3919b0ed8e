package ingress

import "flaxfront/internal/transport/clientconn"

// Reason is why a connection ends: the reason code in its log line.
type Reason = clientconn.Reason

// The reasons. Operators search for the codes, and docs/oncall.md explains each.
const (
	LastAnswer     Reason = "last_answer" // the client or the broker asked for the end after an answer
	Idle           Reason = "idle"        // no request arrived within the idle timeout of the settings
	Reclaimed             = clientconn.Reclaimed
	Drained               = clientconn.Drained
	Shutdown       Reason = "shutdown"      // the broker ended
	ClientClosed   Reason = "client_closed" // between requests
	ClientReset    Reason = "client_reset"  // between requests
	ClientDeparted Reason = "client_left"   // with a request that was not answered
	CutShort       Reason = "cut_short"     // in the middle of a request
	BadRequest     Reason = "bad_request"
	SlowRequest    Reason = "slow_request"
	NoMemory       Reason = "no_memory" // for a request, which was refused
	WriteFailed    Reason = "write_failed"
)

// stillOpen means that there is no reason: the connection stays open.
const stillOpen = clientconn.StillOpen
