package nodelist

// This file owns the form on disk. Every frame carries its length and a checksum (CRC-32C, RFC 3720), its content is CBOR
// (RFC 8949). It must never give room to what a length claims before the bytes are there, or hand on what it could not
// check.

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"flaxfront/internal/decision/cachedlist"
)

const (
	magic    = "flaxfront node list\n"
	version  = 1       // of the form; a higher one is left alone
	maxFrame = 8 << 20 // bytes
	batch    = 512     // entries of a snapshot's frame
	longest  = 256     // bytes of a name or a zone
	maxCell  = 1 << 20
)

var (
	errTorn    = errors.New("ends within a frame") // as a crash leaves it
	errDamaged = errors.New("damaged")
	errVersion = errors.New("written by a later version")
	errOther   = errors.New("belongs to another deployment")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	decoding   = mustMode(cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode())
	encoding   = mustMode(cbor.EncOptions{}.EncMode())
)

func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options above are constants
	}
	return mode
}

// opening is the first frame of each file. Its first two fields keep their meaning in all versions.
type opening struct {
	Version    int      `cbor:"1,keyasint"`
	Deployment string   `cbor:"2,keyasint"`
	Head       diskHead `cbor:"3,keyasint"`
	Entries    int      `cbor:"4,keyasint"` // of a snapshot
}

type diskHead struct {
	Service    string            `cbor:"1,keyasint"`
	Deployment string            `cbor:"-"`
	Generation uint64            `cbor:"2,keyasint"`
	Confirmed  cachedlist.Moment `cbor:"3,keyasint"`
}

// diskEntry has the fields of trust.Entry, in its order.
type diskEntry struct {
	Name       string            `cbor:"1,keyasint"`
	Addr       netip.AddrPort    `cbor:"2,keyasint"`
	Zone       string            `cbor:"3,keyasint"`
	Cell       int               `cbor:"4,keyasint"`
	State      cachedlist.State  `cbor:"5,keyasint,omitempty"`
	Started    cachedlist.Moment `cbor:"6,keyasint,omitempty"`
	Confirmed  cachedlist.Moment `cbor:"7,keyasint,omitempty"`
	By         cachedlist.By     `cbor:"8,keyasint,omitempty"`
	Told       cachedlist.Moment `cbor:"9,keyasint,omitempty"`
	Generation uint64            `cbor:"10,keyasint,omitempty"`
}

// change is one frame of a journal.
type change struct {
	Head    diskHead    `cbor:"1,keyasint"`
	Put     []diskEntry `cbor:"2,keyasint,omitempty"`
	Removed []string    `cbor:"3,keyasint,omitempty"`
}

// appendFrame encodes one frame.
func appendFrame(b []byte, v any) ([]byte, error) {
	body, err := encoding.Marshal(v)
	if err != nil {
		return b, err
	}
	if len(body) > maxFrame {
		return b, fmt.Errorf("a frame of %d bytes, %d at most", len(body), maxFrame)
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
	return append(b, body...), nil
}

// reader reads frames.
type reader struct {
	in   *bufio.Reader
	body bytes.Buffer
}

// next reads one frame into v; io.EOF tells that the file ends well.
func (r *reader) next(v any) error {
	var head [8]byte
	if n, err := io.ReadFull(r.in, head[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return io.EOF
		}
		return cut(err)
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n > maxFrame {
		return fmt.Errorf("%w: a frame of %d bytes", errDamaged, n)
	}
	r.body.Reset()
	if _, err := io.CopyN(&r.body, r.in, int64(n)); err != nil {
		return cut(err)
	}
	if crc32.Checksum(r.body.Bytes(), castagnoli) != binary.LittleEndian.Uint32(head[4:]) {
		return fmt.Errorf("%w: a checksum does not fit", errDamaged)
	}
	if err := decoding.Unmarshal(r.body.Bytes(), v); err != nil {
		return fmt.Errorf("%w: %v", errDamaged, err)
	}
	return nil
}

// cut names the end of a file within a frame; other faults of reading stay what they are.
func cut(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTorn
	}
	return err
}

// open reads what stands before the frames of content.
func (r *reader) open(deployment string) (o opening, err error) {
	words := make([]byte, len(magic))
	if _, err := io.ReadFull(r.in, words); err != nil {
		return o, cut(err)
	}
	if string(words) != magic {
		return o, fmt.Errorf("%w: it is no node list", errDamaged)
	}
	if err := r.next(&o); errors.Is(err, io.EOF) {
		return o, errTorn
	} else if err != nil {
		return o, err
	}
	switch {
	case o.Version > version:
		return o, fmt.Errorf("%w: %d, this one reads up to %d", errVersion, o.Version, version)
	case o.Version < 1 || o.Entries < 0:
		return o, errDamaged
	case deployment != "" && o.Deployment != deployment:
		return o, fmt.Errorf("%w: %.40q, not %q", errOther, o.Deployment, deployment)
	}
	return o, nil
}

// check refuses what no broker writes.
func (e *diskEntry) check() error {
	if e.Name == "" || len(e.Name) > longest || len(e.Zone) > longest || e.Cell < 0 || e.Cell > maxCell ||
		e.State > cachedlist.Ended || e.By > cachedlist.Imported || e.Confirmed < 0 || e.Started < 0 || e.Told < 0 {
		return fmt.Errorf("%w: entry %.40q", errDamaged, e.Name)
	}
	return nil
}
