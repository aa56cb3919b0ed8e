package connpolicy

import (
	"fmt"
	"slices"

	"cel.dev/cel-go/cel"

	"flaxfront/internal/config/form"
	"flaxfront/internal/decision/fairshare"
)

// compiler turns a file into a policy. Conditions on nodes only choose a class, and all amounts follow from the class: so a
// policy is a table of classes and tenants, and the check goes through all of it.
type compiler struct {
	doc          *form.Doc
	file         *file
	p            *Policy
	node, amount *environment
	whens        []*expression // of the tenants' entries
	amounts      [][4]*expression
}

func (c *compiler) run() error {
	both, err := environments()
	if err != nil {
		return &ExpressionError{Reason: err.Error()}
	}
	c.node, c.amount = both[0], both[1]
	for _, step := range []func() error{c.bounds, c.classes, c.tenants, c.table, c.pool} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// bounds checks what stands by itself.
func (c *compiler) bounds() error {
	f := c.file
	switch {
	case f.Brokers < 1:
		return c.doc.Fault("brokers", &IncompleteError{"it is not said how many brokers there are at most"})
	case f.Nodes < 1:
		return c.doc.Fault("nodes", &IncompleteError{"it is not said how many nodes there are at most"})
	case len(f.Classes) == 0 || len(f.Classes) > most:
		return c.doc.Fault("classes", &IncompleteError{fmt.Sprintf("%d classes of nodes, 1 to %d are wanted", len(f.Classes), most)})
	case len(f.Tenants) == 0 || len(f.Tenants) > most*2:
		return c.doc.Fault("tenants", &IncompleteError{fmt.Sprintf("%d entries of tenants, 1 to %d are wanted", len(f.Tenants), 2*most)})
	case f.Closing > f.Lease/3:
		return c.doc.Fault("closing", &ClosingTimeError{fmt.Sprintf("closing takes %v of a lease of %v: more than a third, so that "+
			"one late renewal closes what the next opens again", f.Closing, f.Lease)})
	}
	return nil
}

// number compiles and evaluates an amount.
func (c *compiler) number(field, text string, vars map[string]any) (int, error) {
	names := make([]string, 0, len(vars))
	for name := range vars {
		names = append(names, name)
	}
	slices.Sort(names)
	x, err := c.amount.compile(text, cel.IntType, names...)
	if err == nil {
		var n int
		if n, err = x.units(vars); err == nil {
			return n, nil
		}
	}
	return 0, c.doc.Fault(field, err)
}

// classes reads the kinds of nodes, and the pool as one more.
func (c *compiler) classes() error {
	named := map[string]bool{PoolClass: true}
	for i, k := range c.file.Classes {
		field := func(name string) string { return fmt.Sprintf("classes.%d.%s", i, name) }
		if k.Name == "" || named[k.Name] {
			return c.doc.Fault(field("name"), &IncompleteError{fmt.Sprintf("%q is no name of its own for a class", k.Name)})
		}
		named[k.Name] = true
		if last := i == len(c.file.Classes)-1; last != (k.When == "") {
			return c.doc.Fault(field("when"), &IncompleteError{"the last class, and it alone, takes every node and has no condition"})
		}
		one := Class{Name: k.Name, index: i}
		var err error
		if k.When != "" {
			if one.when, err = c.node.compile(k.When, cel.BoolType, c.node.names...); err != nil {
				return c.doc.Fault(field("when"), err)
			}
		}
		vars := map[string]any{"brokers": c.p.Brokers, "nodes": c.p.Nodes}
		if one.Budget, err = c.number(field("budget"), k.Budget, vars); err != nil {
			return err
		}
		vars["budget"] = one.Budget
		if one.Floor, err = c.number(field("floor"), k.Floor, vars); err != nil {
			return err
		}
		if one.Floor < 1 {
			return c.doc.Fault(field("floor"), &IncompleteError{"a floor of 0: a broker that is cut off, or that starts, could serve nothing"})
		}
		if floors := one.Floor * c.p.Brokers; floors > one.Budget {
			return c.doc.Fault(field("floor"), &OvercommittedError{k.Name, "the floors of all brokers", floors, one.Budget})
		} else {
			one.Shared.Units = one.Budget - floors
		}
		c.p.Classes = append(c.p.Classes, one)
	}
	if c.file.Pool.Budget == "" {
		return nil
	}
	budget, err := c.number("pool.budget", c.file.Pool.Budget, map[string]any{"brokers": c.p.Brokers, "nodes": c.p.Nodes})
	if err != nil {
		return err
	}
	floors := 0
	for _, k := range c.p.Classes {
		floors = max(floors, k.Floor*c.p.Brokers*c.p.Nodes)
	}
	if floors > budget {
		what := "the floors of all brokers at as many nodes as there may be"
		return c.doc.Fault("pool.budget", &OvercommittedError{PoolClass, what, floors, budget})
	}
	c.p.Pool = &Class{Name: PoolClass, Budget: budget, Shared: fairshare.Budget{Units: budget - floors}}
	return nil
}

// tenants compiles what stands for each.
func (c *compiler) tenants() error {
	open := map[string]bool{} // has an entry without a condition
	for i, t := range c.file.Tenants {
		field := func(name string) string { return fmt.Sprintf("tenants.%d.%s", i, name) }
		if t.Name == "" || open[t.Name] {
			return c.doc.Fault(field("name"), &IncompleteError{fmt.Sprintf("tenant %q has no name, or an entry before takes all of it", t.Name)})
		}
		open[t.Name] = t.When == ""
		if !slices.Contains(c.p.Tenants, t.Name) {
			c.p.Tenants = append(c.p.Tenants, t.Name)
		}
		var when *expression
		var err error
		if t.When != "" {
			if when, err = c.amount.compile(t.When, cel.BoolType, c.amount.names...); err != nil {
				return c.doc.Fault(field("when"), err)
			}
		}
		c.whens = append(c.whens, when)
		var four [4]*expression
		for j, text := range []string{t.Guarantee, t.Weight, t.Most, t.Burst} {
			if four[j], err = c.amount.compile(text, cel.IntType, c.amount.names...); err != nil {
				return c.doc.Fault(field(parts[j]), err)
			}
		}
		c.amounts = append(c.amounts, four)
	}
	for i, t := range c.file.Tenants {
		if !open[t.Name] {
			return c.doc.Fault(fmt.Sprintf("tenants.%d.name", i), &IncompleteError{fmt.Sprintf("tenant %q has no entry without a condition", t.Name)})
		}
	}
	return nil
}

var parts = [4]string{"guarantee", "weight", "most", "burst"}
