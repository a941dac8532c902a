// Package overload decides which requests an entry host refuses because its own
// processor can't keep up.
//
// It answers bursts at hosts with a small share of a processor. Without it such a host
// works on requests whose clients have long left, and stays behind after the burst. A
// refused client comes back through another host, which may be less busy.
//
// The package is pure: it reads no clock and starts no goroutine.
package overload

import (
	"math"
	"time"
)

const (
	// SampleInterval is the time between two samples of the delay.
	SampleInterval = 100 * time.Millisecond
	// window is the time in which the least delay must exceed the target for the host to
	// be behind. A host that has used up its share of a processor stands still for up to
	// a tenth of a second, and is not behind if it catches up within some of these.
	window = 400 * time.Millisecond
	// minSamples count however old they are, so that one long halt alone says nothing.
	minSamples = 3
	// targetDelay is the delay that a host may have at all times: well below the time of the
	// shortest answers.
	targetDelay = 25 * time.Millisecond
	// shareIncrease is added to the refused share for each interval with a delay of the target
	// above it, up to maxShareIncrease.
	shareIncrease    = 0.05
	maxShareIncrease = 0.25
	// shareDecay times the refused share is left after an interval without delay, and
	// minShare is no share at all.
	shareDecay = 0.85
	minShare   = 0.01
	// maxShare leaves some requests to learn from when the host keeps up again.
	maxShare = 0.95
	// arrivalTimeConstant is the time constant of the mean rate of arrivals by tier.
	arrivalTimeConstant = time.Second
	// maxTiers is the number of ranks that policy allows.
	maxTiers = 16
)

// updateInterval is the time between two changes of the refused share.
const updateInterval = 100 * time.Millisecond

// sample is the delay of one wake-up.
type sample struct {
	at    time.Time
	delay time.Duration
}

// Guard follows the delay with which the process runs what is ready to run. It is not
// safe for concurrent use.
//
// Invariant: a request is refused only if all requests of lower tiers are.
type Guard struct {
	samples    []sample
	lastUpdate time.Time
	lastDecay  time.Time
	// arrivals are the requests of each tier within the memory.
	arrivals [maxTiers]float64
	// share of the arrivals is refused.
	share float64
}

// Observe notes the delay of a wake-up that was due SampleInterval after the one before.
func (g *Guard) Observe(now time.Time, delay time.Duration) {
	g.expire(now)
	g.samples = append(g.samples, sample{at: now, delay: delay})
	if g.lastUpdate.IsZero() {
		g.lastUpdate = now
	}
	if now.Sub(g.lastUpdate) < updateInterval {
		return
	}
	g.lastUpdate = now
	g.updateShare(g.minDelay())
}

// resetAfterPause drops what is older than the window, and ages the arrivals.
func (g *Guard) expire(now time.Time) {
	first := 0
	for len(g.samples)-first >= minSamples && now.Sub(g.samples[first].at) > window {
		first++
	}
	g.samples = append(g.samples[:0], g.samples[first:]...)
	decay := math.Exp(-now.Sub(g.lastDecay).Seconds() / arrivalTimeConstant.Seconds())
	for i := range g.arrivals {
		g.arrivals[i] *= decay
	}
	g.lastDecay = now
}

// minDelay returns the least delay in the window: what a short halt doesn't cause.
func (g *Guard) minDelay() time.Duration {
	delay := g.samples[0].delay
	for _, s := range g.samples {
		delay = min(delay, s.delay)
	}
	if len(g.samples) < minSamples {
		return 0
	}
	return delay
}

func (g *Guard) updateShare(delay time.Duration) {
	if delay <= targetDelay {
		if g.share *= shareDecay; g.share < minShare {
			g.share = 0
		}
		return
	}
	excess := float64(delay-targetDelay) / float64(targetDelay)
	g.share = min(maxShare, g.share+min(maxShareIncrease, shareIncrease*(1+excess)))
}

// Share returns the part of the arrivals that is refused.
func (g *Guard) Share() float64 { return g.share }

// Admit counts an arrival of a tier and reports whether it is taken. point is a random
// number in [0, 1).
func (g *Guard) Admit(tier int, random float64) bool {
	tier = min(max(tier, 0), maxTiers-1)
	g.arrivals[tier]++
	if g.share == 0 {
		return true
	}
	total, lower := 0.0, 0.0
	for i, n := range g.arrivals {
		total += n
		if i > tier {
			lower += n
		}
	}
	refused := (g.share*total - lower) / g.arrivals[tier]
	return random >= refused
}
