package controlplane

// A frame is a length (4 bytes, little-endian), a kind (1 byte) and a body in CBOR (RFC 8949). The length counts kind and body. Fields are
// identified by numbers, and a receiver skips those that it does not know, so that two versions can communicate.

const (
	wireProtocol       = 1
	maxFrameBytes      = 4 << 20
	maxHelloBytes      = 4 << 10
	snapshotPieceBytes = 256 << 10 // of a snapshot in one frame
	maxSnapshotBytes   = 256 << 20
	maxNameBytes       = 64
	maxPathLength      = 6    // brokers from a voter down to the sender, both included
	maxBatch           = 4096 // items of one kind in one frame
	maxRedirects       = 64   // addresses in one frame
	maxReportClasses   = 64
)

// The kinds of frames.
const (
	frameHello         = 'h'
	framePacket        = 'r' // a raft message between voters
	frameFollow        = 'f'
	frameRedirect      = 'o'
	frameFeed          = 'e'
	frameSnapshotPiece = 's'
	frameUpstream      = 'u'
	frameGrants        = 'd'
	frameHeartbeat     = 'b'
	frameRequest       = 'q'
	frameResponse      = 'a'
)

// role is what the peer at one side of a connection acts as.
type role uint8

const (
	roleVoter role = 1 + iota
	roleFollower
	roleOperator
)

// helloFrame is the first frame that each side sends.
type helloFrame struct {
	Protocol int    `cbor:"1,keyasint"`
	Role     role   `cbor:"2,keyasint"`
	Name     string `cbor:"3,keyasint"`
	Listen   string `cbor:"4,keyasint,omitempty"` // address at which brokers can follow this side; empty: none
}

// followFrame asks to be fed the entries after an index.
type followFrame struct {
	Index uint64 `cbor:"1,keyasint"`
}

// redirectFrame says that the sender cannot be followed, and names the addresses of brokers that may be followed instead.
type redirectFrame struct {
	Addrs []string `cbor:"1,keyasint,omitempty"`
}

type feedEntry struct {
	Index uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

// feedFrame carries entries without a gap.
type feedFrame struct {
	Previous uint64      `cbor:"1,keyasint"` // the index before the first entry
	Entries  []feedEntry `cbor:"2,keyasint"`
}

type snapshotPiece struct {
	Index  uint64 `cbor:"1,keyasint"` // of the last entry in the snapshot
	Total  int    `cbor:"2,keyasint"` // bytes of the snapshot
	Offset int    `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

// leaseRenewal asks for a session's lease. The leader returns it unchanged as the grant.
type leaseRenewal struct {
	Slot        uint32 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Token       uint64 `cbor:"3,keyasint"` // when the broker asked, by its own clock
}

type reportFrame struct {
	Slot        uint32 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Data        []byte `cbor:"3,keyasint"` // a Report in CBOR
}

// upstreamFrame carries what brokers send to the leader. Brokers on the way forward it.
type upstreamFrame struct {
	Renewals []leaseRenewal `cbor:"1,keyasint,omitempty"`
	Entries  [][]byte       `cbor:"2,keyasint,omitempty"` // proposed log entries
	Reports  []reportFrame  `cbor:"3,keyasint,omitempty"`
}

// grantsFrame carries granted session leases from the leader. Brokers on the way forward it.
type grantsFrame struct {
	LeaseNS int64          `cbor:"1,keyasint"`
	Leader  string         `cbor:"2,keyasint"`
	Grants  []leaseRenewal `cbor:"3,keyasint"`
}

type heartbeatFrame struct {
	Path         []string             `cbor:"1,keyasint,omitempty"` // names of brokers from a voter down to the sender; empty: it is cut off or halted
	FollowerRoom int                  `cbor:"2,keyasint,omitempty"` // how many more followers the sender accepts
	Token        uint64               `cbor:"3,keyasint,omitempty"` // when this was sent, by the sender's clock
	Echo         uint64               `cbor:"4,keyasint,omitempty"` // the last token received from the other side
	Topics       map[string]topicData `cbor:"5,keyasint,omitempty"`
}

type topicData struct {
	Data  []byte `cbor:"1,keyasint"`
	AgeNS int64  `cbor:"2,keyasint,omitempty"` // age at sending
}

// requestFrame carries an operator's request.
type requestFrame struct {
	ID   uint64 `cbor:"1,keyasint"`
	Verb string `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint,omitempty"` // a Request in JSON
}

type responseFrame struct {
	ID        uint64 `cbor:"1,keyasint"`
	Body      []byte `cbor:"2,keyasint,omitempty"` // in JSON
	Error     string `cbor:"3,keyasint,omitempty"`
	Remedy    string `cbor:"4,keyasint,omitempty"`
	Leader    string `cbor:"5,keyasint,omitempty"` // name of the leader, if another broker is known to lead
	NotLeader bool   `cbor:"6,keyasint,omitempty"` // the sender does not lead; the request was not carried out
}
