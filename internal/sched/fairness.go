package sched

// account holds the virtual token counter of an organisation or a caller in one tier,
// and the sums over its requests.
//
// The counter grows by the tokens of work that the account received, and the account
// with the lowest counter is served next (virtual token counter scheduling). All
// backlogged accounts thus receive the same rate, which is max-min fair. An account
// that becomes active is raised to the lowest counter of the active ones, so that idle
// time earns no credit.
type account struct {
	name string
	// served is the virtual token counter.
	served        float64
	waiting       int
	waitingTokens int
	running       int
	// activation breaks ties in favour of the account that became active first.
	activation uint64

	serveIndex int
	shedIndex  int
}

// servedBefore orders accounts by who is served next.
func (a *account) servedBefore(b *account) bool {
	if a.served != b.served {
		return a.served < b.served
	}
	return a.activation < b.activation
}

// projectedServed is the counter if all waiting requests of the account were served.
func (a *account) projectedServed() float64 { return a.served + float64(a.waitingTokens) }

// shedBefore orders accounts by whose waiting requests are shed first.
func (a *account) shedBefore(b *account) bool {
	if a.projectedServed() != b.projectedServed() {
		return a.projectedServed() > b.projectedServed()
	}
	return a.activation > b.activation
}

// activate raises the counter of an account whose first request arrives.
func (a *account) activate(clock float64, activation uint64) {
	a.served = max(a.served, clock)
	a.activation = activation
}

// idle reports whether the account can be deleted: nothing waits or runs, and a new
// account would start at the same counter.
func (a *account) idle(clock float64) bool {
	return a.waiting == 0 && a.running == 0 && a.served <= clock
}

// advanceClocks moves the virtual clocks to the lowest counters of the active accounts.
// It is called before a request of c is served.
func (c *callerQueue) advanceClocks() {
	o := c.organisation
	lowest := o.served
	if first, ok := o.tier.serve.top(); ok {
		lowest = min(lowest, first.served)
	}
	o.tier.clock = max(o.tier.clock, lowest)
	lowest = c.served
	if first, ok := o.serve.top(); ok {
		lowest = min(lowest, first.served)
	}
	o.clock = max(o.clock, lowest)
}

// charge adds tokens of work to the counters of a caller and its organisation; a
// negative number refunds an earlier charge.
func (c *callerQueue) charge(tokens float64) {
	o := c.organisation
	c.served += tokens
	o.served += tokens
	if c.waiting > 0 {
		o.updateHeaps(c)
	}
	if o.waiting > 0 {
		o.tier.updateHeaps(o)
	}
}

// chargeRemote adds tokens that an organisation received in other zones. Its lead over
// the others is limited, so that long exclusive use of another zone doesn't block the
// organisation here for as long.
func (o *organisationQueue) chargeRemote(tokens, maxLead float64) {
	limit := max(o.served, o.tier.clock+maxLead)
	o.served = min(max(o.served, o.tier.clock)+tokens, limit)
	if o.waiting > 0 {
		o.tier.updateHeaps(o)
	}
}

// prune deletes idle accounts.
func (q *queue) prune() {
	for i := range q.tiers {
		t := &q.tiers[i]
		for name, o := range t.organisations {
			for caller, c := range o.callers {
				if c.idle(o.clock) {
					delete(o.callers, caller)
				}
			}
			if o.idle(t.clock) && o.negligible() {
				delete(t.organisations, name)
			}
		}
	}
}
