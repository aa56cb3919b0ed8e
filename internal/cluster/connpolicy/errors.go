package connpolicy

import "fmt"

// ExpressionError reports an expression that cannot be used. All errors of this package are wrapped in a form.Error, which states the line.
type ExpressionError struct {
	Text   string
	Column int // from 1; 0: the expression as a whole
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

// FeedbackError reports an amount or a condition that depends on a result of the division itself.
type FeedbackError struct{ Text, Variable string }

func (e *FeedbackError) Error() string {
	return fmt.Sprintf("%.80q: %s changes with the division itself, which would never settle", e.Text, e.Variable)
}

// Remedy says what an operator can do.
func (e *FeedbackError) Remedy() string {
	return "use guarantee, weight, most and burst instead: the division already follows the demand"
}

// OvercommittedError reports a policy that could divide more units than a budget has.
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

// StarvedTenantError reports a tenant whose amounts contradict each other, or that could get nothing.
type StarvedTenantError struct{ Class, Tenant, Reason string }

func (e *StarvedTenantError) Error() string {
	return fmt.Sprintf("tenant %s in class %s: %s", e.Tenant, e.Class, e.Reason)
}

// Remedy says what an operator can do.
func (e *StarvedTenantError) Remedy() string {
	return "give the tenant a guarantee or a weight, and a value of most that is at least its guarantee"
}

// IncompleteError reports a policy that does not cover some node or tenant, or covers it twice.
type IncompleteError struct{ Reason string }

func (e *IncompleteError) Error() string { return e.Reason }

// Remedy says what an operator can do.
func (e *IncompleteError) Remedy() string {
	return "give each class and tenant a name, and no condition to the last class and to the last entry of each tenant"
}

// ClosingTimeError reports a closing time that is too long for the lease, so that connections would be closed and reopened repeatedly.
type ClosingTimeError struct{ Reason string }

func (e *ClosingTimeError) Error() string { return e.Reason }

// Remedy says what an operator can do.
func (e *ClosingTimeError) Remedy() string { return "increase lease or decrease closing" }
