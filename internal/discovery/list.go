package discovery

// This file owns the reading of a list in discovery's form. It must never let a list through that it could read only in part.

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Node is one line of the list.
type Node struct {
	Name        string
	Address     netip.AddrPort
	Endpoint    decision.Endpoint
	Zone        string // as discovery names it
	StartedAtMS int64  // its last start in Unix time in milliseconds; 0: long ago
}

// List is a whole list or the lines that changed.
type List struct {
	Version   uint64
	Full      bool
	Nodes     []Node
	Service   string // the address that told it
	CellCount int    // in which its nodes lie, as it was read
}

// Reader reads lists in discovery's form.
type Reader struct {
	Zones     []string
	CellCount int
	StartedAt time.Time // entries count from here
}

// Decode reads one list; any line that makes no sense spoils it.
func (rd *Reader) Decode(raw []byte) (*List, error) {
	var doc struct {
		Generation *uint64 `json:"generation"`
		Reset      bool    `json:"reset"`
		Instances  []struct {
			InstanceID string `json:"instanceId"`
			HostPort   string `json:"hostPort"`
			Zone       string `json:"zone"`
			Cell       int    `json:"cell"`
			Lifecycle  string `json:"lifecycle"`
			StartedAt  int64  `json:"startedAtMs"`
		} `json:"instances"`
	}
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, fmt.Errorf("node list: %w", err)
	}
	if doc.Generation == nil {
		return nil, errors.New("node list: generation: missing")
	}
	list := &List{Version: *doc.Generation, Full: doc.Reset, CellCount: rd.CellCount}
	for i, in := range doc.Instances {
		n := Node{Name: in.InstanceID, Zone: in.Zone, StartedAtMS: in.StartedAt}
		e := &n.Endpoint
		e.Node, e.Cell, e.Zone, e.StartedAt = IDOfName(in.InstanceID), in.Cell, rd.ZoneNumber(in.Zone), decision.StartedLongAgo
		if in.InstanceID == "" || in.Cell < 0 || in.Cell >= rd.CellCount {
			return nil, fmt.Errorf("node list: instances.%d: %q in cell %d of %d", i, in.InstanceID, in.Cell, rd.CellCount)
		}
		switch in.Lifecycle {
		case "in_service":
			e.State = decision.Ready
		case "terminating":
			e.State = decision.Draining
		case "terminated":
			e.State = decision.Removed
		default:
			return nil, fmt.Errorf("node list: instances.%d: lifecycle %.40q", i, in.Lifecycle)
		}
		var err error
		if n.Address, err = netip.ParseAddrPort(in.HostPort); err != nil && e.State != decision.Removed {
			return nil, fmt.Errorf("node list: instances.%d: hostPort %.60q", i, in.HostPort)
		}
		if in.StartedAt < 0 {
			return nil, fmt.Errorf("node list: instances.%d: startedAtMs %d", i, in.StartedAt)
		} else if in.StartedAt > 0 {
			e.StartedAt = time.UnixMilli(in.StartedAt).Sub(rd.StartedAt)
		}
		list.Nodes = append(list.Nodes, n)
	}
	return list, nil
}

// ZoneNumber numbers a zone by the settings; one that they do not name comes after those.
func (rd *Reader) ZoneNumber(name string) int {
	at := slices.Index(rd.Zones, name)
	if at < 0 {
		at = len(rd.Zones)
	}
	return at
}

// IDOfName makes a node's id of its name. Addresses differ from one broker to the next, names do not, and what brokers
// tell one another of nodes must mean the same to all. Hexadecimal digits that end a name show in the id.
func IDOfName(name string) (id decision.NodeID) {
	h := fnv.New64a()
	h.Write([]byte(name))
	sum := h.Sum64()
	binary.BigEndian.PutUint32(id.Addr[:], uint32(sum>>32))
	id.Port = uint16(sum)
	if n := len(name) - 2*len(id.Addr); n >= 0 {
		if tail, err := hex.DecodeString(name[n:]); err == nil {
			id.Addr = [4]byte(tail)
		}
	}
	return id
}
