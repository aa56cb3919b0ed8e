package statemachine

import (
	"cmp"
	"slices"
)

// maxConnections is the maximum number of connections in a lease row or a budget.
const maxConnections = 1 << 32

// CompareLeaseRows orders the rows of a grant by node, then tenant.
func CompareLeaseRows(a, b LeaseRow) int {
	return cmp.Or(CompareNodes(a.Node, b.Node), cmp.Compare(a.Tenant, b.Tenant))
}

// checkLeaseRows rejects rows that are out of order, repeat a node and tenant, or have an invalid number of connections.
func checkLeaseRows(l []LeaseRow) error {
	for i, r := range l {
		if r.Connections == 0 || r.Connections > maxConnections || i > 0 && CompareLeaseRows(l[i-1], r) >= 0 {
			return reject(ReasonInvalid, "row %d: node %v, tenant %s, %d units", i, r.Node, r.Tenant, r.Connections)
		}
	}
	return nil
}

// maxOfLeaseRows merges two sorted lists of rows. For a node and tenant that are in both, it takes the greater number of connections.
func maxOfLeaseRows(a, b []LeaseRow) (all []LeaseRow) {
	if len(a) == 0 || len(b) == 0 {
		return slices.Concat(a, b)
	}
	for len(a) > 0 && len(b) > 0 {
		switch CompareLeaseRows(a[0], b[0]) {
		case -1:
			all = append(all, a[0])
			a = a[1:]
		case 1:
			all = append(all, b[0])
			b = b[1:]
		default:
			row := a[0]
			row.Connections = max(row.Connections, b[0].Connections)
			all = append(all, row)
			a = a[1:]
			b = b[1:]
		}
	}
	all = append(all, a...)
	return append(all, b...)
}

// nodeChange holds the number of connections to a node in two lists of rows: before and after a change.
type nodeChange struct {
	node   NodeID
	before uint64
	after  uint64
}

// forEachNode calls f for every node of two sorted lists of rows, in order, until f returns an error.
func forEachNode(before, after []LeaseRow, f func(nodeChange) error) error {
	for len(before) > 0 || len(after) > 0 {
		var change nodeChange
		if len(after) == 0 || len(before) > 0 && CompareNodes(before[0].Node, after[0].Node) <= 0 {
			change.node = before[0].Node
		} else {
			change.node = after[0].Node
		}
		change.before, before = splitFirstNode(before, change.node)
		change.after, after = splitFirstNode(after, change.node)
		if err := f(change); err != nil {
			return err
		}
	}
	return nil
}

// splitFirstNode returns the sum of a node's connections in the leading rows, and the rows after them.
func splitFirstNode(rows []LeaseRow, node NodeID) (sum uint64, rest []LeaseRow) {
	for len(rows) > 0 && rows[0].Node == node {
		sum += rows[0].Connections
		rows = rows[1:]
	}
	return sum, rows
}
