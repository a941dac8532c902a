package sched

import (
	"time"

	"mimosafront/internal/message"
)

// Feasibility check: a request that can't finish before its deadline is refused early, on
// arrival or, when servers slow down, while it waits. This matters in long floods: without
// it each request beyond what the pool can do waits for nearly its whole deadline
// before its caller learns that it could have gone elsewhere or come back later.

const (
	// maxInfeasiblePerTick bounds the waiting requests that one tick refuses, so that the
	// remaining ones are checked against new estimates.
	maxInfeasiblePerTick = 64
	// maxNewArrivalAge is the maximum time since the arrival of a request that is treated
	// as new: enough for asks to the coordinators of some zones. An older request is
	// the renewed ask of a queued one and has its queue position by its arrival.
	maxNewArrivalAge = 500 * time.Millisecond
	// minLeftoverShare of the throughput is always assumed for a tier, whatever higher
	// ones send: their load may end at any time.
	minLeftoverShare = 0.1
)

// infeasible reports whether a request can't finish before its deadline and no lower work
// could be shed for it. wait is the time that all servers together take for its backlog.
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

// leftoverShare returns the share of the throughput that the higher tiers leave to a tier at
// the rate at which they send now.
func (p *Pool) leftoverShare(tier int) float64 {
	speed := p.tokensPerSecond()
	if speed == 0 {
		return 1
	}
	arrivalRate := 0.0
	for i := range tier {
		arrivalRate += p.queue.tiers[i].arrivalRate
	}
	return max(minLeftoverShare, 1-arrivalRate/speed)
}

// expectedCallerWait returns the expected wait of one more request of a caller. Within the
// organisation, each other caller is served before it for at most as many tokens as its own
// caller has waiting.
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
