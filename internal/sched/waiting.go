package sched

import (
	"slices"
	"time"
)

// WaitingRequest is a waiting request in the order of grants.
type WaitingRequest struct {
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

// simulatedAccount is the copy of an account in a simulation that serves all waiting
// requests in the order of grants.
type simulatedAccount struct {
	served     float64
	activation uint64
	// queue is the organisation's queue; its callers are copied when it is first served.
	queue   *organisationQueue
	callers *orderedHeap[*simulatedAccount]
	// next is the caller's oldest remaining request.
	next *waiter
}

// newSimulatedAccounts returns an empty heap in the order of account.servedBefore.
func newSimulatedAccounts() *orderedHeap[*simulatedAccount] {
	return &orderedHeap[*simulatedAccount]{setIndex: func(*simulatedAccount, int) {}, less: func(a, b *simulatedAccount) bool {
		if a.served != b.served {
			return a.served < b.served
		}
		return a.activation < b.activation
	}}
}

// EachWaiting visits the waiting requests in the order of grants until visit returns
// false. Organisations that wait for their quota are left out.
func (p *Pool) EachWaiting(visit func(WaitingRequest) bool) {
	t, backlog := p.throughput(), 0
	for i := range p.queue.tiers {
		organisations := p.queue.tiers[i].simulatedOrganisations()
		for organisations.Len() > 0 {
			w := simulateGrant(organisations)
			backlog += w.tokens
			if !visit(p.describe(w, t.timeFor(p.callTime, backlog))) {
				return
			}
		}
	}
}

// simulatedOrganisations copies the serve order of the organisations of a tier.
func (t *tierQueue) simulatedOrganisations() *orderedHeap[*simulatedAccount] {
	accounts := newSimulatedAccounts()
	for _, o := range t.serve.items {
		accounts.add(&simulatedAccount{served: o.served, activation: o.activation, queue: o})
	}
	return accounts
}

// simulatedCallers copies the serve order of the callers of an organisation.
func (o *organisationQueue) simulatedCallers() *orderedHeap[*simulatedAccount] {
	accounts := newSimulatedAccounts()
	for _, c := range o.serve.items {
		accounts.add(&simulatedAccount{served: c.served, activation: c.activation, next: c.head})
	}
	return accounts
}

// simulateGrant removes the next request and charges its organisation and caller.
func simulateGrant(organisations *orderedHeap[*simulatedAccount]) *waiter {
	organisation, _ := organisations.top()
	if organisation.callers == nil {
		organisation.callers = organisation.queue.simulatedCallers()
	}
	caller, _ := organisation.callers.top()
	w := caller.next
	caller.next = w.next
	chargeFirst(organisation.callers, caller, w.tokens, caller.next != nil)
	chargeFirst(organisations, organisation, w.tokens, organisation.callers.Len() > 0)
	return w
}

// chargeFirst charges the first account of a heap, and removes it if none of its requests
// are left.
func chargeFirst(accounts *orderedHeap[*simulatedAccount], first *simulatedAccount, tokens int, more bool) {
	first.served += float64(tokens)
	if more {
		accounts.fix(0)
		return
	}
	accounts.removeAt(0)
}

// describe returns the public view of a waiting request with its expected wait.
func (p *Pool) describe(w *waiter, wait time.Duration) WaitingRequest {
	return WaitingRequest{
		Request: *w.Request, Tokens: w.tokens, Wait: wait, RunTime: p.estimate.expectedTime(w.Request), AwaitsRevocation: w.awaitedServer != nil,
	}
}

// CachesPrompt reports whether a server that takes work has at least half of a prompt
// cached.
func (p *Pool) CachesPrompt(prefixes []uint64) bool {
	if len(prefixes) == 0 {
		return false
	}
	found := p.cache.find(prefixes)
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return 2*found.hitsOn(s) >= len(prefixes) && s.health.takesWork() && !s.closed()
	})
}
