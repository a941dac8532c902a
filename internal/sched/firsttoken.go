package sched

import (
	"math"
	"time"
)

const (
	// fitDecay is the factor applied to the weight of earlier samples for each new one:
	// about 50 samples count.
	fitDecay = 0.98
	// fitPriorWeight is the weight of the prior derived from hardware.
	fitPriorWeight = 3.0
	// fitPromptTokens and 0 are the prompt lengths at which the prior is set.
	fitPromptTokens = 4000.0
)

// firstTokenFit estimates the time to the first token as a base plus a time for each
// prefill token, by weighted least squares with exponential decay. Engines differ in
// both: on some the base exceeds the prefill time of all but the longest prompts.
type firstTokenFit struct {
	// The decayed, weighted sums of the regression of y (seconds) on x (tokens).
	n, x, y, xx, xy float64
	// base is in seconds, perToken in seconds per token.
	base, perToken float64
}

// newFirstTokenFit returns the prior for an engine with the given prefill speed in
// tokens per second.
func newFirstTokenFit(prefill float64) firstTokenFit {
	f := firstTokenFit{}
	f.add(0, 0, fitPriorWeight)
	f.add(fitPromptTokens, fitPromptTokens/prefill, fitPriorWeight)
	f.solve(1 / prefill)
	return f
}

// observe adds a measured time to the first token for a number of prefill tokens.
func (f *firstTokenFit) observe(tokens int, after time.Duration, prefillSeed float64) {
	f.n, f.x, f.y, f.xx, f.xy = f.n*fitDecay, f.x*fitDecay, f.y*fitDecay, f.xx*fitDecay, f.xy*fitDecay
	f.add(float64(tokens), after.Seconds(), 1)
	f.solve(1 / prefillSeed)
}

func (f *firstTokenFit) add(x, y, weight float64) {
	f.n += weight
	f.x += weight * x
	f.y += weight * y
	f.xx += weight * x * x
	f.xy += weight * x * y
}

func (f *firstTokenFit) solve(seed float64) {
	spread := f.xx - f.x*f.x/f.n
	if spread > 0 {
		slope := (f.xy - f.x*f.y/f.n) / spread
		f.perToken = min(max(slope, seed/maxSampleRatio), seed*maxSampleRatio)
	}
	f.base = math.Max(0, (f.y-f.perToken*f.x)/f.n)
}

// time returns the expected time to the first token for a number of prefill tokens.
func (f *firstTokenFit) time(tokens int) time.Duration {
	return seconds(f.base + f.perToken*float64(tokens))
}

// A first token has full value until the first-token target and none after the first-token
// limit, when the client gives up. This matters for pools of engines with different speeds
// and for floods: a long prompt isn't placed on a slow engine while a faster one becomes
// free in time, and a request whose client has given up isn't started.

// firstTokenSlack is the margin for a first token later than expected.
const firstTokenSlack = 150 * time.Millisecond

// latestFirstTokenStart returns the latest grant time for which the first token arrives
// before the first-token limit; ok is false for a request without a limit.
func (p *Pool) latestFirstTokenStart(w *waiter) (at time.Time, ok bool) {
	if w.FirstLimit.IsZero() || p.config.Service {
		return time.Time{}, false
	}
	return w.FirstLimit.Add(-p.estimate.firstToken(w.Request) - firstTokenSlack), true
}

// waitsForFaster reports whether a request waits for a faster server, because the
// expected first token here misses the first-token target and the best server could meet
// the target.
func (p *Pool) waitsForFaster(now time.Time, w *waiter, firstToken time.Duration) bool {
	if w.FirstTarget.IsZero() || p.config.Service || !now.Add(firstToken).After(w.FirstTarget) {
		return false
	}
	return !now.Add(p.estimate.firstToken(w.Request)).After(w.FirstTarget)
}

// pastFirstTarget reports whether the first-token target of a request has passed.
func (w *waiter) pastFirstTarget(now time.Time) bool {
	return !w.FirstTarget.IsZero() && now.After(w.FirstTarget)
}

// maxLateSkipped limits the late requests of a caller that are skipped in favour of one
// that can be on time.
const maxLateSkipped = 64

// nextToServe returns the request of a caller to serve first: the oldest that can still
// be on time, or the oldest if none can. First come, first served would make every
// request late under a load that keeps all waiting requests beyond their targets.
func (c *callerQueue) nextToServe(now time.Time) *waiter {
	w := c.head
	for range maxLateSkipped {
		if w == nil {
			return c.head
		}
		if !w.pastFirstTarget(now) {
			return w
		}
		w = w.next
	}
	return c.head
}
