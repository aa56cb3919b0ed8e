package connlease

import (
	"encoding/binary"
	"errors"

	"flaxfront/internal/decision"
)

const (
	maxReportRows     = 6000    // in a report; of more rows those with the smallest keys
	maxReportedDemand = 1 << 20 // connections, or a tenant's number, in a row: a broken report must not fill the leader's memory
	minRowBytes       = 8       // a node, a tenant and a number
	nodeBytes         = 6       // address and port
)

// ErrMalformedDemand is a demand report that no broker writes. The leader goes on without that broker's demand.
var ErrMalformedDemand = errors.New("connection leases: malformed demand report")

// EncodeDemand writes counts for a report, under the version of the policy whose tenants they number.
func EncodeDemand(policyVersion uint64, counts []ConnectionCount) []byte {
	b := binary.AppendUvarint(nil, policyVersion)
	for _, c := range counts[:min(len(counts), maxReportRows)] {
		b = append(b, c.Node.Addr[:]...)
		b = binary.BigEndian.AppendUint16(b, c.Node.Port)
		b = binary.AppendUvarint(b, uint64(c.Tenant))
		b = binary.AppendUvarint(b, uint64(c.Connections))
	}
	return b
}

// DecodeDemand reads what EncodeDemand wrote; the error is ErrMalformedDemand.
func DecodeDemand(b []byte) (policyVersion uint64, counts []ConnectionCount, err error) {
	policyVersion, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, ErrMalformedDemand
	}
	b = b[n:]
	for len(b) > 0 {
		if len(b) < minRowBytes || len(counts) == maxReportRows {
			return 0, nil, ErrMalformedDemand
		}
		var c ConnectionCount
		c.Node = decision.NodeID{Addr: [4]byte(b), Port: binary.BigEndian.Uint16(b[4:])}
		b = b[nodeBytes:]
		for _, field := range []*int{&c.Tenant, &c.Connections} {
			v, n := binary.Uvarint(b)
			if n <= 0 || v > maxReportedDemand {
				return 0, nil, ErrMalformedDemand
			}
			*field = int(v)
			b = b[n:]
		}
		counts = append(counts, c)
	}
	return policyVersion, counts, nil
}
