package asker

import (
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/verdict"
)

// Handle applies a coordinator's answer. It returns the id of a grant that the
// coordinator revoked, if the front holds it. Answers to any other ask than the open
// one change nothing; a grant among them is released unused.
func (s *State) Handle(now time.Time, from string, f *message.Frame) (revoked string) {
	switch {
	case f.Grant != nil:
		s.handleGrant(now, from, f.Grant)
	case f.Refusal != nil:
		s.handleRefusal(now, from, f.Refusal)
	case f.Redirect != nil:
		s.handleRedirect(now, from, f.Redirect)
	case f.Revoke != nil:
		if s.grants[f.Revoke.Grant] != nil {
			return f.Revoke.Grant
		}
	}
	return ""
}

// openAsk returns the request's ask if the answer belongs to it, otherwise nil.
func (s *State) openAsk(from, request string, attempt int) *ask {
	a := s.asks[request]
	if a == nil || a.coordinator != from || a.attempt != attempt {
		return nil
	}
	return a
}

func (s *State) handleGrant(now time.Time, from string, g *message.Grant) {
	if s.grants[g.Grant] != nil {
		return
	}
	a := s.openAsk(from, g.Request, g.Attempt)
	if a == nil {
		s.send(from, message.Frame{Release: &message.Release{
			Grant: g.Grant, Request: g.Request, Pool: g.Pool, Outcome: message.ReleaseOutcomeUnused,
		}})
		return
	}
	delete(s.asks, g.Request)
	s.grants[g.Grant] = s.newHeldGrant(now, from, a, g)
	s.outcomes = append(s.outcomes, Outcome{Request: g.Request, Grant: g, From: from})
}

func (s *State) handleRefusal(now time.Time, from string, r *message.Refusal) {
	a := s.openAsk(from, r.Request, r.Attempt)
	if a == nil {
		return
	}
	switch r.Reason {
	case message.RefusalReasonNotCoordinator, message.RefusalReasonWithdrawn:
		s.retryLater(now, a)
	case message.RefusalReasonPoison, message.RefusalReasonRateLimit:
		a.refusals = []message.Refusal{*r}
		s.fail(a, refusalError(a.refusals))
	default:
		refusal := *r
		refusal.Pool = a.pool
		a.refusals = append(a.refusals, refusal)
		s.askNext(now, a)
	}
}

// retryLater schedules another ask with exponential backoff: until the next heartbeats,
// the front's topology may differ from the host's.
func (s *State) retryLater(now time.Time, a *ask) {
	a.coordinator = ""
	a.retryDelay = min(max(2*a.retryDelay, s.config.RetryDelay), s.config.RetryDelayMax)
	a.retryAt = now.Add(a.retryDelay)
}

// handleRedirect asks in the zone that the coordinator names. If the coordinator keeps
// the ask in its queue, the ask is withdrawn there before the other pool is asked; it
// stays there if the other pool is unreachable, closed or has refused, or if the wait was ended
// by EndWait.
func (s *State) handleRedirect(now time.Time, from string, r *message.Redirect) {
	a := s.openAsk(from, r.Request, r.Attempt)
	if a == nil {
		return
	}
	pool := message.Pool{Zone: r.Zone, Target: a.pool.Target, Shard: a.pool.Shard}
	host, ok := s.topology.Coordinator(pool)
	ok = ok && !a.refusedBy(pool) && !s.topology.Closed(pool)
	if r.Kept && (!ok || a.noWait) {
		return
	}
	if r.Kept {
		s.sendWithdraw(a)
		a.moves++
	}
	a.redirected = true
	if !ok {
		s.askNext(now, a)
		return
	}
	s.sendAsk(now, a, pool, host)
}

// Tick asks again where a retry or renewal is due. It refuses requests whose deadline
// or limit for the first token has passed, and those for which no coordinator could be
// reached for too long.
func (s *State) Tick(now time.Time) {
	for _, id := range sortedKeys(s.asks) {
		a := s.asks[id]
		switch {
		case !now.Before(a.request.Deadline):
			s.sendWithdraw(a)
			s.fail(a, apierror.New(apierror.CodeDeadline, verdict.NotRun, "the deadline passed while the request waited"))
		case a.firstTokenOverdue(now):
			s.sendWithdraw(a)
			s.fail(a, apierror.New(apierror.CodeDeadline, verdict.NotRun, "no coordinator answered while the client waited for its first token").
				WithRetry(s.config.Patience))
		case !a.retryAt.IsZero() && !now.Before(a.retryAt):
			s.askNext(now, a)
		case a.coordinator != "" && now.Sub(a.askedAt) >= renewDelay<<a.renewals:
			a.renewals++
			s.sendAsk(now, a, a.pool, a.coordinator)
		case !a.unreachableSince.IsZero() && now.Sub(a.unreachableSince) >= s.config.Patience:
			s.fail(a, apierror.New(apierror.CodeNoServer, verdict.NotRun, "no pool of %s can be reached", a.request.Target).
				WithRetry(s.config.Patience))
		}
	}
}

// firstTokenMargin is how long before the limit for the first token the front refuses
// an unanswered request, so that the refusal reaches the client before it gives up.
const firstTokenMargin = 100 * time.Millisecond

// firstTokenOverdue reports whether the client is about to give up waiting for the
// first token. Coordinators refuse such requests sooner, unless they are too busy.
func (a *ask) firstTokenOverdue(now time.Time) bool {
	limit := a.request.FirstLimit
	return limit > 0 && now.Sub(a.request.Arrived) >= limit-firstTokenMargin
}

// HostRestarted asks again for each request that waits on a host that has restarted.
func (s *State) HostRestarted(now time.Time, host string) {
	for _, id := range sortedKeys(s.asks) {
		if a := s.asks[id]; a.coordinator == host {
			s.sendAsk(now, a, a.pool, host)
		}
	}
}

// LinkRestored resends the asks that may have been lost with the link to a host.
func (s *State) LinkRestored(now time.Time, host string) {
	for _, id := range sortedKeys(s.asks) {
		if a := s.asks[id]; a.coordinator == host {
			s.resendAsk(now, a)
		}
	}
}

// ReaskAll replaces all asks after a pause of the process, in which they may have
// become stale. New attempt numbers keep grants for the earlier asks from matching, and
// earlier refusals are discarded.
func (s *State) ReaskAll(now time.Time) {
	for _, id := range sortedKeys(s.asks) {
		a := s.asks[id]
		s.sendWithdraw(a)
		a.refusals = nil
		s.askNext(now, a)
	}
}
