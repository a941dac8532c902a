package sched

import "time"

// MaxTiers is the maximum number of tiers that policy allows.
const MaxTiers = 16

// waiter is a waiting request.
type waiter struct {
	*Request
	// tier, organisation and callerName determine the queue. The baselines put all
	// requests into one queue.
	tier         int
	organisation string
	callerName   string
	// tokens is the estimated work.
	tokens int
	// effectiveArrival orders the requests of a caller. It is the arrival or, if the
	// request redeemed a retry reservation, the arrival of its first attempt.
	effectiveArrival time.Time
	// redeemed is set if the request redeemed a retry reservation.
	redeemed bool
	// urgent requests are near their latest start.
	urgent bool
	// preempting requests are urgent and within their quota, so that lower work is
	// revoked for them.
	preempting bool
	// awaitedServer is the server on which work was revoked for the request.
	awaitedServer *server
	// wake is when the request becomes urgent or, if it is urgent, expires.
	wake time.Time
	// reservedServer is the server reserved for the request.
	reservedServer *server
	// cycleOnly is set if the server is reserved only for the current scheduling cycle;
	// other reservations may last until the request leaves the queue.
	cycleOnly bool
	// holderSince is when the request began to wait for a server that holds a prefix, and
	// holderUntil when it stops to; both are zero before it does.
	holderSince, holderUntil time.Time

	caller     *callerQueue
	prev, next *waiter
	wakeIndex  int
}

// callerQueue holds the waiting requests of one caller in one tier, oldest first.
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
	// serve orders the callers by servedBefore, shed by shedBefore.
	serve orderedHeap[*callerQueue]
	shed  orderedHeap[*callerQueue]
	// clock is the virtual time of the callers.
	clock float64
	// quota caches the organisation's quota.
	quota *quota
	// quotaBlocked organisations have used up their quota and aren't in tier.serve.
	quotaBlocked bool
}

// tierQueue holds the waiting requests of one tier.
type tierQueue struct {
	organisations map[string]*organisationQueue
	// serve orders the organisations by servedBefore, shed by shedBefore.
	serve orderedHeap[*organisationQueue]
	shed  orderedHeap[*organisationQueue]
	// underShare holds the organisations in serve that aren't over their share.
	underShare orderedHeap[*organisationQueue]
	// demand is the total demand of the organisations that count for headroom.
	demand float64
	// headroomOwner is the only organisation whose demand counts for the headroom of
	// the tier; empty if there are several or none.
	headroomOwner string
	// arrivalRate is the mean rate of queued work, in tokens per second.
	arrivalRate float64
	// exhausted is set while the organisations of higher tiers use up the capacity.
	exhausted bool
	// clock is the virtual time of the organisations.
	clock   float64
	waiting int
	tokens  int
}

// queue orders the waiting requests of a pool by tier, organisation, caller and arrival.
//
// Invariant: an organisation or caller is in the shed heap exactly while it has waiting
// requests, and then also in the serve heap unless it is quotaBlocked.
type queue struct {
	tiers   [MaxTiers]tierQueue
	waiting int
	tokens  int
	byID    map[string]*waiter
	byWake  orderedHeap[*waiter]
	// activations counts the requests queued so far; an account that becomes active
	// takes the count as its activation.
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

// organisation returns the queue of an organisation in a tier and creates it if missing.
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

// caller returns the queue of a caller and creates it if missing.
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

// append adds a request at the tail of its caller's queue.
func (c *callerQueue) append(w *waiter) {
	w.prev = c.tail
	if c.tail == nil {
		c.head = w
	} else {
		c.tail.next = w
	}
	c.tail = w
}

// insert adds a request in order of effective arrival, behind bound requests.
func (c *callerQueue) insert(w *waiter) {
	previous := c.tail
	for previous != nil && !previous.bound() && previous.effectiveArrival.After(w.effectiveArrival) {
		previous = previous.prev
	}
	if previous == nil {
		c.prepend(w)
		return
	}
	if previous == c.tail {
		c.append(w)
		return
	}
	w.prev, w.next = previous, previous.next
	previous.next, w.next.prev = w, w
}

// remove removes a request from the queue.
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

// count adds the request to all sums (sign 1) or subtracts it (sign -1) and updates the
// heaps.
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

// updateHeaps moves a caller to its position in the heaps.
func (o *organisationQueue) updateHeaps(c *callerQueue) {
	updateHeap(&o.serve, c, c.serveIndex, c.waiting > 0)
	updateHeap(&o.shed, c, c.shedIndex, c.waiting > 0)
}

// updateHeaps moves an organisation to its position in the heaps.
func (t *tierQueue) updateHeaps(o *organisationQueue) {
	updateHeap(&t.serve, o, o.serveIndex, o.waiting > 0 && !o.quotaBlocked)
	updateHeap(&t.underShare, o, o.underShareIndex, o.waiting > 0 && !o.quotaBlocked && !o.overShare)
	updateHeap(&t.shed, o, o.shedIndex, o.waiting > 0)
}

// updateHeap adds, moves or removes an item so that it is in the heap exactly if member
// is set.
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

// lowestWaiting returns the lowest tier with waiting requests, or noTier.
func (q *queue) lowestWaiting() int {
	for tier := MaxTiers - 1; tier >= 0; tier-- {
		if q.tiers[tier].waiting > 0 {
			return tier
		}
	}
	return noTier
}
