package connpolicy

import (
	"fmt"
	"slices"

	"cel.dev/cel-go/cel"

	"flaxfront/internal/decision/fairshare"
)

// compileTenants compiles the conditions and amounts of all entries. The last entry of each tenant must have no
// condition, and all its other entries must have one.
func (c *compiler) compileTenants() error {
	unconditional := map[string]bool{}
	for i, entry := range c.document.Tenants {
		if entry.Name == "" || unconditional[entry.Name] {
			return c.doc.ErrorAt(tenantField(i, "name"),
				&IncompleteError{fmt.Sprintf("tenant %q: its name is empty, or an earlier entry without a condition already applies", entry.Name)})
		}
		unconditional[entry.Name] = entry.When == ""
		if !slices.Contains(c.policy.Tenants, entry.Name) {
			c.policy.Tenants = append(c.policy.Tenants, entry.Name)
		}
		compiled, err := c.compileTenant(i)
		if err != nil {
			return err
		}
		c.tenants = append(c.tenants, compiled)
	}
	for i, entry := range c.document.Tenants {
		if !unconditional[entry.Name] {
			return c.doc.ErrorAt(tenantField(i, "name"),
				&IncompleteError{fmt.Sprintf("tenant %q has no entry without a condition", entry.Name)})
		}
	}
	return nil
}

func tenantField(index int, name string) string { return fmt.Sprintf("tenants.%d.%s", index, name) }

func (c *compiler) compileTenant(index int) (compiledTenant, error) {
	var compiled compiledTenant
	var err error
	entry := c.document.Tenants[index]
	if entry.When != "" {
		compiled.when, err = c.amountEnv.compile(entry.When, cel.BoolType, c.amountEnv.names...)
		if err != nil {
			return compiled, c.doc.ErrorAt(tenantField(index, "when"), err)
		}
	}
	texts := [len(amountFields)]string{entry.Guarantee, entry.Weight, entry.Most, entry.Burst}
	for i, text := range texts {
		compiled.amounts[i], err = c.amountEnv.compile(text, cel.IntType, c.amountEnv.names...)
		if err != nil {
			return compiled, c.doc.ErrorAt(tenantField(index, amountFields[i]), err)
		}
	}
	return compiled, nil
}

// evaluateTable evaluates the amounts of every tenant in every class and in the pool, and checks each class as a whole.
func (c *compiler) evaluateTable() error {
	if len(c.policy.Tenants) > maxTenants {
		return c.doc.ErrorAt("tenants", &IncompleteError{fmt.Sprintf("%d tenants, at most %d are allowed", len(c.policy.Tenants), maxTenants)})
	}
	for i := range c.policy.Classes {
		if err := c.evaluateClass(&c.policy.Classes[i]); err != nil {
			return err
		}
	}
	if c.policy.Pool != nil {
		return c.evaluateClass(c.policy.Pool)
	}
	return nil
}

func (c *compiler) evaluateClass(class *Class) error {
	variables := map[string]any{
		"class":   class.Name,
		"brokers": c.policy.Brokers,
		"nodes":   c.policy.Nodes,
		"budget":  class.Budget,
		"floor":   class.Floor,
		"shared":  class.Shared.Units,
	}
	guarantees := 0
	for _, tenant := range c.policy.Tenants {
		index, err := c.findEntry(tenant, variables)
		if err != nil {
			return err
		}
		amount, err := c.evaluateAmount(index, variables)
		if err != nil {
			return err
		}
		class.Shared.Allowances = append(class.Shared.Allowances, amount)
		guarantees += amount.Guarantee
		if guarantees > class.Shared.Units {
			demand := "the guarantees above the floors of all brokers"
			return c.doc.ErrorAt(tenantField(index, "guarantee"),
				&OvercommittedError{class.Name, demand, guarantees, class.Shared.Units})
		}
		if field, err := checkAmount(class, tenant, amount); err != nil {
			return c.doc.ErrorAt(tenantField(index, field), err)
		}
	}
	return nil
}

// checkAmount checks one tenant's amounts in one class. If it returns an error, field is the name of the faulty field.
func checkAmount(class *Class, tenant string, amount fairshare.Allowance) (field string, err error) {
	starved := func(format string, args ...any) error {
		return &StarvedTenantError{class.Name, tenant, fmt.Sprintf(format, args...)}
	}
	units := class.Shared.Units
	switch {
	case amount.Max < amount.Guarantee:
		return "most", starved("most, %d, is less than the guarantee, %d", amount.Max, amount.Guarantee)
	case amount.Weight > maxWeight:
		return "weight", starved("a weight of %d, above %d, would leave the other tenants nothing", amount.Weight, maxWeight)
	case amount.Weight == 0 && amount.Guarantee == 0 && units > 0:
		return "weight", starved("neither a guarantee nor a weight: the tenant would get nothing while others need more")
	case amount.Max == 0 && units > 0:
		return "most", starved("most is 0")
	case amount.Max > units:
		return "most", &OvercommittedError{class.Name, "most and burst of " + tenant, amount.Max + amount.Burst, units}
	case amount.Max+amount.Burst > units:
		return "burst", &OvercommittedError{class.Name, "most and burst of " + tenant, amount.Max + amount.Burst, units}
	}
	return "", nil
}

// findEntry returns the index of the tenant's first entry whose condition holds.
func (c *compiler) findEntry(tenant string, variables map[string]any) (int, error) {
	for i, entry := range c.document.Tenants {
		if entry.Name != tenant {
			continue
		}
		holds, err := c.tenants[i].when.evaluateCondition(variables)
		if err != nil {
			return 0, c.doc.ErrorAt(tenantField(i, "when"), err)
		}
		if holds {
			return i, nil
		}
	}
	return 0, c.doc.ErrorAt("tenants", &IncompleteError{fmt.Sprintf("tenant %q has no entry whose condition holds", tenant)})
}

func (c *compiler) evaluateAmount(index int, variables map[string]any) (fairshare.Allowance, error) {
	var amount fairshare.Allowance
	for i, into := range []*int{&amount.Guarantee, &amount.Weight, &amount.Max, &amount.Burst} {
		n, err := c.tenants[index].amounts[i].evaluateNumber(variables)
		if err != nil {
			return fairshare.Allowance{}, c.doc.ErrorAt(tenantField(index, amountFields[i]), err)
		}
		*into = n
	}
	return amount, nil
}
