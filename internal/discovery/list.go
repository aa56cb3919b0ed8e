package discovery

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Node is one entry of the endpoint list.
type Node struct {
	Name        string
	Address     netip.AddrPort
	Endpoint    decision.Endpoint
	Zone        string // discovery's name of the zone
	StartedAtMS int64  // when the node last started, Unix time in ms; 0: long ago
}

// List is a full endpoint list or an update to one.
type List struct {
	Version   uint64
	Full      bool // replaces the whole list; false: an update
	Nodes     []Node
	Service   string // the address that sent it
	CellCount int    // number of cells that it was decoded with
}

// Reader decodes lists in discovery's JSON format.
type Reader struct {
	Zones     []string
	CellCount int
	StartedAt time.Time // the broker's start: decision.Endpoint.StartedAt counts from it
}

// document is a list in discovery's JSON format.
type document struct {
	Generation *uint64    `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

type instance struct {
	InstanceID  string `json:"instanceId"`
	HostPort    string `json:"hostPort"`
	Zone        string `json:"zone"`
	Cell        int    `json:"cell"`
	Lifecycle   string `json:"lifecycle"`
	StartedAtMS int64  `json:"startedAtMs"`
}

// Decode decodes one list. An entry that can't be decoded makes it reject the whole list. Its errors are of type *ListError.
func (rd *Reader) Decode(raw []byte) (*List, error) {
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, &ListError{Err: err}
	}
	if doc.Generation == nil {
		return nil, &ListError{Field: "generation", Problem: "missing"}
	}
	list := &List{Version: *doc.Generation, Full: doc.Reset, CellCount: rd.CellCount}
	for i := range doc.Instances {
		node, err := rd.decodeInstance(&doc.Instances[i])
		if err != nil {
			err.Field = fmt.Sprintf("instances.%d", i)
			return nil, err
		}
		list.Nodes = append(list.Nodes, node)
	}
	return list, nil
}

// decodeInstance decodes one entry. The caller sets the field of an error.
func (rd *Reader) decodeInstance(in *instance) (Node, *ListError) {
	if in.InstanceID == "" || in.Cell < 0 || in.Cell >= rd.CellCount {
		return Node{}, &ListError{Problem: fmt.Sprintf("%q in cell %d of %d", in.InstanceID, in.Cell, rd.CellCount)}
	}
	state, known := stateOf(in.Lifecycle)
	if !known {
		return Node{}, &ListError{Problem: fmt.Sprintf("lifecycle %.40q", in.Lifecycle)}
	}
	address, err := netip.ParseAddrPort(in.HostPort)
	if err != nil && state != decision.Removed {
		return Node{}, &ListError{Problem: fmt.Sprintf("hostPort %.60q", in.HostPort)}
	}
	startedAt := decision.StartedLongAgo
	if in.StartedAtMS < 0 {
		return Node{}, &ListError{Problem: fmt.Sprintf("startedAtMs %d", in.StartedAtMS)}
	} else if in.StartedAtMS > 0 {
		startedAt = time.UnixMilli(in.StartedAtMS).Sub(rd.StartedAt)
	}
	return Node{
		Name:    in.InstanceID,
		Address: address,
		Endpoint: decision.Endpoint{
			Node:      IDOfName(in.InstanceID),
			Cell:      in.Cell,
			Zone:      rd.ZoneNumber(in.Zone),
			State:     state,
			StartedAt: startedAt,
		},
		Zone:        in.Zone,
		StartedAtMS: in.StartedAtMS,
	}, nil
}

func stateOf(lifecycle string) (state decision.EndpointState, known bool) {
	switch lifecycle {
	case "in_service":
		return decision.Ready, true
	case "terminating":
		return decision.Draining, true
	case "terminated":
		return decision.Removed, true
	}
	return 0, false
}

// ZoneNumber returns the index of a zone in Zones. All zones that are not in Zones share the number len(Zones).
func (rd *Reader) ZoneNumber(name string) int {
	number := slices.Index(rd.Zones, name)
	if number < 0 {
		return len(rd.Zones)
	}
	return number
}

// IDOfName derives a node's id from its name, as brokers may see a node at different addresses but its id must be the same for all of them
// in gossip. If a name ends in eight hexadecimal digits, they become the id's Addr, so that the id shows them in log lines.
func IDOfName(name string) (id decision.NodeID) {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	sum := hash.Sum64()
	binary.BigEndian.PutUint32(id.Addr[:], uint32(sum>>32))
	id.Port = uint16(sum)
	if suffixStart := len(name) - 2*len(id.Addr); suffixStart >= 0 {
		if digits, err := hex.DecodeString(name[suffixStart:]); err == nil {
			id.Addr = [4]byte(digits)
		}
	}
	return id
}
