package sched

import "time"

// quota holds the limits of one organisation in the pool and its usage. The token quota
// is a token bucket with debt.
type quota struct {
	limits Limits
	// waiting is the number of waiting requests.
	waiting int
	// tokens is the remaining quota, which refills steadily up to the amount of one
	// minute; a negative value is debt.
	tokens     float64
	lastRefill time.Time
	// dropped quotas were removed from Pool.quotas and must be looked up again.
	dropped bool
}

// SetLimits replaces the limits of all organisations.
func (p *Pool) SetLimits(now time.Time, limits map[string]Limits) {
	p.setClaimLimits(now, limits)
	for name, q := range p.quotas {
		q.limits = limits[name]
	}
	for name, l := range limits {
		if l != (Limits{}) {
			p.quota(name).limits = l
		}
	}
}

// quota returns the quota of an organisation and creates it if missing.
func (p *Pool) quota(organisation string) *quota {
	q := p.quotas[organisation]
	if q == nil {
		q = &quota{}
		p.quotas[organisation] = q
	}
	return q
}

// quotaOf returns the quota of a waiting organisation.
func (p *Pool) quotaOf(o *organisationQueue) *quota {
	if o.quota == nil || o.quota.dropped {
		o.quota = p.quota(o.name)
	}
	return o.quota
}

// quotaFor returns the quota of a request's organisation. In the baselines it differs from
// the organisation of the queue, because all requests wait in the queue of one nameless
// organisation.
func (p *Pool) quotaFor(c *callerQueue, r *Request) *quota {
	if c.organisation.name == r.Organisation {
		return p.quotaOf(c.organisation)
	}
	return p.quota(r.Organisation)
}

// refill adds the tokens earned since the last refill.
func (q *quota) refill(now time.Time) {
	full := float64(q.limits.TokensPerMinute)
	if q.lastRefill.IsZero() {
		q.tokens = full
	} else if passed := now.Sub(q.lastRefill); passed > 0 {
		q.tokens = min(q.tokens+full*passed.Minutes(), full)
	}
	q.lastRefill = now
}

// spend takes tokens from the quota; a negative number returns them.
func (q *quota) spend(now time.Time, tokens float64) {
	if q.limits.TokensPerMinute > 0 {
		q.refill(now)
		q.tokens -= tokens
	}
}

// wait returns the time until the organisation may get a grant; 0 means now.
func (q *quota) wait(now time.Time) time.Duration {
	if q.limits.TokensPerMinute == 0 {
		return 0
	}
	q.refill(now)
	if q.tokens > 0 {
		return 0
	}
	minutes := (1 - q.tokens) / float64(q.limits.TokensPerMinute)
	return seconds(minutes * time.Minute.Seconds())
}

// hasQuota reports whether the request's organisation has quota left.
func (p *Pool) hasQuota(now time.Time, w *waiter) bool {
	return p.quota(w.Organisation).wait(now) == 0
}

// blockOnQuota removes the first organisations from the heap while their quota is used
// up, so that they don't block the others.
func (p *Pool) blockOnQuota(now time.Time, heap *orderedHeap[*organisationQueue]) {
	for {
		o, ok := heap.top()
		if !ok || p.quotaOf(o).wait(now) == 0 {
			return
		}
		o.quotaBlocked = true
		o.tier.updateHeaps(o)
		p.quotaBlocked = append(p.quotaBlocked, o)
	}
}

// unblockQuota returns the organisations whose quota has refilled to the heaps.
func (p *Pool) unblockQuota(now time.Time) {
	still := p.quotaBlocked[:0]
	for _, o := range p.quotaBlocked {
		if o.waiting > 0 && p.quota(o.name).wait(now) > 0 {
			still = append(still, o)
			continue
		}
		o.quotaBlocked = false
		o.served = max(o.served, o.tier.clock)
		o.tier.updateHeaps(o)
	}
	p.quotaBlocked = still
}

// pruneQuotas deletes the quotas of organisations without limits and waiting requests.
func (p *Pool) pruneQuotas(now time.Time) {
	for name, q := range p.quotas {
		if q.waiting == 0 && q.limits == (Limits{}) {
			q.dropped = true
			delete(p.quotas, name)
		}
	}
}
