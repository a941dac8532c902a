package front

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxAttempts limits the grants that one request uses.
	maxAttempts = 4
	// shortRetryDelay is the advised delay where the cause is expected to pass soon. It
	// is about the time needed to detect and replace a lost host or server.
	shortRetryDelay = time.Second
)

// jitteredRetryDelay returns the advised delay for requests that a full front refuses
// in large numbers. A jitter of up to another second keeps them from returning all at
// once.
func jitteredRetryDelay() time.Duration { return shortRetryDelay + rand.N(shortRetryDelay) }

// retryBudget is a token bucket that limits the retries of all requests to a share of
// the requests, so that retries do not amplify a failure. It is safe for concurrent
// use.
type retryBudget struct {
	mu sync.Mutex
	// ratio is the number of tokens added by each new request, burst the maximum number
	// of saved tokens.
	ratio, burst float64
	tokens       float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// earn adds the tokens for one new request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// spend takes the token for one retry. It returns false if there is none.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
