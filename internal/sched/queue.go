package sched

import "time"

// MaxTiers is the number of ranks that policy allows.
const MaxTiers = 16

// waiter is a request that waits.
type waiter struct {
	*Request
	// tier, organisation and caller place the request in the queue. For the
	// baselines all requests share one place.
	tier         int
	organisation string
	callerName   string
	// tokens are the estimated work.
	tokens int
	// effectiveArrival orders the requests of a caller. It is the arrival; for one that was
	// refused before and came back on time, the first arrival.
	effectiveArrival time.Time
	// redeemed is set for the latter.
	redeemed bool
	// urgent requests are near the latest time to start.
	urgent bool
	// preemptingByTier requests are urgent and have the quota to run.
	preempting bool
	// takeClaim is the server on which work was revoked for the request.
	awaitedServer *server
	// wake is when the request becomes urgent or, then, expires.
	wake time.Time
	// reserveServer is the server that is kept free for the request.
	reservedServer *server
	// cycleReserved pins end with the cycle; others last until the request starts.
	cycleOnly bool

	caller     *callerQueue
	prev, next *waiter
	wakeIndex  int
}

// callerQueue holds the waiting requests of one caller in one tier, oldest
// first.
type callerQueue struct {
	account
	organisation *organisationQueue
	head, tail   *waiter
}

// organisationQueue holds the waiting requests of one organisation in one tier.
type organisationQueue struct {
	account
	organisationDemand
	tier    *tierQueue
	callers map[string]*callerQueue
	serve   orderedHeap[*callerQueue]
	shed    orderedHeap[*callerQueue]
	// clock is the virtual time among the callers.
	clock float64
	// quota is the one of the organisation, once it was looked up.
	quota *quota
	// quotaBlocked organisations have spent their quota and aren't in tier.serve.
	quotaBlocked bool
}

// tierQueue holds the waiting requests of one tier.
type tierQueue struct {
	organisations map[string]*organisationQueue
	serve         orderedHeap[*organisationQueue]
	shed          orderedHeap[*organisationQueue]
	// underShare holds those in serve that aren't ahead of their share.
	underShare orderedHeap[*organisationQueue]
	// demand is the sum over the organisations that aren't ahead.
	demand float64
	// headroomOwner is the organisation whose demand alone keeps servers from the tier,
	// if it is one.
	headroomOwner string
	// arrivalRate is the mean rate of the work that is queued, in tokens a second.
	arrivalRate float64
	// exhausted tiers have nothing left of what the servers can do.
	exhausted bool
	// clock is the virtual time among the organisations.
	clock   float64
	waiting int
	tokens  int
}

// queue orders the waiting requests of a pool by tier, organisation, caller and
// arrival.
//
// Invariant: an organisation or caller is in the shed heap exactly while
// requests of it wait, and in the serve heap as well unless it is parked.
type queue struct {
	tiers   [MaxTiers]tierQueue
	waiting int
	tokens  int
	byID    map[string]*waiter
	byWake  orderedHeap[*waiter]
	// activations numbers the accounts that became active, to break ties.
	activations uint64
}

func newQueue() *queue {
	q := &queue{byID: map[string]*waiter{}}
	q.byWake.less = func(a, b *waiter) bool { return a.wake.Before(b.wake) }
	q.byWake.setIndex = func(w *waiter, i int) { w.wakeIndex = i }
	for i := range q.tiers {
		t := &q.tiers[i]
		t.organisations = map[string]*organisationQueue{}
		t.serve.less = func(a, b *organisationQueue) bool { return a.servedBefore(&b.account) }
		t.serve.setIndex = func(o *organisationQueue, i int) { o.serveIndex = i }
		t.underShare.less = t.serve.less
		t.underShare.setIndex = func(o *organisationQueue, i int) { o.underShareIndex = i }
		t.shed.less = func(a, b *organisationQueue) bool { return a.shedBefore(&b.account) }
		t.shed.setIndex = func(o *organisationQueue, i int) { o.shedIndex = i }
	}
	return q
}

