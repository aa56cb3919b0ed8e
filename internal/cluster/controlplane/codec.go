package controlplane

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const lengthBytes = 4

var (
	encoding, _ = cbor.EncOptions{}.EncMode()
	decoding, _ = cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 8}.DecMode()
)

// encodeFrame encodes a frame. A body of type []byte is sent as it is, any other in CBOR.
func encodeFrame(kind byte, body any) []byte {
	buffer := bytes.NewBuffer(append(make([]byte, lengthBytes), kind))
	if raw, ok := body.([]byte); ok {
		buffer.Write(raw)
	} else if err := encoding.NewEncoder(buffer).Encode(body); err != nil {
		panic(err) // a frame type that CBOR cannot encode: a programming error
	}
	frame := buffer.Bytes()
	binary.LittleEndian.PutUint32(frame, uint32(len(frame)-lengthBytes))
	return frame
}

// readFrame reads one frame with a body of at most maxBytes. It allocates memory only as bytes arrive, not by the stated length.
func readFrame(r *bufio.Reader, maxBytes int) (kind byte, body []byte, err error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	length := int64(binary.LittleEndian.Uint32(header[:])) - 1
	if length < 0 || length > int64(maxBytes) {
		return 0, nil, &FrameError{Reason: fmt.Sprintf("body length %d is out of bounds", length)}
	}
	var buffer bytes.Buffer
	if _, err := io.CopyN(&buffer, r, length); err != nil {
		return 0, nil, err
	}
	return header[lengthBytes], buffer.Bytes(), nil
}

// decode decodes a frame's body from CBOR. Its error is a *FrameError.
func decode[T any](body []byte) (frame T, err error) {
	if err := decoding.Unmarshal(body, &frame); err != nil {
		return frame, &FrameError{Reason: "body cannot be decoded", Cause: err}
	}
	return frame, nil
}
