package sched

import "mimosafront/internal/message"

// makeQueueRoom keeps the queue within its limits. To admit a request, it processes the
// lower tiers from the lowest up: it refuses waiting requests or, if none wait, revokes
// a running grant. Then, in the request's own tier, it refuses the newest request of
// the organisation, and within it of the caller, that is most over its share. It
// returns false if the request itself is refused.
//
// Each request queued beyond the limits is matched by a revoked grant, so the excess is
// bounded by the number of running requests.
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

// excess is how far the queue may exceed its limits.
type excess struct{ requests, tokens int }

// grow raises the allowed excess to the given values.
func (e *excess) grow(requests, tokens int) {
	e.requests = max(e.requests, requests)
	e.tokens = max(e.tokens, tokens)
}

// shrink lowers the allowed excess to the given values.
func (e *excess) shrink(requests, tokens int) {
	e.requests = min(e.requests, max(requests, 0))
	e.tokens = min(e.tokens, max(tokens, 0))
}

// queueFull reports whether the queue has no room for a request.
func (p *Pool) queueFull(w *waiter) bool {
	return p.queue.waiting+1 > p.config.MaxWaiting+p.excess.requests ||
		p.queue.tokens+w.tokens > p.config.MaxWaitingTokens+p.excess.tokens
}

// displace refuses a waiting request in favour of one of a higher tier. All work below
// the victim's tier is revoked first.
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

// displacementVictim returns the request that a new request of the same tier displaces,
// or nil if the new request's own account is most over its share.
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

// displacementVictim returns the request of another caller of the organisation that a
// new request displaces, or nil.
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

// makeOrganisationRoom keeps an organisation within its own limit of waiting requests.
// It follows the order of makeQueueRoom, but affects only the organisation's own work.
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

// lowestOfOrganisation returns the lowest tier below that of w in which its
// organisation has waiting requests, and the request to shed there; noTier (-1) and nil
// if there is none.
func (q *queue) lowestOfOrganisation(w *waiter) (int, *waiter) {
	for tier := MaxTiers - 1; tier > w.tier; tier-- {
		if o := q.tiers[tier].organisations[w.organisation]; o != nil && o.waiting > 0 {
			c, _ := o.shed.top()
			return tier, c.tail
		}
	}
	return noTier, nil
}

// displaceWithinOrganisation refuses a waiting request in favour of one of a higher
// tier of the same organisation.
func (p *Pool) displaceWithinOrganisation(victim *waiter, reason string) {
	p.dequeue(victim)
	p.refuse(victim, message.RefusalReasonShed, reason)
}
