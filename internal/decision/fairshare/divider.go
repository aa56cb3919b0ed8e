package fairshare

// noiseDivisor is how much less than it has a broker may need without losing it: an eighth, and one unit at the least. Measured
// demand fluctuates; without this, units would go to and fro between two brokers, each move closing connections that are opened
// again. A tenant may be short while others keep up to that much unused.
const noiseDivisor = 8

// steadyDemand is a broker's demand, with the previous division's units kept where the difference is noise.
func steadyDemand(demand, previous int32) int32 {
	if demand > 0 && previous > demand && previous-demand <= max(1, demand/noiseDivisor) {
		return previous
	}
	return demand
}

// Divider keeps the memory that a division works with for the next one.
type Divider struct {
	demand     []int // by node and tenant, like those below
	previous   []int
	share      []int
	guaranteed []int
	greatest   []int // demand of a broker
	counts     []int32
	solver     maxMinSolver
}

// Divide divides all budgets into a table of the demand's size, whatever it held.
func (d *Divider) Divide(in Input, out *Table) {
	nodes := in.Demand.Nodes
	tenants := in.Demand.Tenants
	d.resize(nodes * tenants)
	for n := range nodes {
		for t := range tenants {
			d.sumDemand(&in, n, t, out.Row(n, t))
		}
		d.divideNode(&in.Nodes[n], n*tenants, tenants)
	}
	if in.Pool != nil {
		d.dividePool(in.Pool, nodes, tenants)
	}
	for n := range nodes {
		for t := range tenants {
			index := n*tenants + t
			if d.demand[index] <= d.share[index] {
				continue
			}
			var previous []int32
			if in.Previous != nil {
				previous = in.Previous.Row(n, t)
			}
			d.divideAmongBrokers(index, n+t, previous, out.Row(n, t))
		}
	}
}

func (d *Divider) resize(n int) {
	for _, s := range []*[]int{&d.demand, &d.previous, &d.share, &d.guaranteed, &d.greatest} {
		resizeInts(s, n)
	}
}

func resizeInts(s *[]int, n int) {
	if cap(*s) < n {
		*s = make([]int, n)
	}
	*s = (*s)[:n]
}

// sumDemand adds up a tenant's demand and previous units at a node, and leaves each broker's demand in its row.
func (d *Divider) sumDemand(in *Input, node, tenant int, out []int32) {
	row := in.Demand.Row(node, tenant)
	previousSum := 0
	if in.Previous == nil {
		copy(out, row)
	} else {
		for b, previous := range in.Previous.Row(node, tenant) {
			out[b] = steadyDemand(row[b], previous)
			previousSum += int(previous)
		}
	}
	sum := 0
	greatest := int32(0)
	for _, u := range out {
		sum += int(u)
		greatest = max(greatest, u)
	}
	index := node*in.Demand.Tenants + tenant
	d.demand[index] = sum
	d.previous[index] = previousSum
	d.greatest[index] = int(greatest)
}

// divideNode divides a node's units among tenants, whose cells begin at first: the guarantees, then what lies above them up to max,
// then what nobody else needs, up to burst.
func (d *Divider) divideNode(budget *Budget, first, tenants int) {
	s := &d.solver
	s.resize(tenants)
	for t := range tenants {
		a := &budget.Allowances[t]
		demand := d.demand[first+t]
		d.guaranteed[first+t] = min(demand, a.Guarantee)
		s.low[t] = d.guaranteed[first+t]
		s.high[t] = min(demand, max(a.Max, a.Guarantee))
		s.weight[t] = a.Weight
		s.previous[t] = d.previous[first+t]
	}
	left := budget.Units - s.solve(budget.Units, d.share[first:first+tenants])
	if left > 0 {
		d.divideBurst(budget, first, tenants, left)
	}
}

// divideBurst divides what is left of a node's units among tenants that have more demand.
func (d *Divider) divideBurst(budget *Budget, first, tenants, left int) {
	s := &d.solver
	for t := range tenants {
		a := &budget.Allowances[t]
		share := d.share[first+t]
		s.low[t] = 0
		s.high[t] = max(0, min(d.demand[first+t], a.Max+a.Burst)-share)
		s.weight[t] = max(1, a.Weight)
		s.previous[t] = max(0, d.previous[first+t]-share)
	}
	s.solve(left, s.result[:tenants])
	for t := range tenants {
		d.share[first+t] += s.result[t]
	}
}
