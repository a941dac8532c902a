package sched

// account holds the virtual token counter of an organisation or a caller in
// one tier, and the sums over its requests.
//
// The counter grows by the tokens of work that the account received. The
// account with the lowest counter is served next, which gives each backlogged
// account the same rate: max-min fairness. An account that becomes active is
// lifted to the lowest counter of the active ones, so that idle time gives no
// credit.
type account struct {
	name          string
	served        float64
	waiting       int
	waitingTokens int
	running       int
	// activation breaks ties: the account that became active first is first.
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

// queueFull is how far the account would be ahead if all that waits were served.
func (a *account) projectedServed() float64 { return a.served + float64(a.waitingTokens) }

// shedBefore orders accounts by who loses waiting work first.
func (a *account) shedBefore(b *account) bool {
	if a.projectedServed() != b.projectedServed() {
		return a.projectedServed() > b.projectedServed()
	}
	return a.activation > b.activation
}

// activate lifts the counter of an account whose first request arrives.
func (a *account) activate(clock float64, activation uint64) {
	a.served = max(a.served, clock)
	a.activation = activation
}

// idle reports whether the account can be forgotten: nothing waits or runs, and
// a new account would start at the same counter.
func (a *account) idle(clock float64) bool {
	return a.waiting == 0 && a.running == 0 && a.served <= clock
}

// advanceClocks moves the virtual times to the lowest counters of the active
// accounts. It is called before a request of c is served.
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

// charge adds tokens of work to the counters of a caller and its organisation;
// negative tokens return what was charged too much.
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

// chargeRemote adds tokens that an organisation received from other zones. The
// lead over the others is bounded, so that an organisation that used another
// zone alone for long isn't kept waiting here for as long.
func (o *organisationQueue) chargeRemote(tokens, maxLead float64) {
	limit := max(o.served, o.tier.clock+maxLead)
	o.served = min(max(o.served, o.tier.clock)+tokens, limit)
	if o.waiting > 0 {
		o.tier.updateHeaps(o)
	}
}

// prune forgets idle accounts.
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
