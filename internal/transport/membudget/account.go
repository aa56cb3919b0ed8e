package membudget

import (
	"sync/atomic"
	"time"
)

// Account is what one holder has reserved from a budget. It can't hold more than the budget had. Its owner must close it. Its methods are for one
// goroutine at a time, except Close. The zero value is an account of an unlimited budget.
type Account struct {
	budget *Budget
	free   int64        // bytes that need no reservation
	held   atomic.Int64 // bytes, with the free ones
}

// Open makes an account one of a budget, with a number of bytes that need no reservation. It must hold nothing.
func (a *Account) Open(b *Budget, free int) {
	a.budget = b
	a.free = int64(free)
}

// reserved returns how many of a number of bytes held are reserved from the budget.
func (a *Account) reserved(held int64) int64 { return max(0, held-a.free) }

// TryGrow adds bytes, and reports false if the budget does not have them.
func (a *Account) TryGrow(bytes int) bool {
	return a.grow(bytes, func(more int64) bool { return a.budget.tryReserve(more) })
}

// Grow adds bytes, and reports false if the budget does not have them. If it has to wait for them, it calls until, which returns how long.
func (a *Account) Grow(bytes int, until func() time.Time) bool {
	return a.grow(bytes, func(more int64) bool { return a.budget.reserve(more, until) })
}

func (a *Account) grow(bytes int, reserve func(int64) bool) bool {
	held := a.held.Load()
	more := a.reserved(held+int64(bytes)) - a.reserved(held)
	if a.budget != nil && more > 0 && !reserve(more) {
		return false
	}
	a.held.Add(int64(bytes))
	return true
}

// Held returns the number of bytes that the account holds.
func (a *Account) Held() int { return int(a.held.Load()) }

// ShrinkTo gives back all but a number of bytes; an account that holds fewer stays as it is.
func (a *Account) ShrinkTo(bytes int) {
	held := a.held.Load()
	if int64(bytes) >= held || !a.held.CompareAndSwap(held, int64(bytes)) {
		return
	}
	a.giveBack(a.reserved(held) - a.reserved(int64(bytes)))
}

// Absorb moves all that another account of the same budget holds to this one; nil: it holds nothing. Neither may have free bytes.
func (a *Account) Absorb(other *Account) {
	if other == nil {
		return
	}
	if a.budget == nil {
		a.budget = other.budget
	}
	a.held.Add(other.held.Swap(0))
}

// Close gives back all bytes. It may be called more than once, and from any goroutine.
func (a *Account) Close() {
	if a != nil {
		a.giveBack(a.reserved(a.held.Swap(0)))
	}
}

func (a *Account) giveBack(bytes int64) {
	if a.budget != nil && bytes > 0 {
		a.budget.release(bytes)
	}
}
