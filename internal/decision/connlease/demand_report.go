package connlease

import (
	"encoding/binary"
	"errors"

	"flaxfront/internal/decision"
)

const (
	maxReportRows     = 6000    // in a report; of more rows only those with the smallest keys are sent
	maxReportedDemand = 1 << 20 // connections, or tenant index, in a row: a corrupt report must not fill the leader's memory
	minRowBytes       = 8       // node, tenant index and number of connections
	nodeBytes         = 6       // address and port
)

// ErrMalformedDemand reports a demand report that EncodeDemand can't have written. The leader continues without that broker's demand.
var ErrMalformedDemand = errors.New("connection leases: malformed demand report")

// EncodeDemand encodes counts as a demand report. Their tenant indexes refer to the policy of the given version.
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

// DecodeDemand decodes a report that EncodeDemand wrote; the error is ErrMalformedDemand.
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
