package raftlog

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Bodies of frames are CBOR maps (RFC 8949) that contain raft's messages in protobuf. Their keys are numbers, which must not change.
const (
	formatVersion = 1 // Open refuses a file with a higher version

	maxArrayElements = 1 << 24
	maxMapPairs      = 64
	maxNestedLevels  = 8
)

// decodeMode limits the memory that the decoder allocates for a body.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// fileHeader is the body of the first frame of a file. Version has the same key in all versions of the format.
type fileHeader struct {
	Version       int      `cbor:"1,keyasint"`
	Cluster       string   `cbor:"2,keyasint"`
	VoterID       uint64   `cbor:"3,keyasint"`
	Voters        []uint64 `cbor:"4,keyasint"` // sorted
	InitialFrames int      `cbor:"5,keyasint"` // number of frames written together with the header, not counting it
}

// record holds the arguments of one Save.
type record struct {
	hardState *pb.HardState
	entries   []*pb.Entry
	snapshot  *pb.Snapshot
}

// storedRecord is the stored form of a record: each part is a raft message in protobuf.
type storedRecord struct {
	HardState []byte   `cbor:"1,keyasint,omitempty"`
	Entries   [][]byte `cbor:"2,keyasint,omitempty"`
	Snapshot  []byte   `cbor:"3,keyasint,omitempty"`
}

// appendHeader appends the first frame of a file and returns its checksum.
func appendHeader(b []byte, h fileHeader) ([]byte, uint32, error) {
	body, err := cbor.Marshal(h)
	if err != nil {
		return b, 0, err
	}
	b, checksum := appendFrame(b, 0, body)
	return b, checksum, nil
}

// appendRecord appends a frame with a record and returns its checksum, which continues previousChecksum.
func appendRecord(b []byte, previousChecksum uint32, r record) ([]byte, uint32, error) {
	stored, err := r.toStored()
	if err != nil {
		return b, previousChecksum, err
	}
	body, err := cbor.Marshal(stored)
	if err != nil {
		return b, previousChecksum, err
	}
	if len(body) > maxFrameBytes {
		return b, previousChecksum, fmt.Errorf("%w: %d bytes, %d at most", errFrameTooLarge, len(body), maxFrameBytes)
	}
	b, checksum := appendFrame(b, previousChecksum, body)
	return b, checksum, nil
}

func (r *record) toStored() (s storedRecord, err error) {
	if r.hardState != nil {
		s.HardState, err = proto.Marshal(r.hardState)
	}
	if r.snapshot != nil && err == nil {
		s.Snapshot, err = proto.Marshal(r.snapshot)
	}
	for i := 0; err == nil && i < len(r.entries); i++ {
		var entry []byte
		entry, err = proto.Marshal(r.entries[i])
		s.Entries = append(s.Entries, entry)
	}
	return s, err
}

func decodeRecord(body []byte) (r record, err error) {
	var stored storedRecord
	if err := decodeMode.Unmarshal(body, &stored); err != nil {
		return r, err
	}
	if stored.HardState != nil {
		r.hardState = &pb.HardState{}
		err = proto.Unmarshal(stored.HardState, r.hardState)
	}
	if stored.Snapshot != nil && err == nil {
		r.snapshot = &pb.Snapshot{}
		err = proto.Unmarshal(stored.Snapshot, r.snapshot)
	}
	for i := 0; err == nil && i < len(stored.Entries); i++ {
		entry := &pb.Entry{}
		err = proto.Unmarshal(stored.Entries[i], entry)
		r.entries = append(r.entries, entry)
	}
	return r, err
}
