package raftlog

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"slices"
)

// A frame is a header of 16 bytes followed by a body. The header has, in little-endian order:
//
//	bytes 0-3    magic number
//	bytes 4-7    length of the body
//	bytes 8-11   CRC-32C (RFC 3720) of the bodies of all frames of the file up to and including this one
//	bytes 12-15  CRC-32C of bytes 0-11
//
// Since each checksum continues the previous one, a frame that is missing, duplicated or from another file is detected.
const (
	frameMagic       = 0x6c727846 // "Fxrl"
	frameHeaderBytes = 16
	maxFrameBytes    = 256 << 20 // limit of the body, checked when a frame is written
	sectorBytes      = 512       // unit that a disk writes completely or not at all
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type frameHeader struct {
	bodyBytes int
	checksum  uint32
}

// appendFrame appends a frame and returns its checksum.
func appendFrame(b []byte, previousChecksum uint32, body []byte) ([]byte, uint32) {
	start := len(b)
	checksum := crc32.Update(previousChecksum, castagnoli, body)
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, checksum)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	return append(b, body...), checksum
}

// decodeFrameHeader decodes the frame header at the start of b; ok reports whether there is a valid one.
func decodeFrameHeader(b []byte) (h frameHeader, ok bool) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return h, false
	}
	if crc32.Checksum(b[:12], castagnoli) != binary.LittleEndian.Uint32(b[12:]) {
		return h, false
	}
	h.bodyBytes = int(binary.LittleEndian.Uint32(b[4:]))
	h.checksum = binary.LittleEndian.Uint32(b[8:])
	return h, true
}

// frameReader reads the frames of a file in order.
type frameReader struct {
	data     []byte
	offset   int    // of the next frame
	checksum uint32 // of the previous frame
	frames   int    // read so far
}

func (r *frameReader) atEnd() bool { return r.offset == len(r.data) }

// next returns the body of the next frame. After an error the reader's position is unchanged.
func (r *frameReader) next() ([]byte, error) {
	rest := r.data[r.offset:]
	header, ok := decodeFrameHeader(rest)
	if !ok {
		return nil, errFrameHeader
	}
	end := frameHeaderBytes + header.bodyBytes
	if end > len(rest) {
		return nil, errFrameShort
	}
	body := rest[frameHeaderBytes:end]
	if crc32.Update(r.checksum, castagnoli, body) != header.checksum {
		return nil, errChecksum
	}
	r.offset += end
	r.checksum = header.checksum
	r.frames++
	return body, nil
}

// atTornTail reports whether the unreadable rest of the file is a last write that a crash interrupted: the frame is truncated, or some of
// its sectors are unwritten (zeros). Further frames after it, or wrong bytes in a complete frame, mean damage to synced data.
func (r *frameReader) atTornTail() bool {
	rest := r.data[r.offset:]
	header, ok := decodeFrameHeader(rest)
	if !ok {
		return !frameFollows(rest) && (len(rest) < frameHeaderBytes || hasZeroSector(rest, r.offset))
	}
	end := frameHeaderBytes + header.bodyBytes
	switch {
	case end < len(rest):
		return false
	case end > len(rest):
		return true
	}
	return hasZeroSector(rest, r.offset)
}

// frameFollows reports whether the next magic number after the first byte of b begins a valid frame header.
func frameFollows(b []byte) bool {
	rest := b[min(1, len(b)):]
	at := bytes.Index(rest, binary.LittleEndian.AppendUint32(nil, frameMagic))
	if at < 0 {
		return false
	}
	_, ok := decodeFrameHeader(rest[at:])
	return ok
}

// hasZeroSector reports whether a disk sector, or the part of one that b contains, has only zeros. b begins at the given offset of the
// file.
func hasZeroSector(b []byte, offset int) bool {
	for len(b) > 0 {
		n := min(len(b), sectorBytes-offset%sectorBytes)
		if !slices.ContainsFunc(b[:n], func(c byte) bool { return c != 0 }) {
			return true
		}
		b = b[n:]
		offset += n
	}
	return false
}
