package raftlog

// This file owns the form on disk: frames of 16 bytes of head (magic, length, checksum of the content, checksum of the head;
// CRC-32C, RFC 3720) and a content in CBOR (RFC 8949) around raft's own messages. The content's checksum goes on from the
// one of the frame before, so that a frame that is missing, doubled or of another file doesn't fit. It must never give room
// to what a length claims before the bytes are there.

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"path/filepath"
	"slices"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	magic    = 0x6c727846 // "Fxrl"
	version  = 1          // a higher one is left alone
	headLen  = 16
	maxFrame = 256 << 20 // bytes
	sector   = 512       // what a disk writes whole
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	decoding   = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
		if err != nil {
			panic(err) // the options above are constants
		}
		return m
	}()
)

// opening is the first frame of each file. Version keeps its place in all versions.
type opening struct {
	Version int      `cbor:"1,keyasint"`
	Cluster string   `cbor:"2,keyasint"`
	ID      uint64   `cbor:"3,keyasint"`
	Voters  []uint64 `cbor:"4,keyasint"`
	Head    int      `cbor:"5,keyasint"` // frames that were there when the file got its name
}

// record is what one Save keeps.
type record struct {
	Hard    *pb.HardState
	Entries []*pb.Entry
	Snap    *pb.Snapshot
}

type diskRecord struct {
	Hard    []byte   `cbor:"1,keyasint,omitempty"`
	Entries [][]byte `cbor:"2,keyasint,omitempty"`
	Snap    []byte   `cbor:"3,keyasint,omitempty"`
}

func appendOpening(b []byte, o opening) ([]byte, uint32, error) {
	body, err := cbor.Marshal(o)
	if err != nil {
		return b, 0, err
	}
	b, chain := appendFrame(b, 0, body)
	return b, chain, nil
}

func appendRecord(b []byte, chain uint32, r record) ([]byte, uint32, error) {
	var d diskRecord
	var err error
	if r.Hard != nil {
		d.Hard, err = proto.Marshal(r.Hard)
	}
	if r.Snap != nil && err == nil {
		d.Snap, err = proto.Marshal(r.Snap)
	}
	for i := 0; err == nil && i < len(r.Entries); i++ {
		var e []byte
		e, err = proto.Marshal(r.Entries[i])
		d.Entries = append(d.Entries, e)
	}
	if err != nil {
		return b, chain, err
	}
	body, err := cbor.Marshal(d)
	if err == nil && len(body) > maxFrame {
		err = fmt.Errorf("a frame of %d bytes, %d at most", len(body), maxFrame)
	}
	if err != nil {
		return b, chain, err
	}
	b, chain = appendFrame(b, chain, body)
	return b, chain, nil
}

func appendFrame(b []byte, chain uint32, body []byte) ([]byte, uint32) {
	start := len(b)
	chain = crc32.Update(chain, castagnoli, body)
	b = binary.LittleEndian.AppendUint32(b, magic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, chain)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	return append(b, body...), chain
}

// head reads a frame's head; ok tells that it is one.
func head(b []byte) (length int, chain uint32, ok bool) {
	if len(b) < headLen || binary.LittleEndian.Uint32(b) != magic ||
		crc32.Checksum(b[:12], castagnoli) != binary.LittleEndian.Uint32(b[12:]) {
		return 0, 0, false
	}
	return int(binary.LittleEndian.Uint32(b[4:])), binary.LittleEndian.Uint32(b[8:]), true
}

// read takes a generation. cut are the bytes at its end that are torn.
func (l *Log) read(path string) (cut int, err error) {
	f, err := l.disk.Open(path)
	if err != nil {
		return 0, &IOError{"open", err}
	}
	defer f.Close()
	all, err := io.ReadAll(f)
	if err != nil {
		return 0, &IOError{"read", err}
	}
	at, chain, frames, wanted := 0, uint32(0), 0, 1
	for at < len(all) {
		length, sum, ok := head(all[at:])
		end := at + headLen + length
		if !ok || end > len(all) || crc32.Update(chain, castagnoli, all[at+headLen:end]) != sum {
			if frames < wanted || !torn(all[at:], at, ok) {
				return 0, &DamagedError{path, at}
			}
			return len(all) - at, nil
		}
		body := all[at+headLen : end]
		if frames == 0 {
			wanted, err = l.first(path, body)
		} else if err = l.next(body); err != nil {
			err = &DamagedError{path, at}
		}
		if err != nil {
			return 0, err
		}
		at, chain = end, sum
		frames++
	}
	if frames < wanted {
		return 0, &DamagedError{path, at}
	}
	return 0, nil
}

// torn tells a write that a crash cut off from damage to what was kept. A crash leaves the last frame short, or some sectors
// of it unwritten (zeros); whole frames behind it, or wrong bytes with nothing missing, are damage.
func torn(rest []byte, at int, headOK bool) bool {
	if !headOK {
		if i := bytes.Index(rest[min(1, len(rest)):], binary.LittleEndian.AppendUint32(nil, magic)); i >= 0 {
			if _, _, ok := head(rest[1+i:]); ok {
				return false
			}
		}
		return len(rest) < headLen || zeroSector(rest, at)
	}
	length, _, _ := head(rest)
	if end := headLen + length; end < len(rest) {
		return false
	} else if end > len(rest) {
		return true
	}
	return zeroSector(rest, at)
}

// zeroSector tells whether a sector of the disk, or what of one is in b, is zeros. b begins at byte at of the file.
func zeroSector(b []byte, at int) bool {
	for len(b) > 0 {
		n := min(len(b), sector-at%sector)
		if !slices.ContainsFunc(b[:n], func(c byte) bool { return c != 0 }) {
			return true
		}
		b, at = b[n:], at+n
	}
	return false
}

func (l *Log) first(path string, body []byte) (frames int, err error) {
	var o opening
	if err := decoding.Unmarshal(body, &o); err != nil || o.Version < 1 || o.Head < 1 {
		return 0, &DamagedError{path, 0}
	}
	if o.Version > version {
		return 0, &NewerVersionError{path, o.Version}
	}
	if o.Cluster != l.opts.Cluster || o.ID != l.opts.VoterID || !slices.Equal(o.Voters, l.opts.Voters) {
		there := Options{Cluster: o.Cluster, VoterID: o.ID, Voters: o.Voters}
		return 0, &MismatchError{File: filepath.Base(path), Configured: l.opts.who(), Stored: there.who()}
	}
	return o.Head + 1, nil
}

func (l *Log) next(body []byte) error {
	var d diskRecord
	if err := decoding.Unmarshal(body, &d); err != nil {
		return err
	}
	var r record
	if d.Hard != nil {
		r.Hard = &pb.HardState{}
		if err := proto.Unmarshal(d.Hard, r.Hard); err != nil {
			return err
		}
	}
	if d.Snap != nil {
		r.Snap = &pb.Snapshot{}
		if err := proto.Unmarshal(d.Snap, r.Snap); err != nil {
			return err
		}
	}
	for _, b := range d.Entries {
		e := &pb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil {
			return err
		}
		r.Entries = append(r.Entries, e)
	}
	return l.take(r)
}
