package limit

import "math"

// Budget is a retry budget: it allows retries as a fraction of first attempts, so
// that retries cannot sustain an overload. It is not safe for concurrent use.
type Budget struct {
	maxTokens float64
	tokens    float64
}

// defaultMaxTokens is the number of retries that a Budget of NewBudget starts with
// and holds at most.
const defaultMaxTokens = 10

// NewBudget returns a full budget that holds at most 10 retries.
func NewBudget() *Budget {
	return NewBudgetOf(defaultMaxTokens)
}

// FirstTry records a first attempt, which adds share retries to the budget.
func (b *Budget) FirstTry(share float64) {
	b.tokens = math.Min(b.tokens+share, b.maxTokens)
}

// Retry spends one retry and reports whether the budget allowed it.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewBudgetOf returns a full budget that holds at most maxTokens retries.
func NewBudgetOf(maxTokens float64) *Budget {
	return &Budget{maxTokens: maxTokens, tokens: maxTokens}
}
