package raftlog

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Bodies of frames are CBOR (RFC 8949) around raft's own messages in protobuf. Keys are numbers, which stay.
const (
	formatVersion = 1 // a file with a higher one is refused

	maxArrayElements = 1 << 24
	maxMapPairs      = 64
	maxNestedLevels  = 8
)

// decodeMode bounds what a body may make the decoder allocate.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// fileHeader is the first frame of a file. Version keeps its key in all versions.
type fileHeader struct {
	Version       int      `cbor:"1,keyasint"`
	Cluster       string   `cbor:"2,keyasint"`
	VoterID       uint64   `cbor:"3,keyasint"`
	Voters        []uint64 `cbor:"4,keyasint"` // sorted
	InitialFrames int      `cbor:"5,keyasint"` // written with this one, without it
}

// record is what one Save was given.
type record struct {
	hardState *pb.HardState
	entries   []*pb.Entry
	snapshot  *pb.Snapshot
}

// storedRecord is a record as it is stored: each part is a message of raft's in protobuf.
type storedRecord struct {
	HardState []byte   `cbor:"1,keyasint,omitempty"`
	Entries   [][]byte `cbor:"2,keyasint,omitempty"`
	Snapshot  []byte   `cbor:"3,keyasint,omitempty"`
}

// appendHeader appends the frame that a file begins with, and returns its checksum.
func appendHeader(b []byte, h fileHeader) ([]byte, uint32, error) {
	body, err := cbor.Marshal(h)
	if err != nil {
		return b, 0, err
	}
	b, checksum := appendFrame(b, 0, body)
	return b, checksum, nil
}

// appendRecord appends a frame and returns its checksum, which continues the one before it.
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
