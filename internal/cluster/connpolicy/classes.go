package connpolicy

import (
	"fmt"

	"cel.dev/cel-go/cel"

	"flaxfront/internal/decision/fairshare"
)

// compileClasses checks the names and conditions of all classes, and evaluates their budgets and floors.
func (c *compiler) compileClasses() error {
	names := map[string]bool{PoolClass: true}
	for i := range c.document.Classes {
		name := c.document.Classes[i].Name
		if name == "" || names[name] {
			return c.doc.ErrorAt(classField(i, "name"), &IncompleteError{fmt.Sprintf("%q is empty, reserved or already the name of another class", name)})
		}
		names[name] = true
		class, err := c.compileClass(i)
		if err != nil {
			return err
		}
		c.policy.Classes = append(c.policy.Classes, class)
	}
	return nil
}

func classField(index int, name string) string { return fmt.Sprintf("classes.%d.%s", index, name) }

func (c *compiler) compileClass(index int) (Class, error) {
	entry := c.document.Classes[index]
	isLast := index == len(c.document.Classes)-1
	if isLast != (entry.When == "") {
		return Class{}, c.doc.ErrorAt(classField(index, "when"),
			&IncompleteError{"the last class, and only the last class, must have no condition, so that it takes every other node"})
	}
	class := Class{Name: entry.Name, index: index}
	var err error
	if entry.When != "" {
		class.when, err = c.nodeEnv.compile(entry.When, cel.BoolType, c.nodeEnv.names...)
		if err != nil {
			return Class{}, c.doc.ErrorAt(classField(index, "when"), err)
		}
	}
	variables := map[string]any{"brokers": c.policy.Brokers, "nodes": c.policy.Nodes}
	class.Budget, err = c.evaluateNumber(classField(index, "budget"), entry.Budget, variables)
	if err != nil {
		return Class{}, err
	}
	variables["budget"] = class.Budget
	class.Floor, err = c.evaluateNumber(classField(index, "floor"), entry.Floor, variables)
	if err != nil {
		return Class{}, err
	}
	if class.Floor < 1 {
		return Class{}, c.doc.ErrorAt(classField(index, "floor"),
			&IncompleteError{"floor is 0: a broker that is cut off or starting could serve nothing"})
	}
	floors := class.Floor * c.policy.Brokers
	if floors > class.Budget {
		return Class{}, c.doc.ErrorAt(classField(index, "floor"),
			&OvercommittedError{entry.Name, "the floors of all brokers", floors, class.Budget})
	}
	class.Shared.Units = class.Budget - floors
	return class, nil
}

// compilePool evaluates the budget of all nodes together, if the policy sets one.
func (c *compiler) compilePool() error {
	if c.document.Pool.Budget == "" {
		return nil
	}
	variables := map[string]any{"brokers": c.policy.Brokers, "nodes": c.policy.Nodes}
	budget, err := c.evaluateNumber("pool.budget", c.document.Pool.Budget, variables)
	if err != nil {
		return err
	}
	floors := 0
	for _, class := range c.policy.Classes {
		floors = max(floors, class.Floor*c.policy.Brokers*c.policy.Nodes)
	}
	if floors > budget {
		demand := "the floors of all brokers at the maximum number of nodes"
		return c.doc.ErrorAt("pool.budget", &OvercommittedError{PoolClass, demand, floors, budget})
	}
	c.policy.Pool = &Class{Name: PoolClass, Budget: budget, Shared: fairshare.Budget{Units: budget - floors}}
	return nil
}

// checkPoolGuarantees checks that the pool covers what the nodes guarantee in the worst case: the maximum number of nodes, all of the class
// that guarantees most.
func (c *compiler) checkPoolGuarantees() error {
	if c.policy.Pool == nil {
		return nil
	}
	worst := 0
	worstClass := ""
	for _, class := range c.policy.Classes {
		guarantees := 0
		for _, amount := range class.Shared.Allowances {
			guarantees += amount.Guarantee
		}
		if guarantees*c.policy.Nodes > worst {
			worst = guarantees * c.policy.Nodes
			worstClass = class.Name
		}
	}
	if worst > c.policy.Pool.Shared.Units {
		demand := "the guarantees above the floors, at the maximum number of nodes, all of class " + worstClass + ","
		return c.doc.ErrorAt("pool.budget", &OvercommittedError{PoolClass, demand, worst, c.policy.Pool.Shared.Units})
	}
	return nil
}
