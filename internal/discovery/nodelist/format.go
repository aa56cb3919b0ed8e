package nodelist

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"flaxfront/internal/decision/cachedlist"
)

// The content of frames. Keys are numbers; they must not change, as stored files contain them.
const (
	fileMagic     = "flaxfront node list\n"
	formatVersion = 1 // a file with a higher version is set aside

	maxNameBytes = 256 // of a node or a zone
	maxCell      = 1 << 20

	maxArrayElements = 1 << 20
	maxMapPairs      = 64
	maxNestedLevels  = 8
)

var (
	encoding = mustMode(cbor.EncOptions{}.EncMode())
	decoding = mustMode(cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs,
		MaxNestedLevels: maxNestedLevels}.DecMode())
)

func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// fileHeader is the first frame of each file. Version and Deployment must keep their keys in all versions.
type fileHeader struct {
	Version    int        `cbor:"1,keyasint"`
	Deployment string     `cbor:"2,keyasint"`
	Head       storedHead `cbor:"3,keyasint"` // set in a snapshot
	Entries    int        `cbor:"4,keyasint"` // number of entries, in a snapshot
}

// storedHead is the stored form of cachedlist.Head, without the deployment, which is in the file's header.
type storedHead struct {
	Service    string               `cbor:"1,keyasint"`
	Generation uint64               `cbor:"2,keyasint"`
	Confirmed  cachedlist.Timestamp `cbor:"3,keyasint"`
}

func storeHead(h cachedlist.Head) storedHead {
	return storedHead{Service: h.Service, Generation: h.Generation, Confirmed: h.ConfirmedAt}
}

func (h storedHead) decode(deployment string) cachedlist.Head {
	return cachedlist.Head{Service: h.Service, Deployment: deployment, Generation: h.Generation, ConfirmedAt: h.Confirmed}
}

// storedEntry is the stored form of cachedlist.Entry.
type storedEntry struct {
	Name        string               `cbor:"1,keyasint"`
	Address     netip.AddrPort       `cbor:"2,keyasint"`
	Zone        string               `cbor:"3,keyasint"`
	Cell        int                  `cbor:"4,keyasint"`
	State       cachedlist.State     `cbor:"5,keyasint,omitempty"`
	Started     cachedlist.Timestamp `cbor:"6,keyasint,omitempty"`
	Confirmed   cachedlist.Timestamp `cbor:"7,keyasint,omitempty"`
	ConfirmedBy cachedlist.Source    `cbor:"8,keyasint,omitempty"`
	StateSince  cachedlist.Timestamp `cbor:"9,keyasint,omitempty"`
	Generation  uint64               `cbor:"10,keyasint,omitempty"`
}

func storeEntry(e *cachedlist.Entry) storedEntry {
	return storedEntry{Name: e.Name, Address: e.Address, Zone: e.Zone, Cell: e.Cell, State: e.State, Started: e.StartedAt,
		Confirmed: e.ConfirmedAt, ConfirmedBy: e.ConfirmedBy, StateSince: e.StateSince, Generation: e.Generation}
}

func (e *storedEntry) decode() cachedlist.Entry {
	return cachedlist.Entry{Name: e.Name, Address: e.Address, Zone: e.Zone, Cell: e.Cell, State: e.State, StartedAt: e.Started,
		ConfirmedAt: e.Confirmed, ConfirmedBy: e.ConfirmedBy, StateSince: e.StateSince, Generation: e.Generation}
}

// validate rejects values that no broker writes.
func (e *storedEntry) validate() error {
	switch {
	case e.Name == "", len(e.Name) > maxNameBytes, len(e.Zone) > maxNameBytes:
	case e.Cell < 0, e.Cell > maxCell:
	case e.State > cachedlist.Ended, e.ConfirmedBy > cachedlist.SourceOperator:
	case e.Confirmed < 0, e.Started < 0, e.StateSince < 0:
	default:
		return nil
	}
	return fmt.Errorf("%w: entry %.40q", errDamaged, e.Name)
}

// storedChange is one frame of a journal.
type storedChange struct {
	Head    storedHead    `cbor:"1,keyasint"`
	Put     []storedEntry `cbor:"2,keyasint,omitempty"`
	Removed []string      `cbor:"3,keyasint,omitempty"`
}

// storedRequest is the one frame of an operator's request.
type storedRequest struct {
	Import []storedEntry `cbor:"1,keyasint,omitempty"`
	Forget []string      `cbor:"2,keyasint,omitempty"`
}
