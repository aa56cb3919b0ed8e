// Package fairshare shares the connections of every node out: a node's budget between tenants, by guarantee, weight, most and
// burst, a pool's budget over all nodes between the same tenants, and what a tenant has at a node between brokers, by need.
// It owns the arithmetic: weighted max-min fairness in whole units, the same for the same input, that moves no unit without
// cause. It must never share out more than a budget, know what a unit is, or take one from a broker: that is units'.
//
// Depends on no package of this module. Concurrency: nothing here locks or starts a goroutine; a value is
// used by one goroutine at a time.
package fairshare

// Allowance is what a policy allows one tenant of a budget.
type Allowance struct {
	Guarantee int // units that it gets before anybody gets more, as far as it needs them
	Weight    int // its part of what lies above the guarantees
	Max       int // units that it gets while others could use them
	Burst     int // further units that it gets of what nobody else needs
}

// Budget is what there is to share out at a node, or over all of them, without the brokers' floors.
type Budget struct {
	Units      int
	Allowances []Allowance // by tenant
}

// Table holds units by node, tenant and broker.
type Table struct {
	Nodes, Tenants, Brokers int
	cells                   []int32
}

// NewTable makes a table of zeros.
func NewTable(nodes, tenants, brokers int) *Table {
	return &Table{nodes, tenants, brokers, make([]int32, nodes*tenants*brokers)}
}

// Clear makes all of it zero.
func (t *Table) Clear() { clear(t.cells) }

// Row is what a tenant has at a node, by broker.
func (t *Table) Row(node, tenant int) []int32 {
	at := (node*t.Tenants + tenant) * t.Brokers
	return t.cells[at : at+t.Brokers : at+t.Brokers]
}

// At is one cell.
func (t *Table) At(node, tenant, broker int) int { return int(t.Row(node, tenant)[broker]) }

// Set gives a cell its value.
func (t *Table) Set(node, tenant, broker, units int) { t.Row(node, tenant)[broker] = int32(units) }

// Input is what a division starts from.
type Input struct {
	Nodes    []Budget
	Pool     *Budget // over all nodes; nil: the nodes' budgets alone bound
	Demand   *Table  // units that each broker could use above its floor
	Previous *Table  // the division before; nil: there was none
}

// slack is how much less than it has a broker may need without losing it: an eighth, and one unit at the least. Danger: a need
// that was measured shakes, and units would go to and fro between two brokers, each move closing connections that are
// opened again. It hurts where a tenant is short while others keep up to that much unused.
const slack = 8

// steady is a need with the last division's units kept where the difference is noise.
func steady(need, last int32) int32 {
	if need > 0 && last > need && last-need <= max(1, need/slack) {
		return last
	}
	return need
}

// Divider keeps what a division works with between two of them.
type Divider struct {
	need, had, share, low []int // by node and tenant
	most                  []int // the greatest need of a broker
	counts                []int32
	fill                  filler
}

// Divide shares all budgets out into a table of the need's size, whatever it held.
func (d *Divider) Divide(in Input, out *Table) {
	nodes, tenants := in.Demand.Nodes, in.Demand.Tenants
	d.size(nodes * tenants)
	for n := range nodes {
		for t := range tenants {
			d.sum(&in, n, t, out.Row(n, t))
		}
		d.node(&in.Nodes[n], n*tenants, tenants)
	}
	if in.Pool != nil {
		d.pool(in.Pool, nodes, tenants)
	}
	for n := range nodes {
		for t := range tenants {
			if at := n*tenants + t; d.need[at] > d.share[at] {
				var last []int32
				if in.Previous != nil {
					last = in.Previous.Row(n, t)
				}
				d.brokers(d.share[at], d.most[at], n+t, last, out.Row(n, t))
			}
		}
	}
}

func (d *Divider) size(n int) {
	for _, s := range []*[]int{&d.need, &d.had, &d.share, &d.low, &d.most} {
		if cap(*s) < n {
			*s = make([]int, n)
		}
		*s = (*s)[:n]
	}
}

