package connpolicy

import (
	"fmt"

	"flaxfront/internal/decision/fairshare"
)

// table evaluates every tenant in every class, and checks each class as a whole.
func (c *compiler) table() error {
	if len(c.p.Tenants) > most {
		return c.doc.Fault("tenants", &IncompleteError{fmt.Sprintf("%d tenants, %d at most", len(c.p.Tenants), most)})
	}
	for i := range c.p.Classes {
		if err := c.fill(&c.p.Classes[i]); err != nil {
			return err
		}
	}
	if c.p.Pool != nil {
		return c.fill(c.p.Pool)
	}
	return nil
}

func (c *compiler) fill(k *Class) error {
	vars := map[string]any{"class": k.Name, "brokers": c.p.Brokers, "nodes": c.p.Nodes, "budget": k.Budget, "floor": k.Floor,
		"shared": k.Shared.Units}
	sum := 0
	for _, name := range c.p.Tenants {
		a, at, err := c.evaluate(name, vars)
		if err != nil {
			return err
		}
		k.Shared.Amounts = append(k.Shared.Amounts, a)
		field := func(part string) string { return fmt.Sprintf("tenants.%d.%s", at, part) }
		starved := func(part, format string, args ...any) error {
			return c.doc.Fault(field(part), &StarvedTenantError{k.Name, name, fmt.Sprintf(format, args...)})
		}
		if sum += a.Guarantee; sum > k.Shared.Units {
			what := "the guarantees, above the floors of all brokers,"
			return c.doc.Fault(field("guarantee"), &OvercommittedError{k.Name, what, sum, k.Shared.Units})
		}
		switch {
		case a.Most < a.Guarantee:
			return starved("most", "most, %d, is less than the guarantee, %d", a.Most, a.Guarantee)
		case a.Weight > 1000:
			return starved("weight", "a weight of %d, which is over 1000, leaves the others nothing", a.Weight)
		case a.Weight == 0 && a.Guarantee == 0 && k.Shared.Units > 0:
			return starved("weight", "neither a guarantee nor a weight: it would get nothing while others need more")
		case a.Most == 0 && k.Shared.Units > 0:
			return starved("most", "most is 0")
		case a.Most+a.Burst > k.Shared.Units:
			part := "burst"
			if a.Most > k.Shared.Units {
				part = "most"
			}
			return c.doc.Fault(field(part), &OvercommittedError{k.Name, "most and burst of " + name, a.Most + a.Burst, k.Shared.Units})
		}
	}
	return nil
}

// evaluate finds a tenant's entry for a class, and its amounts.
func (c *compiler) evaluate(name string, vars map[string]any) (a fairshare.Amount, at int, err error) {
	for i, t := range c.file.Tenants {
		if t.Name != name {
			continue
		}
		yes, err := c.whens[i].truth(vars)
		if err != nil {
			return a, i, c.doc.Fault(fmt.Sprintf("tenants.%d.when", i), err)
		}
		if !yes {
			continue
		}
		for j, into := range []*int{&a.Guarantee, &a.Weight, &a.Most, &a.Burst} {
			if *into, err = c.amounts[i][j].units(vars); err != nil {
				return a, i, c.doc.Fault(fmt.Sprintf("tenants.%d.%s", i, parts[j]), err)
			}
		}
		return a, i, nil
	}
	return a, 0, c.doc.Fault("tenants", &IncompleteError{fmt.Sprintf("tenant %q has no entry that holds", name)})
}

// pool checks that what nodes guarantee is there: as many nodes as there may be, all of the class that guarantees most.
func (c *compiler) pool() error {
	if c.p.Pool == nil {
		return nil
	}
	worst, class := 0, ""
	for _, k := range c.p.Classes {
		sum := 0
		for _, a := range k.Shared.Amounts {
			sum += a.Guarantee
		}
		if sum*c.p.Nodes > worst {
			worst, class = sum*c.p.Nodes, k.Name
		}
	}
	if worst > c.p.Pool.Shared.Units {
		what := "the guarantees at as many nodes of class " + class + " as there may be, above the floors,"
		return c.doc.Fault("pool.budget", &OvercommittedError{PoolClass, what, worst, c.p.Pool.Shared.Units})
	}
	return nil
}
