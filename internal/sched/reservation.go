package sched

import (
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/retryslot"
)

// minNoServerRetry is the minimum advised delay while no server takes work: about as long
// as an ejected one waits for its probes.
const minNoServerRetry = 2 * time.Second

// quotaJitter spreads the callers of an organisation whose quota has refilled.
const quotaJitter = time.Second

// reservationKey identifies a request across its attempts.
func (w *waiter) reservationKey() retryslot.Key {
	return retryslot.Key{
		Organisation: w.Organisation, Caller: w.Caller, Tier: w.Tier, Fingerprint: w.Fingerprint,
	}
}

// redeemReservation gives a request that is retried at its reserved time the queue position
// of its first attempt within its caller.
func (p *Pool) redeemReservation(now time.Time, w *waiter) {
	if !p.fair() || w.bound() {
		return
	}
	if !w.FirstArrival.IsZero() {
		w.effectiveArrival, w.redeemed = w.FirstArrival, true
		return
	}
	if arrived, ok := p.retryReservations.Redeem(now, w.reservationKey()); ok {
		w.effectiveArrival, w.redeemed = arrived, true
	}
}

// FirstArrival returns the arrival of the first attempt of a waiting request that
// redeemed a retry reservation; zero for any other request.
func (p *Pool) FirstArrival(request string) time.Time {
	if w := p.queue.byID[request]; w != nil && w.redeemed {
		return w.effectiveArrival
	}
	return time.Time{}
}

// retryAfter returns the delay after which a refused request should be retried; 0 advises
// none.
func (p *Pool) retryAfter(w *waiter, refusal message.RefusalReason) time.Duration {
	switch refusal {
	case message.RefusalReasonInfeasible:
		return 0
	case message.RefusalReasonQuota:
		return p.quota(w.Organisation).wait(p.callTime) + p.retryReservations.Jitter(quotaJitter)
	case message.RefusalReasonNoServer:
		return minNoServerRetry + p.retryReservations.Jitter(minNoServerRetry)
	}
	leftover := p.leftoverShare(w.tier)
	return p.retryReservations.Reserve(p.callTime, w.reservationKey(), retryslot.Work{
		Tokens: float64(w.tokens), Arrived: w.effectiveArrival,
		BacklogTime: time.Duration(float64(p.expectedCallerWait(w)) / leftover),
		Rate:        leftover * (p.tokensPerSecond() + p.remoteRate),
	})
}

// SetRemoteRate sets the throughput, in tokens per second, of the pools of other zones
// that a refused request may also be sent to.
func (p *Pool) SetRemoteRate(tokensPerSecond float64) { p.remoteRate = tokensPerSecond }
