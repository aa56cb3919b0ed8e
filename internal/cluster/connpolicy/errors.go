package connpolicy

import "fmt"

// ExpressionError is an expression that can't be used. Errors of this package come inside a form.Error, which names the line.
type ExpressionError struct {
	Text   string
	Column int // 0: the whole
	Reason string
}

func (e *ExpressionError) Error() string {
	if e.Column > 0 {
		return fmt.Sprintf("%.80q: column %d: %s", e.Text, e.Column, e.Reason)
	}
	return fmt.Sprintf("%.80q: %s", e.Text, e.Reason)
}

// Remedy says what an operator can do.
func (e *ExpressionError) Remedy() string {
	return "correct the expression; names and operators are in docs/operations/connection-budgets.md"
}

// FeedbackError is an amount or a condition on what the division moves.
type FeedbackError struct{ Text, Variable string }

func (e *FeedbackError) Error() string {
	return fmt.Sprintf("%.80q: %s is moved by the division itself, which would never settle", e.Text, e.Variable)
}

// Remedy says what an operator can do.
func (e *FeedbackError) Remedy() string {
	return "say it by guarantee, weight, most and burst: units follow the need by themselves"
}

// OvercommittedError is a policy that could divide more than there is.
type OvercommittedError struct {
	Class       string
	Demand      string
	Sum, Budget int
}

func (e *OvercommittedError) Error() string {
	return fmt.Sprintf("class %s: %s are %d units of a budget of %d", e.Class, e.Demand, e.Sum, e.Budget)
}

// Remedy says what an operator can do.
func (e *OvercommittedError) Remedy() string {
	return "raise the budget, or lower the floors or the guarantees"
}

// StarvedTenantError is a tenant whose amounts contradict each other, or that would get nothing.
type StarvedTenantError struct{ Class, Tenant, Reason string }

func (e *StarvedTenantError) Error() string {
	return fmt.Sprintf("tenant %s in class %s: %s", e.Tenant, e.Class, e.Reason)
}

// Remedy says what an operator can do.
func (e *StarvedTenantError) Remedy() string {
	return "give it a guarantee or a weight, and a most that is no less than its guarantee"
}

// IncompleteError is a policy that says nothing of some node or tenant, or says it twice.
type IncompleteError struct{ Reason string }

func (e *IncompleteError) Error() string { return e.Reason }

// Remedy says what an operator can do.
func (e *IncompleteError) Remedy() string {
	return "let the last class, and the last entry of each tenant, have no condition, and name each thing"
}

// ClosingTimeError is a lease under which connections would be closed and opened without end.
type ClosingTimeError struct{ Reason string }

func (e *ClosingTimeError) Error() string { return e.Reason }

// Remedy says what an operator can do.
func (e *ClosingTimeError) Remedy() string { return "lengthen the lease, or shorten closing" }
