package sched

import (
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/retryslot"
)

// serverRetry is the least advised delay while no server takes work: about as long
// as an ejected one waits for its probes.
const serverRetry = 2 * time.Second

// quotaJitter spreads the callers of an organisation whose quota has refilled.
const quotaJitter = time.Second

// returnKey names a request over its attempts.
func (w *waiter) returnKey() retryslot.Key {
	return retryslot.Key{
		Organisation: w.Organisation, Caller: w.Caller, Tier: w.Tier, Fingerprint: w.Fingerprint,
	}
}

// redeem gives a request that was refused before, and comes back when it was told
// to, its place among those of its caller.
func (p *Pool) redeem(now time.Time, w *waiter) {
	if !p.fair() || w.bound() {
		return
	}
	if !w.Since.IsZero() {
		w.since, w.returned = w.Since, true
		return
	}
	if arrived, ok := p.returns.Redeem(now, w.returnKey()); ok {
		w.since, w.returned = arrived, true
	}
}

// Since returns the first arrival of a waiting request that came back on time; zero
// for any other.
func (p *Pool) Since(request string) time.Time {
	if w := p.queue.byID[request]; w != nil && w.returned {
		return w.since
	}
	return time.Time{}
}

// retryAfter is the delay after which a refused request should come back; 0 advises
// none.
func (p *Pool) retryAfter(w *waiter, refusal message.RefusalReason) time.Duration {
	switch refusal {
	case message.RefusalReasonInfeasible:
		return 0
	case message.RefusalReasonQuota:
		return p.quota(w.Organisation).wait(p.now) + p.returns.Jitter(quotaJitter)
	case message.RefusalReasonNoServer:
		return serverRetry + p.returns.Jitter(serverRetry)
	}
	left := p.leftShare(w.tier)
	return p.returns.Reserve(p.now, w.returnKey(), retryslot.Work{
		Tokens: float64(w.tokens), Arrived: w.since,
		BacklogTime: time.Duration(float64(p.waitOf(w)) / left),
		Rate:        left * (p.tokensPerSecond() + p.remoteRate),
	})
}

// SetRemoteRate notes the work, in tokens a second, that the pools of other zones do
// which a refused request is asked for as well.
func (p *Pool) SetRemoteRate(tokensPerSecond float64) { p.remoteRate = tokensPerSecond }
