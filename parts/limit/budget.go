package limit

import "math"

// RetryBudget allows retries up to a fraction of first attempts, so that retries
// cannot sustain an overload. It is not safe for concurrent use.
type RetryBudget struct {
	maxTokens float64
	tokens    float64 // retries that may be sent now
}

// defaultMaxTokens is the number of retries that a RetryBudget of NewRetryBudget starts with
// and holds at most.
const defaultMaxTokens = 10

// NewRetryBudget returns a full budget that holds at most 10 retries.
func NewRetryBudget() *RetryBudget {
	return NewRetryBudgetWithMax(defaultMaxTokens)
}

// Deposit records a first attempt, which adds the fraction share of a retry to the
// budget.
func (b *RetryBudget) Deposit(share float64) {
	b.tokens = math.Min(b.tokens+share, b.maxTokens)
}

// Withdraw spends one retry and reports whether the budget allowed it.
func (b *RetryBudget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the retries that may be sent now.
func (b *RetryBudget) Tokens() float64 { return b.tokens }

// NewRetryBudgetWithMax returns a full budget that holds at most maxTokens retries.
func NewRetryBudgetWithMax(maxTokens float64) *RetryBudget {
	return &RetryBudget{maxTokens: maxTokens, tokens: maxTokens}
}