// sum adds up what a tenant needs and had at a node, and leaves what each broker needs in its row.
func (d *Divider) sum(in *Input, n, t int, out []int32) {
	need, had, most := 0, 0, int32(0)
	row := in.Demand.Row(n, t)
	if in.Previous == nil {
		copy(out, row)
	} else {
		for b, last := range in.Previous.Row(n, t) {
			out[b] = steady(row[b], last)
			had += int(last)
		}
	}
	for _, u := range out {
		need += int(u)
		most = max(most, u)
	}
	at := n*in.Demand.Tenants + t
	d.need[at], d.had[at], d.most[at] = need, had, int(most)
}

// node shares a node's units out between tenants, in three steps: the guarantees, what lies above them up to most, and what
// nobody else needs.
func (d *Divider) node(b *Budget, at, tenants int) {
	f := &d.fill
	f.size(tenants)
	left := b.Units
	for t := range tenants {
		a, need := &b.Allowances[t], d.need[at+t]
		d.low[at+t] = min(need, a.Guarantee)
		f.low[t], f.high[t], f.weight[t], f.last[t] = d.low[at+t], min(need, max(a.Max, a.Guarantee)), a.Weight, d.had[at+t]
	}
	left -= f.run(b.Units, d.share[at:at+tenants])
	if left == 0 {
		return
	}
	for t := range tenants {
		a, has := &b.Allowances[t], d.share[at+t]
		f.low[t], f.high[t] = 0, max(0, min(d.need[at+t], a.Max+a.Burst)-has)
		f.weight[t], f.last[t] = max(1, a.Weight), max(0, d.had[at+t]-has)
	}
	f.run(left, f.more[:tenants])
	for t := range tenants {
		d.share[at+t] += f.more[t]
	}
}

// pool brings the nodes' sum down to the pool's budget: first between tenants, by the pool's amounts, then each tenant's part
// between nodes. What a node guarantees stays.
func (d *Divider) pool(b *Budget, nodes, tenants int) {
	sum := 0
	for _, units := range d.share {
		sum += units
	}
	if sum <= b.Units {
		return
	}
	low, high, had := make([]int, tenants), make([]int, tenants), make([]int, tenants)
	for at, units := range d.share {
		low[at%tenants] += min(d.low[at], units)
		high[at%tenants] += units
		had[at%tenants] += d.had[at]
	}
	f, part := &d.fill, make([]int, tenants)
	f.size(tenants)
	for t := range tenants {
		a := b.Allowances[t]
		f.low[t] = min(high[t], max(low[t], a.Guarantee))
		f.high[t], f.weight[t], f.last[t] = min(high[t], max(f.low[t], a.Max)), a.Weight, had[t]
	}
	f.run(b.Units, part)
	f.size(nodes)
	for t := range tenants {
		for n := range nodes {
			at := n*tenants + t
			f.low[n], f.high[n], f.weight[n], f.last[n] = min(d.low[at], d.share[at]), d.share[at], 1, d.had[at]
		}
		f.run(part[t], f.more[:nodes])
		for n := range nodes {
			d.share[n*tenants+t] = f.more[n]
		}
	}
}

// brokers shares one tenant's units at a node out by the needs in its row: all get the same as far as they need it. What does not come out even
// goes to those that had it, and else from a place on that differs from row to row, so that it is not always the same broker's.
func (d *Divider) brokers(units, most, turn int, last, out []int32) {
	level, odd := d.level(units, most, out)
	turn %= len(out)
	for _, kept := range []bool{true, false} {
		for i := 0; i < len(out) && odd > 0; i++ {
			b := i + turn
			if b >= len(out) {
				b -= len(out)
			}
			if out[b] > level && (last != nil && last[b] > level) == kept {
				out[b], odd = -level-1, odd-1 // marked, so that it counts once
			}
		}
	}
	for b, u := range out {
		if u < 0 {
			out[b] = -u
		} else {
			out[b] = min(u, level)
		}
	}
}

// level is the most that all can get alike, and what is left over then, which is less than there are brokers that need more.
func (d *Divider) level(units, most int, needs []int32) (int32, int) {
	most = min(most, units)
	if cap(d.counts) < most+2 {
		d.counts = make([]int32, most+2)
	}
	counts := d.counts[:most+1]
	clear(counts)
	for _, u := range needs {
		counts[min(int(u), most)]++
	}
	above, left := len(needs)-int(counts[0]), units
	for level := range most {
		if left < above {
			return int32(level), left
		}
		left -= above
		above -= int(counts[level+1])
	}
	return int32(most), left
}
