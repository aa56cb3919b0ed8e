package controlplane

// Frames are four bytes of length (least significant first), a kind, and a body in CBOR (RFC 8949). The length counts kind and body.
// Fields have numbers, and those that a side does not know are skipped, so that two versions understand one another.

const (
	wireProtocol       = 1
	maxFrameBytes      = 4 << 20
	maxHelloBytes      = 4 << 10
	snapshotPieceBytes = 256 << 10 // in one frame
	maxSnapshotBytes   = 256 << 20
	maxNameBytes       = 64
	maxPathLength      = 6
	maxBatch           = 4096 // of anything in one frame
	maxRedirects       = 64   // addresses in one frame
	maxReportClasses   = 64
)

// The kinds of frames.
const (
	frameHello         = 'h'
	framePacket        = 'r' // of raft, between voters
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

// role is what a side of a connection takes part as.
type role uint8

const (
	roleVoter role = 1 + iota
	roleFollower
	roleOperator
)

// helloFrame is the first frame of each side.
type helloFrame struct {
	Protocol int    `cbor:"1,keyasint"`
	Role     role   `cbor:"2,keyasint"`
	Name     string `cbor:"3,keyasint"`
	Listen   string `cbor:"4,keyasint,omitempty"` // where others may follow this side
}

// followFrame asks for the entries after an index.
type followFrame struct {
	Index uint64 `cbor:"1,keyasint"`
}

// redirectFrame says that a side can't be followed, and where others can.
type redirectFrame struct {
	Addrs []string `cbor:"1,keyasint,omitempty"`
}

type feedEntry struct {
	Index uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

// feedFrame carries entries without a gap.
type feedFrame struct {
	Previous uint64      `cbor:"1,keyasint"` // the index before the first of them
	Entries  []feedEntry `cbor:"2,keyasint"`
}

type snapshotPiece struct {
	Index  uint64 `cbor:"1,keyasint"` // of the last entry in the snapshot
	Total  int    `cbor:"2,keyasint"` // bytes of the snapshot
	Offset int    `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

// leaseRenewal asks for a session's lease, and comes back as its grant.
type leaseRenewal struct {
	Slot        uint32 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Token       uint64 `cbor:"3,keyasint"` // when it was asked for, by the clock of whoever asked
}

type reportFrame struct {
	Slot        uint32 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Data        []byte `cbor:"3,keyasint"` // a Report
}

// upstreamFrame is on its way to the leader.
type upstreamFrame struct {
	Renewals []leaseRenewal `cbor:"1,keyasint,omitempty"`
	Entries  [][]byte       `cbor:"2,keyasint,omitempty"` // proposed
	Reports  []reportFrame  `cbor:"3,keyasint,omitempty"`
}

// grantsFrame is on its way down from the leader.
type grantsFrame struct {
	LeaseNS int64          `cbor:"1,keyasint"`
	Leader  string         `cbor:"2,keyasint"`
	Grants  []leaseRenewal `cbor:"3,keyasint"`
}

type heartbeatFrame struct {
	Path         []string             `cbor:"1,keyasint,omitempty"` // from a voter down to this side; empty: it is cut off
	FollowerRoom int                  `cbor:"2,keyasint,omitempty"` // followers that it would still take
	Token        uint64               `cbor:"3,keyasint,omitempty"` // when this was sent
	Echo         uint64               `cbor:"4,keyasint,omitempty"` // the last token of the other side
	Topics       map[string]topicData `cbor:"5,keyasint,omitempty"`
}

type topicData struct {
	Data  []byte `cbor:"1,keyasint"`
	AgeNS int64  `cbor:"2,keyasint,omitempty"` // since it was collected
}

// requestFrame is an operator's.
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
	Leader    string `cbor:"5,keyasint,omitempty"` // the name of the leader, if it is another
	NotLeader bool   `cbor:"6,keyasint,omitempty"` // this side does not lead; nothing was done
}
