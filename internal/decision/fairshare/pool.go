package fairshare

// dividePool lowers the shares so that their sum is within the pool's budget. It divides the budget among tenants by the pool's allowances,
// then each tenant's share among nodes. Shares that are guaranteed at a node are kept.
func (d *Divider) dividePool(budget *Budget, nodes, tenants int) {
	sum := 0
	for _, units := range d.share {
		sum += units
	}
	if sum <= budget.Units {
		return
	}
	byTenant := d.dividePoolAmongTenants(budget, tenants)
	d.solver.resize(nodes)
	for t := range tenants {
		d.divideTenantAmongNodes(t, byTenant[t], nodes, tenants)
	}
}

// dividePoolAmongTenants returns each tenant's share of the pool's budget.
func (d *Divider) dividePoolAmongTenants(budget *Budget, tenants int) []int {
	guaranteed := make([]int, tenants)
	share := make([]int, tenants)
	previous := make([]int, tenants)
	for index, units := range d.share {
		t := index % tenants
		guaranteed[t] += min(d.guaranteed[index], units)
		share[t] += units
		previous[t] += d.previous[index]
	}
	s := &d.solver
	s.resize(tenants)
	for t := range tenants {
		a := &budget.Allowances[t]
		s.low[t] = min(share[t], max(guaranteed[t], a.Guarantee))
		s.high[t] = min(share[t], max(s.low[t], a.Max))
		s.weight[t] = a.Weight
		s.previous[t] = previous[t]
	}
	byTenant := make([]int, tenants)
	s.solve(budget.Units, byTenant)
	return byTenant
}

// divideTenantAmongNodes lowers a tenant's shares at the nodes so that their sum is units.
func (d *Divider) divideTenantAmongNodes(tenant, units, nodes, tenants int) {
	s := &d.solver
	for n := range nodes {
		index := n*tenants + tenant
		s.low[n] = min(d.guaranteed[index], d.share[index])
		s.high[n] = d.share[index]
		s.weight[n] = 1
		s.previous[n] = d.previous[index]
	}
	s.solve(units, s.result[:nodes])
	for n := range nodes {
		d.share[n*tenants+tenant] = s.result[n]
	}
}
