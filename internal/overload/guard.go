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
	// leastSamples count however old they are, so that one long halt alone says nothing.
	leastSamples = 3
	// target is the delay that a host may have at all times: well below the time of the
	// shortest answers.
	target = 25 * time.Millisecond
	// raise is added to the refused share for each interval with a delay of the target
	// above it, up to maxRaise.
	raise    = 0.05
	maxRaise = 0.25
	// relief times the refused share is left after an interval without delay, and
	// leastShare is no share at all.
	relief     = 0.85
	leastShare = 0.01
	// mostShare leaves some requests to learn from when the host keeps up again.
	mostShare = 0.95
	// arrivalMemory is the time constant of the mean rate of arrivals by tier.
	arrivalMemory = time.Second
	// maxTiers is the number of ranks that policy allows.
	maxTiers = 16
)

// decideInterval is the time between two changes of the refused share.
const decideInterval = 100 * time.Millisecond

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
	samples []sample
	decided time.Time
	counted time.Time
	// arrivals are the requests of each tier within the memory.
	arrivals [maxTiers]float64
	// share of the arrivals is refused.
	share float64
}

// Observe notes the delay of a wake-up that was due SampleInterval after the one before.
func (g *Guard) Observe(now time.Time, delay time.Duration) {
	g.forget(now)
	g.samples = append(g.samples, sample{at: now, delay: delay})
	if g.decided.IsZero() {
		g.decided = now
	}
	if now.Sub(g.decided) < decideInterval {
		return
	}
	g.decided = now
	g.decide(g.standing())
}

// forget drops what is older than the window, and ages the arrivals.
func (g *Guard) forget(now time.Time) {
	first := 0
	for len(g.samples)-first >= leastSamples && now.Sub(g.samples[first].at) > window {
		first++
	}
	g.samples = append(g.samples[:0], g.samples[first:]...)
	fade := math.Exp(-now.Sub(g.counted).Seconds() / arrivalMemory.Seconds())
	for i := range g.arrivals {
		g.arrivals[i] *= fade
	}
	g.counted = now
}

// standing returns the least delay in the window: what a short halt doesn't cause.
func (g *Guard) standing() time.Duration {
	least := g.samples[0].delay
	for _, s := range g.samples {
		least = min(least, s.delay)
	}
	if len(g.samples) < leastSamples {
		return 0
	}
	return least
}

func (g *Guard) decide(standing time.Duration) {
	if standing <= target {
		if g.share *= relief; g.share < leastShare {
			g.share = 0
		}
		return
	}
	beyond := float64(standing-target) / float64(target)
	g.share = min(mostShare, g.share+min(maxRaise, raise*(1+beyond)))
}

// Share returns the part of the arrivals that is refused.
func (g *Guard) Share() float64 { return g.share }

// Admit counts an arrival of a tier and reports whether it is taken. point is a random
// number in [0, 1).
func (g *Guard) Admit(tier int, point float64) bool {
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
	return point >= refused
}
