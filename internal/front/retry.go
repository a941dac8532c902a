package front

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxAttempts bounds the grants that one request uses.
	maxAttempts = 4
	// shortRetryDelay is the advised delay where the cause is expected to pass, about as
	// long as the loss of a host or a server is noticed and made good.
	shortRetryDelay = time.Second
)

// jitteredRetryDelay is the advised delay for one of many that a full front refuses: they
// are spread over another second, so that they don't come back at once.
func jitteredRetryDelay() time.Duration { return shortRetryDelay + rand.N(shortRetryDelay) }

// retryBudget bounds the retries of all requests to a share of the requests, so
// that retries can't multiply a failure. It is safe for concurrent use.
type retryBudget struct {
	mu sync.Mutex
	// ratio is earned by each new request, burst bounds what is saved up.
	ratio, burst float64
	tokens       float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// earn adds the allowance of one new request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// spend reports whether one retry is allowed.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
