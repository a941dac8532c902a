package sched

import (
	"strconv"
	"time"
)

const (
	// Lookahead limits how many organisations, callers and requests behind a blocked
	// one are tried in one tier.
	lookaheadOrganisations = 4
	lookaheadCallers       = 2
	lookaheadRequests      = 4
	// reserveAfterShare of the first-token target is how long a blocked request behind
	// the first one waits before a server is reserved for it.
	reserveAfterShare = 0.5
)

// schedule grants requests while any fits. Each search for the next grant is a scheduling
// cycle.
//
// The order is strict: by tier, then by the lowest counter of organisation and caller,
// then by arrival. When the first request in this order fits nowhere, the server
// expected to have room soonest is reserved for it, and one more server for each
// further request of its tier that has waited long. Requests behind them may use only
// the remaining servers (backfilling with reservations, as in EASY backfill). Small
// requests thus keep the pool busy without starving large ones.
func (p *Pool) schedule(now time.Time) {
	if p.queue.waiting == 0 || !p.refreshFree(now) {
		return
	}
	for {
		w, c := p.nextGrant(now)
		if w == nil {
			return
		}
		p.grant(now, w, c)
	}
}

// nextGrant starts a scheduling cycle and returns the first request that fits and its
// placement.
func (p *Pool) nextGrant(now time.Time) (*waiter, placement) {
	p.releaseCycleReserved()
	p.refreshFree(now)
	for tier := range p.queue.tiers {
		t := &p.queue.tiers[tier]
		if t.waiting == 0 {
			continue
		}
		if w, c := p.nextReserved(now, tier); w != nil {
			return w, c
		}
		if w, c := p.nextInTier(now, t); w != nil {
			return w, c
		}
		if p.preemptingByTier[tier] > 0 || p.overloaded(now, tier) {
			return nil, placement{}
		}
	}
	return nil, placement{}
}

// overloaded reports whether a tier has more waiting work than it can start in time.
// Grants to lower tiers would then soon be revoked.
func (p *Pool) overloaded(now time.Time, tier int) bool {
	t := &p.queue.tiers[tier]
	if t.waiting == 0 || !p.fair() {
		return false
	}
	return now.Add(p.waitAt(tier, p.free.throughput)).After(p.latestStart(t.shedCandidate()))
}

// nextReserved returns a request of the tier that now fits on its reserved server.
func (p *Pool) nextReserved(now time.Time, tier int) (*waiter, placement) {
	if p.reservedByTier[tier] == 0 {
		return nil, placement{}
	}
	for _, s := range p.servers {
		w := s.reservedFor
		if w == nil || w.tier != tier {
			continue
		}
		if !p.hasQuota(now, w) {
			p.releaseServer(s)
			continue
		}
		if c, ok := p.choosePlacement(now, w); ok {
			return w, c
		}
	}
	return nil, placement{}
}

// nextInTier returns the first request of a tier that fits. If servers have more room for
// organisations under their share, it then tries only those, further down the order.
func (p *Pool) nextInTier(now time.Time, t *tierQueue) (*waiter, placement) {
	if w, c := p.nextAmong(now, &t.serve); w != nil {
		return w, c
	}
	if p.free.maxTokens <= p.free.maxOverShareTokens {
		return nil, placement{}
	}
	return p.nextAmong(now, &t.underShare)
}

// nextAmong tries the first organisations of a heap.
func (p *Pool) nextAmong(now time.Time, heap *orderedHeap[*organisationQueue]) (*waiter, placement) {
	p.blockOnQuota(now, heap)
	var organisations [lookaheadOrganisations]*organisationQueue
	for _, o := range organisations[:heap.smallest(organisations[:])] {
		var callers [lookaheadCallers]*callerQueue
		for _, caller := range callers[:o.serve.smallest(callers[:])] {
			if w, c := p.nextOfCaller(now, caller); w != nil {
				return w, c
			}
		}
	}
	return nil, placement{}
}

// nextOfCaller tries the first requests of a caller and reserves servers for those that
// are blocked.
func (p *Pool) nextOfCaller(now time.Time, caller *callerQueue) (*waiter, placement) {
	w := caller.nextToServe(now)
	for i := 0; i < lookaheadRequests && w != nil; {
		if p.mayFit(w) {
			if c, ok := p.choosePlacement(now, w); ok && !p.waitsForHolder(now, w, c) {
				return w, c
			}
		}
		p.reserveForBlocked(now, w)
		if !w.bound() {
			i++
		}
		w = w.next
	}
	return nil, placement{}
}

