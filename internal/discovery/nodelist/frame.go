package nodelist

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A frame is the length of its body (4 bytes, little-endian), the body's CRC-32C (RFC 3720; 4 bytes) and the body in CBOR (RFC 8949).
const (
	frameHeaderBytes = 8
	maxFrameBytes    = 8 << 20 // of a body
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame with a value.
func appendFrame(b []byte, v any) ([]byte, error) {
	body, err := encoding.Marshal(v)
	if err != nil {
		return b, err
	}
	if len(body) > maxFrameBytes {
		return b, fmt.Errorf("%w: %d bytes, %d at most", errFrameTooLarge, len(body), maxFrameBytes)
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
	return append(b, body...), nil
}

// reader reads the frames of a file. It allocates memory only for bytes that are in the file, whatever length a frame claims.
type reader struct {
	in   *bufio.Reader
	body bytes.Buffer
}

// readFrame reads one frame into v. It returns io.EOF at the end of the file, errTorn if the file ends within the frame, and errDamaged for
// a frame that no broker wrote; other errors are those of reading the file.
func (r *reader) readFrame(v any) error {
	var header [frameHeaderBytes]byte
	if n, err := io.ReadFull(r.in, header[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return io.EOF
		}
		return tornAtEOF(err)
	}
	length := binary.LittleEndian.Uint32(header[:])
	checksum := binary.LittleEndian.Uint32(header[4:])
	if length > maxFrameBytes {
		return fmt.Errorf("%w: frame length %d bytes", errDamaged, length)
	}
	r.body.Reset()
	if _, err := io.CopyN(&r.body, r.in, int64(length)); err != nil {
		return tornAtEOF(err)
	}
	if crc32.Checksum(r.body.Bytes(), castagnoli) != checksum {
		return fmt.Errorf("%w: checksum mismatch", errDamaged)
	}
	if err := decoding.Unmarshal(r.body.Bytes(), v); err != nil {
		return fmt.Errorf("%w: %v", errDamaged, err) // not wrapped: the decoder returns io.EOF for an empty body, which is no end of file
	}
	return nil
}

// readRequiredFrame reads a frame that every whole file has: it is readFrame, but returns errTorn at the end of the file.
func (r *reader) readRequiredFrame(v any) error {
	err := r.readFrame(v)
	if errors.Is(err, io.EOF) {
		return errTorn
	}
	return err
}

// tornAtEOF returns errTorn for an end of file within a frame, and other errors unchanged.
func tornAtEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTorn
	}
	return err
}

// header reads the magic line and the header frame of a file. It rejects a file of a later version or of another deployment; with an empty
// deployment it accepts any.
func (r *reader) header(deployment string) (h fileHeader, err error) {
	magic := make([]byte, len(fileMagic))
	if _, err := io.ReadFull(r.in, magic); err != nil {
		return h, tornAtEOF(err)
	}
	if string(magic) != fileMagic {
		return h, fmt.Errorf("%w: does not begin as a node list", errDamaged)
	}
	if err := r.readRequiredFrame(&h); err != nil {
		return h, err
	}
	switch {
	case h.Version > formatVersion:
		return h, fmt.Errorf("%w: format %d, this version reads up to %d", errNewerVersion, h.Version, formatVersion)
	case h.Version < 1 || h.Entries < 0:
		return h, errDamaged
	case deployment != "" && h.Deployment != deployment:
		return h, fmt.Errorf("%w: %.40q, want %q", errOtherDeployment, h.Deployment, deployment)
	}
	return h, nil
}
