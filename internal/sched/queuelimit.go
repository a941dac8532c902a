package sched

import "mimosafront/internal/message"

// makeQueueRoom keeps the queue within its bounds. To queue a request it goes through
// the lower tiers, the lowest first, and in each refuses waiting work or, when
// none waits, revokes a running grant. Then it refuses waiting work of the same
// tier of the organisation, then the caller, most over its share, the newest
// first. It reports false if the request itself is refused.
//
// Each request queued beyond the bounds stands against a revoked grant, which
// bounds the excess by what runs.
func (p *Pool) makeQueueRoom(w *waiter) bool {
	for p.queueFull(w) {
		lowest := max(p.queue.lowestWaiting(), w.tier)
		if p.revokeLowest(w, lowest, "") {
			p.excess.grow(p.queue.waiting+1-p.config.MaxWaiting, p.queue.tokens+w.tokens-p.config.MaxWaitingTokens)
			return true
		}
		if lowest > w.tier {
			p.displace(p.queue.tiers[lowest].shedCandidate(), "its place in the queue is needed by a higher tier")
			continue
		}
		victim := p.queue.tiers[w.tier].displacementVictim(w)
		if victim == nil {
			victim = p.laterOfCaller(w)
		}
		if victim == nil {
			p.refuse(w, message.RefusalReasonQueueFull, "the queue is full of requests that go first")
			return false
		}
		p.revokeLower(victim)
		p.dequeue(victim)
		p.refuse(victim, message.RefusalReasonQueueFull, "the queue is full and the organisation is most over its share")
	}
	return true
}

// excess is the part of a queue beyond its bounds.
type excess struct{ requests, tokens int }

// grow raises the excess to what the queue is over its bounds.
func (e *excess) grow(requests, tokens int) {
	e.requests = max(e.requests, requests)
	e.tokens = max(e.tokens, tokens)
}

// shrink lowers the excess to what the queue is still over its bounds.
func (e *excess) shrink(requests, tokens int) {
	e.requests = min(e.requests, max(requests, 0))
	e.tokens = min(e.tokens, max(tokens, 0))
}

// queueFull reports whether the queue has no place for a request.
func (p *Pool) queueFull(w *waiter) bool {
	return p.queue.waiting+1 > p.config.MaxWaiting+p.excess.requests ||
		p.queue.tokens+w.tokens > p.config.MaxWaitingTokens+p.excess.tokens
}

// displace refuses a waiting request for one of a higher tier. What runs below
// the tier of the victim goes before it.
func (p *Pool) displace(victim *waiter, reason string) {
	p.revokeLower(victim)
	p.dequeue(victim)
	p.refuse(victim, message.RefusalReasonShed, reason)
}

// shedCandidate returns the newest request of the caller and organisation most over
// their shares. The tier must not be empty.
func (t *tierQueue) shedCandidate() *waiter {
	o, _ := t.shed.top()
	c, _ := o.shed.top()
	return c.tail
}

// displacementVictim returns the request that makes room for a newcomer of the same
// tier, or nil if the newcomer is itself the one most over its share.
func (t *tierQueue) displacementVictim(w *waiter) *waiter {
	own := t.organisations[w.organisation]
	if own == nil {
		own = &organisationQueue{tier: t}
	}
	top, ok := t.shed.top()
	if ok && top != own && top.projectedServed() > max(own.served, t.clock)+float64(own.waitingTokens+w.tokens) {
		return t.shedCandidate()
	}
	return own.displacementVictim(w)
}

// displacementVictim returns the request of another caller of the organisation that
// makes room for a newcomer, or nil.
func (o *organisationQueue) displacementVictim(w *waiter) *waiter {
	own := o.callers[w.callerName]
	if own == nil {
		own = &callerQueue{}
	}
	top, ok := o.shed.top()
	if ok && top != own && top.projectedServed() > max(own.served, o.clock)+float64(own.waitingTokens+w.tokens) {
		return top.tail
	}
	return nil
}

// makeOrganisationRoom keeps an organisation within its own bound of waiting
// requests, in the order of makeQueueRoom but among its own work only.
func (p *Pool) makeOrganisationRoom(w *waiter) bool {
	q := p.quota(w.Organisation)
	if q.limits.MaxWaiting == 0 || q.waiting < q.limits.MaxWaiting {
		return true
	}
	lowest, lower := p.queue.lowestOfOrganisation(w)
	if p.revokeLowest(w, max(lowest, w.tier), w.Organisation) {
		return true
	}
	if lower != nil {
		p.displaceWithinOrganisation(lower, "the organisation's place in the queue is needed by a higher tier")
		return true
	}
	if o := p.queue.tiers[w.tier].organisations[w.organisation]; o != nil && o.waiting > 0 {
		victim := o.displacementVictim(w)
		if victim == nil {
			victim = p.laterOfCaller(w)
		}
		if victim != nil {
			p.dequeue(victim)
			p.refuse(victim, message.RefusalReasonQueueFull, "the organisation's queue is full and the caller is most over its share")
			return true
		}
	}
	p.refuse(w, message.RefusalReasonQueueFull, "the organisation's queue is full")
	return false
}

// lowestOfOrganisation returns the lowest tier below a request's in which its organisation
// waits, and the request there that goes first; -1 and nil if there is none.
func (q *queue) lowestOfOrganisation(w *waiter) (int, *waiter) {
	for tier := MaxTiers - 1; tier > w.tier; tier-- {
		if o := q.tiers[tier].organisations[w.organisation]; o != nil && o.waiting > 0 {
			c, _ := o.shed.top()
			return tier, c.tail
		}
	}
	return noTier, nil
}

// displaceWithinOrganisation refuses a waiting request for one of a higher tier of the same
// organisation.
func (p *Pool) displaceWithinOrganisation(victim *waiter, reason string) {
	p.dequeue(victim)
	p.refuse(victim, message.RefusalReasonShed, reason)
}
