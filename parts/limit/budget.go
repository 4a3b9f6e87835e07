package limit

import "math"

// Budget allows retries as a share of first tries, so that retries cannot keep
// an overload alive. It is not safe for concurrent use.
type Budget struct {
	reserve float64
	tokens  float64
}

// budgetReserve is how many retries a budget holds at most, and at first.
const budgetReserve = 10

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return NewBudgetOf(budgetReserve)
}

// FirstTry earns the share of one retry.
func (b *Budget) FirstTry(share float64) {
	b.tokens = math.Min(b.tokens+share, b.reserve)
}

// Retry spends one retry, if there is one.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewBudgetOf returns a full budget that holds at most that many retries.
func NewBudgetOf(reserve float64) *Budget {
	return &Budget{reserve: reserve, tokens: reserve}
}
