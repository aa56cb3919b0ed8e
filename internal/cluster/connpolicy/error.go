package connpolicy

import "fmt"

// Expression is an expression that can't be used. Errors of this package come inside a form.Error, which names the line.
type Expression struct {
	Text   string
	Column int // 0: the whole
	Why    string
}

func (e *Expression) Error() string {
	if e.Column > 0 {
		return fmt.Sprintf("%.80q: column %d: %s", e.Text, e.Column, e.Why)
	}
	return fmt.Sprintf("%.80q: %s", e.Text, e.Why)
}

// Remedy says what an operator can do.
func (e *Expression) Remedy() string {
	return "correct the expression; names and operators are in docs/operations/connection-budgets.md"
}

// Unsettled is an amount or a condition on what the division moves.
type Unsettled struct{ Text, Name string }

func (u *Unsettled) Error() string {
	return fmt.Sprintf("%.80q: %s is moved by the division itself, which would never settle", u.Text, u.Name)
}

// Remedy says what an operator can do.
func (u *Unsettled) Remedy() string {
	return "say it by guarantee, weight, most and burst: units follow the need by themselves"
}

// Overcommitted is a policy that could divide more than there is.
type Overcommitted struct {
	Class       string
	What        string
	Sum, Budget int
}

func (o *Overcommitted) Error() string {
	return fmt.Sprintf("class %s: %s are %d units of a budget of %d", o.Class, o.What, o.Sum, o.Budget)
}

// Remedy says what an operator can do.
func (o *Overcommitted) Remedy() string {
	return "raise the budget, or lower the floors or the guarantees"
}

// Starved is a tenant whose amounts contradict each other, or that would get nothing.
type Starved struct{ Class, Tenant, Why string }

func (s *Starved) Error() string {
	return fmt.Sprintf("tenant %s in class %s: %s", s.Tenant, s.Class, s.Why)
}

// Remedy says what an operator can do.
func (s *Starved) Remedy() string {
	return "give it a guarantee or a weight, and a most that is no less than its guarantee"
}

// Incomplete is a policy that says nothing of some node or tenant, or says it twice.
type Incomplete struct{ Why string }

func (i *Incomplete) Error() string { return i.Why }

// Remedy says what an operator can do.
func (i *Incomplete) Remedy() string {
	return "let the last class, and the last entry of each tenant, have no condition, and name each thing"
}

// Restless is a lease under which connections would be closed and opened without end.
type Restless struct{ Why string }

func (r *Restless) Error() string { return r.Why }

// Remedy says what an operator can do.
func (r *Restless) Remedy() string { return "lengthen the lease, or shorten closing" }
