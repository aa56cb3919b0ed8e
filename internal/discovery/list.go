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

// Node is one entry of the list.
type Node struct {
	Name        string
	Address     netip.AddrPort
	Endpoint    decision.Endpoint
	Zone        string // as discovery names it
	StartedAtMS int64  // its last start in Unix time in milliseconds; 0: long ago
}

// List is a full list or an update.
type List struct {
	Version   uint64
	Full      bool
	Nodes     []Node
	Service   string // the address that sent it
	CellCount int    // in which its nodes lie, as it was read
}

// Reader reads lists in discovery's form.
type Reader struct {
	Zones     []string
	CellCount int
	StartedAt time.Time // endpoints' starts count from here
}

// document is a list in discovery's form.
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

// Decode reads one list; any entry that can't be read spoils it. Its errors are of type ListError.
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

// decodeInstance leaves the field of an error to the caller.
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

// ZoneNumber returns the number of a zone in the settings; all that they do not name have the number after those.
func (rd *Reader) ZoneNumber(name string) int {
	number := slices.Index(rd.Zones, name)
	if number < 0 {
		return len(rd.Zones)
	}
	return number
}

// IDOfName makes a node's id of its name. Addresses differ from one broker to the next, names do not, and gossip on nodes must mean the
// same to all brokers. Hexadecimal digits that end a name show in the id.
func IDOfName(name string) (id decision.NodeID) {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	sum := hash.Sum64()
	binary.BigEndian.PutUint32(id.Addr[:], uint32(sum>>32))
	id.Port = uint16(sum)
	if tail := len(name) - 2*len(id.Addr); tail >= 0 {
		if digits, err := hex.DecodeString(name[tail:]); err == nil {
			id.Addr = [4]byte(digits)
		}
	}
	return id
}