// organisation returns the queue of an organisation in a tier, created when
// missing.
func (q *queue) organisation(tier int, name string) *organisationQueue {
	t := &q.tiers[tier]
	o := t.organisations[name]
	if o == nil {
		o = &organisationQueue{tier: t, callers: map[string]*callerQueue{}}
		o.account = account{name: name, serveIndex: absent, shedIndex: absent}
		o.underShareIndex = absent
		o.serve.less = func(a, b *callerQueue) bool { return a.servedBefore(&b.account) }
		o.serve.setIndex = func(c *callerQueue, i int) { c.serveIndex = i }
		o.shed.less = func(a, b *callerQueue) bool { return a.shedBefore(&b.account) }
		o.shed.setIndex = func(c *callerQueue, i int) { c.shedIndex = i }
		t.organisations[name] = o
	}
	return o
}

// caller returns the queue of a caller, created when missing.
func (o *organisationQueue) caller(name string) *callerQueue {
	c := o.callers[name]
	if c == nil {
		c = &callerQueue{organisation: o}
		c.account = account{name: name, serveIndex: absent, shedIndex: absent}
		o.callers[name] = c
	}
	return c
}

// push adds a request to its caller's queue.
func (q *queue) push(w *waiter) {
	o := q.organisation(w.tier, w.organisation)
	c := o.caller(w.callerName)
	q.activations++
	if o.waiting == 0 {
		o.activate(o.tier.clock, q.activations)
	}
	if c.waiting == 0 {
		c.activate(o.clock, q.activations)
	}
	w.caller = c
	if w.bound() {
		c.prepend(w)
	} else {
		c.insert(w)
	}
	q.count(w, 1)
	q.byID[w.ID] = w
	q.byWake.add(w)
}

// append adds a request as the newest of its caller.
func (c *callerQueue) append(w *waiter) {
	w.prev = c.tail
	if c.tail == nil {
		c.head = w
	} else {
		c.tail.next = w
	}
	c.tail = w
}

// insert adds a request behind those of its caller that arrived before it.
func (c *callerQueue) insert(w *waiter) {
	before := c.tail
	for before != nil && !before.bound() && before.effectiveArrival.After(w.effectiveArrival) {
		before = before.prev
	}
	if before == nil {
		c.prepend(w)
		return
	}
	if before == c.tail {
		c.append(w)
		return
	}
	w.prev, w.next = before, before.next
	before.next, w.next.prev = w, w
}

// remove takes a request out of the queue.
func (q *queue) remove(w *waiter) {
	c := w.caller
	if w.prev == nil {
		c.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		c.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next = nil, nil
	q.count(w, -1)
	delete(q.byID, w.ID)
	q.byWake.removeAt(w.wakeIndex)
}

// count adds sign times the request to all sums and puts the heaps in order.
func (q *queue) count(w *waiter, sign int) {
	o := w.caller.organisation
	t := o.tier
	for _, a := range [...]*account{&w.caller.account, &o.account} {
		a.waiting += sign
		a.waitingTokens += sign * w.tokens
	}
	t.waiting += sign
	t.tokens += sign * w.tokens
	q.waiting += sign
	q.tokens += sign * w.tokens
	o.updateHeaps(w.caller)
	t.updateHeaps(o)
}

// updateHeaps puts a caller where its sums place it in the heaps.
func (o *organisationQueue) updateHeaps(c *callerQueue) {
	updateHeap(&o.serve, c, c.serveIndex, c.waiting > 0)
	updateHeap(&o.shed, c, c.shedIndex, c.waiting > 0)
}

// updateHeaps puts an organisation where its sums place it in the heaps.
func (t *tierQueue) updateHeaps(o *organisationQueue) {
	updateHeap(&t.serve, o, o.serveIndex, o.waiting > 0 && !o.quotaBlocked)
	updateHeap(&t.underShare, o, o.underShareIndex, o.waiting > 0 && !o.quotaBlocked && !o.overShare)
	updateHeap(&t.shed, o, o.shedIndex, o.waiting > 0)
}

func updateHeap[T any](h *orderedHeap[T], item T, index int, member bool) {
	switch {
	case member && index == absent:
		h.add(item)
	case member:
		h.fix(index)
	case index != absent:
		h.removeAt(index)
	}
}

// noTier stands for no tier.
const noTier = -1

// lowestWaiting returns the lowest tier that waits, or noTier.
func (q *queue) lowestWaiting() int {
	for tier := MaxTiers - 1; tier >= 0; tier-- {
		if q.tiers[tier].waiting > 0 {
			return tier
		}
	}
	return noTier
}