// reserveForBlocked reserves a server, for this cycle, for a blocked request of the
// highest tier that waits: immediately for the first in the order, and after a wait for
// those behind it.
func (p *Pool) reserveForBlocked(now time.Time, w *waiter) {
	if !p.fair() || w.reservedServer != nil || p.cycleReservedTier != noTier && p.cycleReservedTier < w.tier {
		return
	}
	reserveAfter := time.Duration(reserveAfterShare * float64(p.config.FirstTokenTarget))
	if p.cycleReservedTier != noTier && now.Sub(w.Arrived) < reserveAfter {
		return
	}
	if s := p.earliestServer(now, w); s != nil {
		p.reserveServer(w, s)
		w.cycleOnly = true
		p.cycleReserved = append(p.cycleReserved, s)
		p.cycleReservedTier = w.tier
	}
}

// releaseCycleReserved releases the servers reserved for one cycle; each cycle reserves
// them again in the order that then applies.
func (p *Pool) releaseCycleReserved() {
	p.cycleReservedTier = noTier
	for _, s := range p.cycleReserved {
		if s.reservedFor != nil && s.reservedFor.cycleOnly {
			p.releaseServer(s)
		}
	}
	p.cycleReserved = p.cycleReserved[:0]
}

// earliestServer returns the server expected to have room for a request first.
func (p *Pool) earliestServer(now time.Time, w *waiter) *server {
	var best *server
	var shortest float64
	for _, s := range p.servers {
		if !p.accepts(s, w) || s.reservedFor != nil && s.reservedFor.tier <= w.tier || p.withheldByHeadroom(s, w) || p.waitsForFaster(now, w, s.speed.firstTokenTime(w.PromptTokens)) {
			continue
		}
		wait := max(s.tokensUntilRoom(w.tokens)*s.speed.gap, s.pace.wait(now).Seconds())
		if best == nil || wait < shortest {
			best, shortest = s, wait
		}
	}
	if best != nil && p.endsSoonerElsewhere(now, w, p.estimateOn(best, w, 0)) {
		return nil
	}
	return best
}

// reserveServer reserves a server for a request. If the reservation lasts beyond the
// cycle, the caller must mark the server as stale.
func (p *Pool) reserveServer(w *waiter, s *server) {
	p.releaseServer(s)
	if w.reservedServer != nil {
		p.releaseServer(w.reservedServer)
	}
	w.reservedServer, s.reservedFor = s, w
	p.reservedByTier[w.tier]++
}

// releaseServer releases a server from its reservation.
func (p *Pool) releaseServer(s *server) {
	if s == nil || s.reservedFor == nil {
		return
	}
	p.reservedByTier[s.reservedFor.tier]--
	if !s.reservedFor.cycleOnly {
		p.markStale(s)
	}
	s.reservedFor.reservedServer, s.reservedFor.cycleOnly = nil, false
	s.reservedFor = nil
}

// grant issues the grant of a waiting request on the chosen server.
func (p *Pool) grant(now time.Time, w *waiter, c placement) {
	w.caller.advanceClocks()
	p.dequeue(w)
	id := p.grantID()
	p.addGrant(now, id, w, c)
	p.takeClaim(now, w.Request, 1)
	p.observeSize(w.tokens)
	c.server.pace.take()
	a := Action{Kind: ActionGrant, Request: w.Request, Grant: id, Server: c.server.Name, Reason: c.reason(w)}
	if p.config.PrefixWeighing {
		a.explainPrefix(now, w, c)
	} else {
		p.cache.add(c.server, w.Prefixes)
	}
	p.act(a)
}

// reason returns a human-readable explanation of a placement.
func (c placement) reason(w *waiter) string {
	text := make([]byte, 0, 80)
	text = append(text, "first token expected in "...)
	text = strconv.AppendInt(text, c.firstToken.Milliseconds(), 10)
	text = append(text, " ms, "...)
	text = strconv.AppendInt(text, int64(c.uncached), 10)
	text = append(text, " of "...)
	text = strconv.AppendInt(text, int64(w.PromptTokens), 10)
	return string(append(text, " prompt tokens to compute"...))
}
