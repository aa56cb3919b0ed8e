package connpolicy

import (
	"fmt"
	"slices"

	"cel.dev/cel-go/cel"

	"flaxfront/internal/config/form"
)

// compiler compiles a document into a policy. Conditions on nodes only choose a class, and all amounts depend on the class only. So a
// policy is a table of classes and tenants, which can be checked completely.
type compiler struct {
	doc       *form.Document
	document  *document
	policy    *Policy
	nodeEnv   *environment     // of conditions on nodes
	amountEnv *environment     // of amounts, and of tenants' conditions on the class
	tenants   []compiledTenant // in the document's order
}

// compiledTenant is a compiled entry of the document's tenants.
type compiledTenant struct {
	when    *expression // nil: always holds
	amounts [len(amountFields)]*expression
}

// amountFields are the fields of a tenant entry's amounts, in the order in which they are compiled and evaluated.
var amountFields = [...]string{"guarantee", "weight", "most", "burst"}

func (c *compiler) compile() error {
	environments, err := declareEnvironments()
	if err != nil {
		return &ExpressionError{Reason: err.Error()}
	}
	c.nodeEnv = environments.node
	c.amountEnv = environments.amount
	steps := []func() error{
		c.checkBounds,
		c.compileClasses,
		c.compilePool,
		c.compileTenants,
		c.evaluateTable,
		c.checkPoolGuarantees,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (c *compiler) checkBounds() error {
	d := c.document
	switch {
	case d.Brokers < 1:
		return c.doc.ErrorAt("brokers", &IncompleteError{"the maximum number of brokers is not set"})
	case d.Nodes < 1:
		return c.doc.ErrorAt("nodes", &IncompleteError{"the maximum number of nodes is not set"})
	case len(d.Classes) == 0 || len(d.Classes) > maxClasses:
		return c.doc.ErrorAt("classes", &IncompleteError{
			fmt.Sprintf("%d classes of nodes, want 1 to %d", len(d.Classes), maxClasses)})
	case len(d.Tenants) == 0 || len(d.Tenants) > maxTenantEntries:
		return c.doc.ErrorAt("tenants", &IncompleteError{
			fmt.Sprintf("%d entries of tenants, want 1 to %d", len(d.Tenants), maxTenantEntries)})
	case d.Closing > d.Lease/3:
		return c.doc.ErrorAt("closing", &ClosingTimeError{fmt.Sprintf("closing takes %v of a lease of %v, more than a third: "+
			"one late renewal would close connections that the next one opens again", d.Closing, d.Lease)})
	}
	return nil
}

// evaluateNumber compiles and evaluates an amount that may use only the given variables.
func (c *compiler) evaluateNumber(field, text string, variables map[string]any) (int, error) {
	names := make([]string, 0, len(variables))
	for name := range variables {
		names = append(names, name)
	}
	slices.Sort(names)
	amount, err := c.amountEnv.compile(text, cel.IntType, names...)
	if err != nil {
		return 0, c.doc.ErrorAt(field, err)
	}
	n, err := amount.evaluateNumber(variables)
	if err != nil {
		return 0, c.doc.ErrorAt(field, err)
	}
	return n, nil
}
