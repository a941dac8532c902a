package sched

import (
	"slices"
	"time"
)

// Waiting is a waiting request in the order of grants.
type Waiting struct {
	Request
	// Tokens is the estimated work.
	Tokens int
	// Wait is the expected time until the grant: the time that the backlog before the
	// request and the request itself take.
	Wait time.Duration
	// RunTime is the expected time of the whole answer after the grant.
	RunTime time.Duration
	// AwaitsRevocation is set while lower work revoked for the request has not ended.
	AwaitsRevocation bool
}

// turn is the position of an account in the simulated order of grants, in which all
// waiting requests are served at the current speed.
type turn struct {
	served     float64
	activation uint64
	// queue is the organisation's queue; its callers are copied at its first turn.
	queue   *organisationQueue
	callers *orderedHeap[*turn]
	// next is the caller's oldest remaining request.
	next *waiter
}

// newTurns returns an empty heap in the order of account.servedBefore.
func newTurns() *orderedHeap[*turn] {
	return &orderedHeap[*turn]{setIndex: func(*turn, int) {}, less: func(a, b *turn) bool {
		if a.served != b.served {
			return a.served < b.served
		}
		return a.activation < b.activation
	}}
}

// EachWaiting visits the waiting requests in the order of grants until visit returns
// false. Organisations that wait for their quota are left out.
func (p *Pool) EachWaiting(visit func(Waiting) bool) {
	speed, backlog := p.tokensPerSecond(), 0
	for i := range p.queue.tiers {
		turns := p.queue.tiers[i].turns()
		for turns.Len() > 0 {
			w := takeTurn(turns)
			backlog += w.tokens
			if !visit(p.describe(w, backlog, speed)) {
				return
			}
		}
	}
}

// turns copies the serve order of the organisations of a tier.
func (t *tierQueue) turns() *orderedHeap[*turn] {
	turns := newTurns()
	for _, o := range t.serve.items {
		turns.add(&turn{served: o.served, activation: o.activation, queue: o})
	}
	return turns
}

// turns copies the serve order of the callers of an organisation.
func (o *organisationQueue) turns() *orderedHeap[*turn] {
	turns := newTurns()
	for _, c := range o.serve.items {
		turns.add(&turn{served: c.served, activation: c.activation, next: c.head})
	}
	return turns
}

// takeTurn removes the next request and charges its organisation and caller.
func takeTurn(organisations *orderedHeap[*turn]) *waiter {
	organisation, _ := organisations.top()
	if organisation.callers == nil {
		organisation.callers = organisation.queue.turns()
	}
	caller, _ := organisation.callers.top()
	w := caller.next
	caller.next = w.next
	chargeTurn(organisation.callers, caller, w.tokens, caller.next != nil)
	chargeTurn(organisations, organisation, w.tokens, organisation.callers.Len() > 0)
	return w
}

// chargeTurn charges the first account of a heap, and removes it if none of its requests
// are left.
func chargeTurn(turns *orderedHeap[*turn], first *turn, tokens int, more bool) {
	first.served += float64(tokens)
	if more {
		turns.fix(0)
		return
	}
	turns.removeAt(0)
}

// describe returns the public view of a waiting request; tokens is the backlog before it
// plus its own.
func (p *Pool) describe(w *waiter, tokens int, speed float64) Waiting {
	described := Waiting{Request: *w.Request, Tokens: w.tokens, RunTime: p.estimate.expectedTime(w.Request), AwaitsRevocation: w.awaitedServer != nil}
	if speed > 0 {
		described.Wait = seconds(float64(tokens) / speed)
	}
	return described
}

// CachesPrompt reports whether a server that takes work has half of a prompt cached.
func (p *Pool) CachesPrompt(prefixes []uint64) bool {
	if len(prefixes) == 0 {
		return false
	}
	found := p.cache.find(prefixes)
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return 2*found.hitsOn(s) >= len(prefixes) && s.health.takesWork() && !s.closed()
	})
}
