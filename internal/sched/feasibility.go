package sched

import (
	"time"

	"mimosafront/internal/message"
)

// Feasibility check: a request that can't start before its deadline is refused early, on
// arrival or, when servers slow down, while it waits. It answers floods that last: without
// it each request beyond what the pool can do waits for nearly its whole deadline
// before its caller learns that it could have gone elsewhere or come back later.

const (
	// maxInfeasiblePerTick bounds the waiting requests that one tick refuses, so that the
	// estimate is made anew with what is left.
	maxInfeasiblePerTick = 64
	// maxNewArrivalAge bounds the time since the arrival of a request that was not queued
	// yet: the way to the coordinators of some zones. One that has waited for longer
	// is a renewed ask and has its queue position by its arrival.
	maxNewArrivalAge = 500 * time.Millisecond
	// minLeftoverShare of the servers' speed is counted on for a tier, whatever higher
	// ones send: their load may end at any time.
	minLeftoverShare = 0.1
)

// infeasible reports whether a request can't finish before its deadline after the given
// wait, the time that all servers together take for its backlog, and no lower work could
// be shed for it.
func (p *Pool) infeasible(now time.Time, w *waiter, wait time.Duration) bool {
	if !p.fair() || w.bound() || wait == 0 {
		return false
	}
	if !w.redeemed {
		own := p.tokensPerSecond()
		wait = p.retryReservations.NewcomerWait(now, w.reservationKey(), wait, (own+p.remoteRate)/own)
	}
	if !now.Add(wait).After(p.latestStart(w)) {
		return false
	}
	return p.queue.lowestWaiting() <= w.tier && p.lowestRunning(w) == w.tier && p.serverWithRevoked(w) == nil
}

// infeasibleArrival reports whether a request that was not queued before is infeasible
// behind all that its caller has waiting.
func (p *Pool) infeasibleArrival(now time.Time, w *waiter) bool {
	if w.redeemed || now.Sub(w.effectiveArrival) > maxNewArrivalAge {
		return false
	}
	return p.infeasible(now, w, p.expectedCallerWait(w))
}

// leftoverShare is the part of the servers' speed that the higher tiers leave to a tier at
// the rate at which they send now.
func (p *Pool) leftoverShare(tier int) float64 {
	throughput := p.tokensPerSecond()
	if throughput == 0 {
		return 1
	}
	arrivalRate := 0.0
	for i := range tier {
		arrivalRate += p.queue.tiers[i].arrivalRate
	}
	return max(minLeftoverShare, 1-arrivalRate/throughput)
}

// expectedCallerWait returns the expected wait of a request that is not in the queue. Within
// its organisation, each other caller is served before it for at most as many tokens as
// its own caller has waiting.
func (p *Pool) expectedCallerWait(w *waiter) time.Duration {
	o := p.queue.tiers[w.tier].organisations[w.organisation]
	if o == nil {
		return p.waitForTokens(w.tier, w.tokens)
	}
	caller := w.tokens
	if c := o.callers[w.callerName]; c != nil {
		caller += c.waitingTokens
	}
	backlog := min(o.waitingTokens, caller*o.shed.Len())
	return p.waitForTokens(w.tier, w.tokens+backlog)
}

// refuseInfeasible refuses requests of the lowest waiting tier, in shedding order, that
// have become infeasible.
func (p *Pool) refuseInfeasible(now time.Time) {
	for range maxInfeasiblePerTick {
		tier := p.queue.lowestWaiting()
		if tier == noTier {
			return
		}
		w := p.queue.tiers[tier].shedCandidate()
		if !p.infeasible(now, w, p.waitForTokens(tier, w.caller.organisation.waitingTokens)) {
			return
		}
		p.dequeue(w)
		p.refuse(w, message.RefusalReasonDeadline, "the work that goes before it takes longer than its deadline leaves")
	}
}
