package statemachine

import "slices"

// check goes through rows of a grant: they must be in order and name each node and tenant once.
func check(l []LeaseRow) error {
	for i, r := range l {
		if r.Connections == 0 || r.Connections > mostUnits || i > 0 && CompareLeaseRows(l[i-1], r) >= 0 {
			return refuse(ReasonInvalid, "row %d: node %v, tenant %s, %d units", i, r.Node, r.Tenant, r.Connections)
		}
	}
	return nil
}

// greater is row by row the greater of two.
func greater(a, b []LeaseRow) (all []LeaseRow) {
	if len(a) == 0 || len(b) == 0 {
		return slices.Concat(a, b)
	}
	for len(a) > 0 || len(b) > 0 {
		order := -1
		if len(a) == 0 {
			order = 1
		} else if len(b) > 0 {
			order = CompareLeaseRows(a[0], b[0])
		}
		switch order {
		case -1:
			all, a = append(all, a[0]), a[1:]
		case 1:
			all, b = append(all, b[0]), b[1:]
		default:
			x := a[0]
			x.Connections = max(x.Connections, b[0].Connections)
			all, a, b = append(all, x), a[1:], b[1:]
		}
	}
	return all
}

// each calls f with every node of two lists of rows and the sums of its units in both.
func each(a, b []LeaseRow, f func(id NodeID, a, b uint64) error) error {
	for len(a) > 0 || len(b) > 0 {
		var id NodeID
		if len(b) == 0 || len(a) > 0 && CompareNodes(a[0].Node, b[0].Node) <= 0 {
			id = a[0].Node
		} else {
			id = b[0].Node
		}
		var x, y uint64
		for ; len(a) > 0 && a[0].Node == id; a = a[1:] {
			x += a[0].Connections
		}
		for ; len(b) > 0 && b[0].Node == id; b = b[1:] {
			y += b[0].Connections
		}
		if err := f(id, x, y); err != nil {
			return err
		}
	}
	return nil
}
