package asker

import (
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/verdict"
)

// Handle takes an answer of a coordinator. It returns the id of a grant that the
// coordinator revoked, if the front holds it. Answers to anything but the open
// ask change nothing; a grant among them is released unused.
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

// openAsk returns the request's ask if it is the one that the answer belongs to.
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
	s.grants[g.Grant] = newHeldGrant(now, from, a, g)
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

// retryLater asks again after an exponential delay: the views of two hosts
// differ until the next heartbeats.
func (s *State) retryLater(now time.Time, a *ask) {
	a.coordinator = ""
	a.retryDelay = min(max(2*a.retryDelay, s.config.RetryDelay), s.config.RetryDelayMax)
	a.retryAt = now.Add(a.retryDelay)
}

// handleRedirect asks in the zone that the coordinator names. An ask that the
// coordinator keeps goes on waiting there if the other pool can't be asked or has
// refused, and is withdrawn otherwise.
func (s *State) handleRedirect(now time.Time, from string, r *message.Redirect) {
	a := s.openAsk(from, r.Request, r.Attempt)
	if a == nil {
		return
	}
	pool := message.Pool{Zone: r.Zone, Target: a.pool.Target, Shard: a.pool.Shard}
	host, ok := s.topology.Coordinator(pool)
	ok = ok && !a.refusedBy(pool)
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

// Tick asks again where a retry is due and refuses the requests whose deadline
// passed or for which no coordinator could be reached for too long.
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

// firstTokenMargin is how long before its client gives up a request is refused that no
// coordinator has answered: the answer must still reach the client.
const firstTokenMargin = 100 * time.Millisecond

// firstTokenOverdue reports whether the client no longer waits for the first token. Coordinators
// refuse such requests sooner; this is for those that are too busy to.
func (a *ask) firstTokenOverdue(now time.Time) bool {
	limit := a.request.FirstLimit
	return limit > 0 && now.Sub(a.request.Arrived) >= limit-firstTokenMargin
}

// HostRestarted asks again for each request that waits on a host whose earlier
// incarnation has ended.
func (s *State) HostRestarted(now time.Time, host string) {
	for _, id := range sortedKeys(s.asks) {
		if a := s.asks[id]; a.coordinator == host {
			s.sendAsk(now, a, a.pool, host)
		}
	}
}

// LinkRestored repeats the asks that may have been lost with the link to a host.
func (s *State) LinkRestored(now time.Time, host string) {
	for _, id := range sortedKeys(s.asks) {
		if a := s.asks[id]; a.coordinator == host {
			s.resendAsk(now, a)
		}
	}
}

// ReaskAll drops what the front believed before a pause: requests that waited are
// asked again under a new attempt, so that earlier grants no longer match.
func (s *State) ReaskAll(now time.Time) {
	for _, id := range sortedKeys(s.asks) {
		a := s.asks[id]
		s.sendWithdraw(a)
		a.refusals = nil
		s.askNext(now, a)
	}
}
