package fairshare

// Table holds units by node, tenant and broker.
type Table struct {
	Nodes   int
	Tenants int
	Brokers int
	units   []int32
}

// NewTable returns a table of zeros.
func NewTable(nodes, tenants, brokers int) *Table {
	return &Table{Nodes: nodes, Tenants: tenants, Brokers: brokers, units: make([]int32, nodes*tenants*brokers)}
}

// Clear sets all units to zero.
func (t *Table) Clear() { clear(t.units) }

// Row returns a tenant's units at a node, by broker. The slice is part of the table, not a copy.
func (t *Table) Row(node, tenant int) []int32 {
	first := (node*t.Tenants + tenant) * t.Brokers
	end := first + t.Brokers
	return t.units[first:end:end]
}

// At returns a tenant's units at a node and broker.
func (t *Table) At(node, tenant, broker int) int { return int(t.Row(node, tenant)[broker]) }

// Set sets a tenant's units at a node and broker.
func (t *Table) Set(node, tenant, broker, units int) { t.Row(node, tenant)[broker] = int32(units) }
