package fairshare

// noiseDivisor sets how far a broker's demand may fall below its units without loss of units: by an eighth of the demand, but at least by
// one unit. Measured demand fluctuates; without this margin units would move back and forth between brokers, and each move closes
// connections that are opened again. The price is that a tenant may lack units while others keep up to that many unused.
const noiseDivisor = 8

// steadyDemand returns a broker's demand, or its units in the previous division if the demand is lower only by noise.
func steadyDemand(demand, previous int32) int32 {
	if demand > 0 && previous > demand && previous-demand <= max(1, demand/noiseDivisor) {
		return previous
	}
	return demand
}

// Divider divides budgets. It reuses its buffers from one division to the next.
type Divider struct {
	demand     []int // of all brokers, by node and tenant, like the next four
	previous   []int // units in the previous division
	share      []int
	guaranteed []int
	greatest   []int   // greatest demand of any broker
	counts     []int32 // buffer of evenLevel
	solver     maxMinSolver
}

// Divide divides all budgets and writes the result to out, a table of the same size as the demand, whose old content is ignored.
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

// sumDemand sums a tenant's demand and previous units at a node over the brokers, and writes each broker's demand to out.
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

// divideNode divides a node's units among tenants: first the guarantees, then by weight up to Max, then the units that are left, by weight
// up to Burst more. first is the index of the node's first tenant.
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

// divideBurst divides the remaining units of a node among tenants with more demand.
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
