package sched

import (
	"math"
	"time"
)

const (
	// fitDecay is what an earlier sample keeps of its weight when one is added: about
	// fifty samples count.
	fitDecay = 0.98
	// fitPriorWeight is the weight of the expectation from hardware.
	fitPriorWeight = 3.0
	// fitPromptTokens is the prompt that the expectation is stated for, besides none.
	fitPromptTokens = 4000.0
)

// firstTokenFit learns the time to the first token as a base and a time for each
// token of prefill, by least squares. Engines differ in both: on some the base
// outweighs the prefill of all but the longest prompts.
type firstTokenFit struct {
	n, x, y, xx, xy float64
	// base is in seconds, perToken in seconds a token.
	base, perToken float64
}

// newFirstTokenFit returns the expectation of an engine with a prefill speed in
// tokens a second.
func newFirstTokenFit(prefill float64) firstTokenFit {
	f := firstTokenFit{}
	f.add(0, 0, fitPriorWeight)
	f.add(fitPromptTokens, fitPromptTokens/prefill, fitPriorWeight)
	f.solve(1 / prefill)
	return f
}

// observe adds a first token that came after so many tokens of prefill.
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

// time returns the expected time to the first token after so many tokens of prefill.
func (f *firstTokenFit) time(tokens int) time.Duration {
	return seconds(f.base + f.perToken*float64(tokens))
}

// The first answer of a request is worth most until its first target, and nothing
// once its client has given up at its first limit. Both answer engines of unlike
// speed and floods: a long prompt doesn't go to a slow engine while a faster one is
// free in time, and what nobody waits for any longer isn't started.

// firstTokenSlack is the time that a first token may come later than expected.
const firstTokenSlack = 150 * time.Millisecond

// latestFirstTokenStart is when a request must have its grant for its first token to come while
// its client waits; ok is false for a request without a first limit.
func (p *Pool) latestFirstTokenStart(w *waiter) (at time.Time, ok bool) {
	if w.FirstLimit.IsZero() || p.config.Service {
		return time.Time{}, false
	}
	return w.FirstLimit.Add(-p.estimate.firstToken(w.Request) - firstTokenSlack), true
}

// waitsForFaster reports whether a request waits for a faster server than one that would
// miss the first target: the best could still meet it.
func (p *Pool) waitsForFaster(now time.Time, w *waiter, firstToken time.Duration) bool {
	if w.FirstTarget.IsZero() || p.config.Service || !now.Add(firstToken).After(w.FirstTarget) {
		return false
	}
	return !now.Add(p.estimate.firstToken(w.Request)).After(w.FirstTarget)
}

// pastFirstTarget reports whether the first target of a request has passed.
func (w *waiter) pastFirstTarget(now time.Time) bool {
	return !w.FirstTarget.IsZero() && now.After(w.FirstTarget)
}

// maxLateSkipped bounds the late requests of a caller that are passed over for one that
// can be on time.
const maxLateSkipped = 64

// nextToServe returns the request of a caller to serve first: the oldest that can still
// be on time, or the oldest if none can. Under a load that keeps all waiting beyond
// their targets, first come first served would be late for each.
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
