// Package overload decides which requests an entry host refuses because its processor
// is overloaded.
//
// It is meant for bursts at hosts with a small share of a processor. If such a host
// refused nothing, it would work on requests whose clients have long left, and stay
// behind after the burst. A refused client retries at another host, which may be less
// busy.
//
// As in CoDel, the signal is the minimum delay within a window. The refused share of
// the requests increases additively while that delay exceeds its target, and decreases
// multiplicatively otherwise (AIMD). Lower tiers are refused first.
//
// The package is pure: it reads no clock and starts no goroutine.
package overload

import (
	"math"
	"time"
)

const (
	// SampleInterval is the time between two samples of the scheduling delay.
	SampleInterval = 100 * time.Millisecond
	// window is the time within which all delays must exceed the target for the host to
	// be overloaded. A host that has used up its CPU quota is throttled for up to
	// 100 ms; if it catches up within a few such periods, it is not overloaded.
	window = 400 * time.Millisecond
	// minSamples is the number of newest samples that count regardless of their age, so
	// that one long pause alone causes no refusals.
	minSamples = 3
	// targetDelay is the largest delay that does not raise the refused share. It is well
	// below the time that the shortest responses take.
	targetDelay = 25 * time.Millisecond
	// shareIncrease times the ratio of delay to target is added to the refused share
	// after each interval with a delay above the target, up to maxShareIncrease.
	shareIncrease    = 0.05
	maxShareIncrease = 0.25
	// shareDecay multiplies the refused share after an interval with a delay up to the
	// target. A share below minShare becomes zero.
	shareDecay = 0.85
	minShare   = 0.01
	// maxShare is below 1, so that the host always serves some requests and the delay
	// under their load shows whether it keeps up.
	maxShare = 0.95
	// arrivalTimeConstant is the time constant with which the arrivals of each tier
	// decay.
	arrivalTimeConstant = time.Second
	// maxTiers is the number of tier ranks that a policy allows.
	maxTiers = 16
)

// updateInterval is the time between two updates of the refused share.
const updateInterval = 100 * time.Millisecond

// sample is the delay of one wake-up.
type sample struct {
	at    time.Time
	delay time.Duration
}

// Guard tracks the scheduling delay of the process, which is how late its timers fire,
// and refuses a share of the requests while the process is overloaded. It is not safe
// for concurrent use.
//
// Invariant: a request is refused only while all requests of lower tiers are refused.
type Guard struct {
	samples    []sample
	lastUpdate time.Time
	lastDecay  time.Time
	// arrivals are the exponentially decayed numbers of requests by tier.
	arrivals [maxTiers]float64
	// share is the share of the arrivals that is refused, from 0 to maxShare.
	share float64
}

// Observe records the delay of a wake-up that was due SampleInterval after the previous
// one. It updates the refused share once per updateInterval.
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

// expire drops the samples that are older than the window, and decays the arrivals.
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

// minDelay returns the minimum delay in the window, or 0 if there are fewer than
// minSamples. A pause that delays only some of the wake-ups leaves the minimum low.
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

// updateShare raises the refused share if the minimum delay in the window exceeds
// targetDelay, and lowers it otherwise.
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

// Share returns the share of the arrivals that is refused, from 0 to maxShare.
func (g *Guard) Share() float64 { return g.share }

// Admit reports whether a request is admitted, and counts its arrival. tier is the rank
// of its tier, where 0 is the highest; random is uniformly distributed in [0, 1). The
// tier is refused to the extent that refusing all lower tiers falls short of the share.
// The request itself doesn't count yet: else each tier would be judged by other arrivals,
// and a higher tier could be refused beside a lower one that is admitted.
func (g *Guard) Admit(tier int, random float64) bool {
	tier = min(max(tier, 0), maxTiers-1)
	total, lower := 0.0, 0.0
	for i, n := range g.arrivals {
		total += n
		if i > tier {
			lower += n
		}
	}
	excess := g.share*total - lower
	admitted := excess <= 0 || random*g.arrivals[tier] >= excess
	g.arrivals[tier]++
	return admitted
}
