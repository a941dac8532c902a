package sched

import (
	"time"

	"mimosafront/internal/message"
)

// Work that can't start before its deadline is refused at once: on arrival, and
// while it waits when the servers slow down. It answers floods that last: without
// it each request beyond what the pool can do waits for nearly its whole deadline
// before its caller learns that it could have gone elsewhere or come back later.

const (
	// maxHopeless bounds the waiting requests that one tick refuses, so that the
	// estimate is made anew with what is left.
	maxHopeless = 64
	// newcomerTime bounds the time since the arrival of a request that was not queued
	// yet: the way to the coordinators of some zones. One that has waited for longer
	// is asked for again and has its place by its arrival.
	newcomerTime = 500 * time.Millisecond
	// leastLeftShare of the servers' speed is counted on for a tier, whatever higher
	// ones send: their load may end at any time.
	leastLeftShare = 0.1
)

// hopeless reports whether a request can't finish before its deadline, since all
// servers together take a given time for the work that goes before it, and nothing
// lower could give way to it.
func (p *Pool) hopeless(now time.Time, w *waiter, wait time.Duration) bool {
	if !p.fair() || w.bound() || wait == 0 {
		return false
	}
	if !w.returned {
		own := p.tokensPerSecond()
		wait = p.returns.NewcomerWait(now, w.returnKey(), wait, (own+p.remoteRate)/own)
	}
	if !now.Add(wait).After(p.latestStart(w)) {
		return false
	}
	return p.queue.lowestWaiting() <= w.tier && p.lowestRunning(w) == w.tier && p.ending(w) == nil
}

// hopelessArrival reports whether a request that was not queued before is hopeless
// behind all that its caller has waiting.
func (p *Pool) hopelessArrival(now time.Time, w *waiter) bool {
	if w.returned || now.Sub(w.since) > newcomerTime {
		return false
	}
	return p.hopeless(now, w, p.waitOf(w))
}

// leftShare is the part of the servers' speed that the higher tiers leave to a tier at
// the rate at which they send now.
func (p *Pool) leftShare(tier int) float64 {
	speed := p.tokensPerSecond()
	if speed == 0 {
		return 1
	}
	flow := 0.0
	for i := range tier {
		flow += p.queue.tiers[i].flow
	}
	return max(leastLeftShare, 1-flow/speed)
}

// waitOf returns the expected wait of a request that is not in the queue. Within
// its organisation each caller is ahead by at most as much as its own caller has
// waiting.
func (p *Pool) waitOf(w *waiter) time.Duration {
	o := p.queue.tiers[w.tier].organisations[w.organisation]
	if o == nil {
		return p.waitBehind(w.tier, w.tokens)
	}
	caller := w.tokens
	if c := o.callers[w.callerName]; c != nil {
		caller += c.waitingTokens
	}
	ahead := min(o.waitingTokens, caller*o.shed.Len())
	return p.waitBehind(w.tier, w.tokens+ahead)
}

// refuseHopeless refuses the requests that go last in the lowest tier and have
// become hopeless.
func (p *Pool) refuseHopeless(now time.Time) {
	for range maxHopeless {
		tier := p.queue.lowestWaiting()
		if tier == noTier {
			return
		}
		w := p.queue.tiers[tier].newest()
		if !p.hopeless(now, w, p.waitBehind(tier, w.caller.organisation.waitingTokens)) {
			return
		}
		p.dequeue(w)
		p.refuse(w, message.RefusalReasonDeadline, "the work that goes before it takes longer than its deadline leaves")
	}
}
