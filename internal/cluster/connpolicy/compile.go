package connpolicy

import (
	"fmt"
	"slices"

	"cel.dev/cel-go/cel"

	"flaxfront/internal/config/form"
)

// compiler turns a document into a policy. Conditions on nodes only choose a class, and all amounts follow from the class. So a
// policy is a table of classes and tenants, and the check goes through all of it.
type compiler struct {
	doc       *form.Doc
	document  *document
	policy    *Policy
	nodeEnv   *environment     // of conditions on nodes
	amountEnv *environment     // of amounts, and of conditions on classes
	tenants   []compiledTenant // in the document's order
}

// compiledTenant is one entry of the document's tenants.
type compiledTenant struct {
	when    *expression // nil: always
	amounts [len(amountFields)]*expression
}

// amountFields are a tenant entry's amounts, in the order in which they are compiled and evaluated.
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
		return c.doc.Fault("brokers", &IncompleteError{"it is not said how many brokers there are at most"})
	case d.Nodes < 1:
		return c.doc.Fault("nodes", &IncompleteError{"it is not said how many nodes there are at most"})
	case len(d.Classes) == 0 || len(d.Classes) > maxClasses:
		return c.doc.Fault("classes", &IncompleteError{
			fmt.Sprintf("%d classes of nodes, 1 to %d are wanted", len(d.Classes), maxClasses)})
	case len(d.Tenants) == 0 || len(d.Tenants) > maxTenantEntries:
		return c.doc.Fault("tenants", &IncompleteError{
			fmt.Sprintf("%d entries of tenants, 1 to %d are wanted", len(d.Tenants), maxTenantEntries)})
	case d.Closing > d.Lease/3:
		return c.doc.Fault("closing", &ClosingTimeError{fmt.Sprintf("closing takes %v of a lease of %v: more than a third, "+
			"so that one late renewal closes what the next opens again", d.Closing, d.Lease)})
	}
	return nil
}

// evaluateNumber compiles and evaluates an amount that may use the given variables only.
func (c *compiler) evaluateNumber(field, text string, variables map[string]any) (int, error) {
	names := make([]string, 0, len(variables))
	for name := range variables {
		names = append(names, name)
	}
	slices.Sort(names)
	amount, err := c.amountEnv.compile(text, cel.IntType, names...)
	if err != nil {
		return 0, c.doc.Fault(field, err)
	}
	n, err := amount.evaluateNumber(variables)
	if err != nil {
		return 0, c.doc.Fault(field, err)
	}
	return n, nil
}
