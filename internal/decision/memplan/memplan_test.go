package memplan

import "testing"

const mib = 1 << 20

// The sum of all that a plan gives out fits the limit, for all limits and descriptors that the platform's pages name, and with code that takes
// more than the limit.
func TestPlanFitsTheLimit(t *testing.T) {
	for _, limit := range []int64{16 * mib, 32 * mib, 48 * mib, 64 * mib, 128 * mib, 192 * mib, 2048 * mib} {
		for _, code := range []int64{0, 8 * mib, 18 * mib, 40 * mib} {
			for _, descriptors := range []Connections{{20, 10}, {155, 77}, {667, 333}, {2700, 1350}} {
				p := New(limit, code, descriptors)
				answers := p.Answers
				p.ReserveRemoteResults()
				if p.Answers+p.RemoteResults != answers || p.RemoteResults <= 0 {
					t.Errorf("of %d bytes for answers %d are for remote results, and %d are left", answers, p.RemoteResults, p.Answers)
				}
				fixed := int64(p.Connections.Clients)*bytesPerClient + int64(p.Connections.Nodes)*bytesPerNode
				sum := fixed + int64(p.Connections.Clients*p.Guaranteed) + p.Requests + p.Answers + p.RemoteResults + 2*p.ResultSets
				if sum > p.Runtime || p.Runtime > limit || code < limit/2 && p.Runtime+code > limit {
					t.Errorf("limit %d, code %d, descriptors %+v: plan %+v gives out %d", limit, code, descriptors, p, sum)
				}
				if p.Connections.Clients > descriptors.Clients || p.Connections.Nodes > descriptors.Nodes ||
					p.Connections.Clients < 1 || p.Connections.Nodes < 1 {
					t.Errorf("limit %d, code %d, descriptors %+v: connections %+v", limit, code, descriptors, p.Connections)
				}
			}
		}
	}
}

// With the least memory and the most descriptors that the platform's pages name, there are connections for all usual clients, which hold a third
// of the descriptors at most, and memory for requests and answers of the largest size.
func TestLeastMemoryServesUsualClients(t *testing.T) {
	const (
		descriptors = 1024
		largest     = 64 << 10 // bytes of a body or frame
	)
	p := New(32*mib, 18*mib, Connections{667, 333})
	p.ReserveRemoteResults()
	if p.Connections.Clients < descriptors/3 || p.Connections.Nodes < 100 || p.Requests < 8*largest || p.Answers < 8*largest {
		t.Errorf("plan %+v", p)
	}
}
