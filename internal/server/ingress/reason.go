package ingress

// Reason is why a connection ends: the reason code of its log line.
type Reason string

// The reasons.
const (
	LastAnswer     Reason = "last_answer"   // the client or the broker asked for the end
	Idle           Reason = "idle"          // no request for as long as the settings allow
	Reclaimed      Reason = "spare"         // its descriptor was needed for another connection
	Drained        Reason = "drained"       // idle in a graceful shutdown
	Shutdown       Reason = "shutdown"      // the broker ended
	ClientClosed   Reason = "client_closed" // between requests
	ClientReset    Reason = "client_reset"  // between requests
	ClientDeparted Reason = "client_left"   // with a request that was not answered
	CutShort       Reason = "cut_short"     // in the middle of a request
	BadRequest     Reason = "bad_request"
	SlowRequest    Reason = "slow_request"
	WriteFailed    Reason = "write_failed"
)

// stillOpen is no reason: the connection goes on.
const stillOpen Reason = ""
