package sched

import (
	"slices"
	"time"

	"mimosafront/internal/message"
)

const (
	// startSlack is the minimum slack of a request that is granted at its latest start,
	// from its expected end to its deadline: more than two intervals between ticks.
	startSlack = 150 * time.Millisecond
	// slackShare of the time from arrival to deadline is added to the error margin,
	// because during overload every served request starts near its latest start.
	slackShare = 0.1
	// revocationLead is how long before its latest start a request becomes urgent:
	// the time that a revocation takes to free a server.
	revocationLead = 500 * time.Millisecond
)

// admit checks an arriving request. It refuses the request and returns false, or makes
// room for it in the queue.
func (p *Pool) admit(now time.Time, w *waiter) bool {
	switch {
	case !p.servable(w):
		p.refuse(w, message.RefusalReasonNoServer, "no backend server takes work")
	case p.fair() && now.Add(p.estimate.minTime(w.Request)).After(w.Deadline):
		p.refuse(w, message.RefusalReasonInfeasible, "the fastest server can't finish before the deadline")
	case w.tokens > p.config.MaxWaitingTokens:
		p.refuse(w, message.RefusalReasonInfeasible, "larger than the whole queue may be")
	case p.refuseOverRateLimit(now, w):
	case p.quotaRefillsTooLate(now, w):
		p.shedOrganisation(w)
		p.refuse(w, message.RefusalReasonQuota, "the organisation's quota is spent until after the deadline")
	case w.NoWait:
		return true
	case p.infeasibleArrival(now, w):
		p.refuse(w, message.RefusalReasonDeadline, "the work that goes before it takes longer than its deadline leaves")
	default:
		return p.makeOrganisationRoom(w) && p.makeQueueRoom(w)
	}
	return false
}

// refuseOverRateLimit refuses a request beyond its organisation's rate limit. It
// reports whether the request was refused.
func (p *Pool) refuseOverRateLimit(now time.Time, w *waiter) bool {
	after, reason := p.overRateLimit(now, w.Request)
	if reason == "" {
		return false
	}
	p.act(Action{
		Kind: ActionRefuse, Request: w.Request, Refusal: message.RefusalReasonRateLimit,
		Reason: reason, RetryAfter: after + p.retryReservations.Jitter(quotaJitter),
	})
	return true
}

// servable reports whether any server can run the request, now or after the server's
// ejection.
func (p *Pool) servable(w *waiter) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return !s.closed() && s.health.state != down && w.allows(s)
	})
}

// quotaRefillsTooLate reports whether the quota refills only after the latest start of
// the request.
func (p *Pool) quotaRefillsTooLate(now time.Time, w *waiter) bool {
	wait := p.quota(w.Organisation).wait(now)
	return wait > 0 && now.Add(wait).After(p.latestStart(w))
}

// latestStart returns the latest time for the grant if the request is to finish in time.
func (p *Pool) latestStart(w *waiter) time.Time {
	if !p.fair() {
		return w.Deadline
	}
	if w.bound() {
		return p.latestBoundStart(w)
	}
	expected := p.estimate.expectedTime(w.Request)
	slack := time.Duration(slackShare * float64(w.Deadline.Sub(w.Arrived)))
	latest := w.Deadline.Add(-expected - max(w.errorAllowance(expected, p.estimate.errorMargin(w.Tier, expected)+slack), startSlack))
	if by, ok := p.latestFirstTokenStart(w); ok && by.Before(latest) {
		return by
	}
	return latest
}

// errorAllowance limits the time reserved for estimation errors to half of the
// request's spare time, so that a request with a tight deadline may still wait.
func (w *waiter) errorAllowance(expected, wanted time.Duration) time.Duration {
	spare := w.Deadline.Sub(w.Arrived) - expected
	return max(0, min(wanted, spare/2))
}

// updateWake recomputes when expireDue next processes a waiting request.
func (p *Pool) updateWake(w *waiter) {
	w.wake = p.nextWake(w)
	p.queue.byWake.fix(w.wakeIndex)
}

// nextWake returns when expireDue next processes the request.
func (p *Pool) nextWake(w *waiter) time.Time {
	if w.urgent || !p.fair() {
		return p.latestStart(w)
	}
	return p.latestStart(w).Add(-revocationLead)
}

// expireDue marks requests that approach their latest start as urgent and ends the wait
// of those that reached it. Learned speeds change, so both times are recomputed. It
// reports whether the reserved servers may have changed.
func (p *Pool) expireDue(now time.Time) (changed bool) {
	for {
		w, ok := p.queue.byWake.top()
		if !ok || w.wake.After(now) {
			return changed
		}
		p.updateWake(w)
		switch {
		case w.wake.After(now):
		case !w.urgent && p.fair():
			p.markUrgent(now, w)
		default:
			p.expire(now, w)
		}
		changed = true
	}
}

// refuse records the refusal of a request that is not in the queue.
func (p *Pool) refuse(w *waiter, refusal message.RefusalReason, reason string) {
	p.act(Action{
		Kind: ActionRefuse, Request: w.Request, Refusal: refusal, Reason: reason, RetryAfter: p.retryAfter(w, refusal),
	})
}

// noServerTimeout is how long requests wait while no server takes work.
const noServerTimeout = 2 * time.Second

// refuseWithoutServers refuses all waiting requests when no server has taken work for
// noServerTimeout, so that the fronts ask another coordinator.
func (p *Pool) refuseWithoutServers(now time.Time) {
	if p.TakesWork() {
		p.lastAvailable = now
		return
	}
	if now.Sub(p.lastAvailable) < noServerTimeout {
		return
	}
	for tier := p.queue.lowestWaiting(); tier >= 0; tier = p.queue.lowestWaiting() {
		w := p.queue.tiers[tier].shedCandidate()
		p.dequeue(w)
		p.refuse(w, message.RefusalReasonNoServer, "no backend server takes work")
	}
}
