package sched

import (
	"cmp"
	"slices"
	"time"

	"mimosafront/internal/message"
)

// A parked request was revoked, and its server holds its state. It waits again, bound to
// that server, and is served before the requests of its caller that have not run.
// In all other respects it is a waiting request of its tier: it is charged for the
// remaining work, and shed in the same order.

// bound reports whether only one server can serve the request.
func (w *waiter) bound() bool { return w.Server != "" }

// allows reports whether the request may run on a server.
func (w *waiter) allows(s *server) bool {
	if w.bound() && w.Server != s.Name {
		return false
	}
	return len(w.Excluded) == 0 || !slices.Contains(w.Excluded, s.Name)
}

// HasBoundRequests reports whether parked requests wait for a server.
func (p *Pool) HasBoundRequests(server string) bool {
	for _, w := range p.queue.byID {
		if w.Server == server {
			return true
		}
	}
	return false
}

// prepend adds a request at the head of its caller's queue.
func (c *callerQueue) prepend(w *waiter) {
	w.next = c.head
	if c.head == nil {
		c.tail = w
	} else {
		c.head.prev = w
	}
	c.head = w
}

// latestBoundStart returns the latest time for the grant of a bound request if it is to
// finish in time on its server. The estimate has no allowance for errors: a failed attempt
// wastes nothing, because the prefill was done before.
func (p *Pool) latestBoundStart(w *waiter) time.Time {
	s := p.byName[w.Server]
	if s == nil {
		return w.Deadline
	}
	expected := s.speed.firstTokenTime(w.PromptTokens) + s.speed.outputTime(p.estimate.outputTokens(w.Request))
	return w.Deadline.Add(-expected - startSlack)
}

// mayRevokeOn reports whether lower work on a server may be revoked for w: on servers that
// could run w, and for a bound request on all that take work. Its own server is not enough
// for a bound request, which was revoked there when no lower work ran on it.
func (p *Pool) mayRevokeOn(s *server, w *waiter) bool {
	if w.bound() {
		return s.health.takesWork() && !s.closed()
	}
	return p.accepts(s, w)
}

// revokeElsewhere revokes all work below a tier for a bound request. The request can't
// use other servers, but while lower work runs there, it must not be refused and work of
// the tier must not be revoked for it.
func (p *Pool) revokeElsewhere(w *waiter, tier int) {
	if !w.bound() {
		return
	}
	for p.revokeLowest(w, tier, "") {
	}
}

// laterOfCaller returns the newest request of the same caller that is served after w,
// and that w may displace from a full queue: a bound request is served before
// those that have not run, a redeemed one before later arrivals. It returns nil if there
// is none.
func (p *Pool) laterOfCaller(w *waiter) *waiter {
	o := p.queue.tiers[w.tier].organisations[w.organisation]
	if o == nil || !w.bound() && !w.redeemed {
		return nil
	}
	c := o.callers[w.callerName]
	if c == nil || c.tail == nil || c.tail.bound() {
		return nil
	}
	if !w.bound() && !c.tail.effectiveArrival.After(w.effectiveArrival) {
		return nil
	}
	return c.tail
}

// refuseStranded refuses the bound requests whose server no longer takes work.
func (p *Pool) refuseStranded() {
	var stranded []*waiter
	for _, w := range p.queue.byID {
		if w.bound() && !p.servable(w) {
			stranded = append(stranded, w)
		}
	}
	slices.SortFunc(stranded, func(a, b *waiter) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range stranded {
		p.dequeue(w)
		p.refuse(w, message.RefusalReasonNoServer, "the backend server that holds the request takes no work")
	}
}
