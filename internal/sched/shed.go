package sched

import (
	"cmp"
	"slices"
	"time"

	"mimosafront/internal/message"
)

// A request is refused only when no work of a lower tier that it could replace waits or
// runs: lower waiting work is refused first, then lower running work is revoked. Work on
// servers that can't run the request doesn't count. For the limits of an organisation,
// only its own work is shed.

// serverFilter reports whether a server counts for a request.
type serverFilter func(s *server, w *waiter) bool

// markUrgent revokes lower running work so that a request near its latest start gets a
// server.
func (p *Pool) markUrgent(now time.Time, w *waiter) {
	w.urgent = true
	p.updateWake(w)
	if !p.hasQuota(now, w) {
		return
	}
	w.preempting = true
	p.preemptingByTier[w.tier]++
	p.revokeFor(w)
}

// expire ends the wait of a request that reached its latest start.
func (p *Pool) expire(now time.Time, w *waiter) {
	reason := "it can no longer finish before its deadline"
	if !p.fair() {
		reason = "the deadline passed while the request waited"
	}
	p.endWait(now, w, message.RefusalReasonDeadline, reason)
}

// endWait ends the wait of a request. While lower work runs, the request replaces it:
// one server may exceed its limit until the revoked work has ended there. Otherwise the
// request is refused, after all requests that wait in lower tiers.
func (p *Pool) endWait(now time.Time, w *waiter, refusal message.RefusalReason, reason string) {
	quota := p.hasQuota(now, w)
	if p.fair() && quota && now.Before(w.Deadline) && p.replaceLower(now, w) {
		return
	}
	p.dequeue(w)
	switch {
	case !p.fair():
		p.refuse(w, refusal, reason)
	case !quota:
		p.shedOrganisation(w)
		p.refuse(w, message.RefusalReasonQuota, "the organisation's quota did not refill in time")
	default:
		p.displaceBelow(w.tier)
		p.revokeElsewhere(w, w.tier)
		p.refuse(w, refusal, reason)
	}
}

// displaceBelow refuses all requests that wait below a tier.
func (p *Pool) displaceBelow(tier int) {
	for lowest := p.queue.lowestWaiting(); lowest > tier; lowest = p.queue.lowestWaiting() {
		p.displace(p.queue.tiers[lowest].shedCandidate(), "a higher tier misses its deadlines")
	}
}

// replaceLower grants a request where there is room beside lower running work. Otherwise
// it grants the request on its reserved server, or the one where most work of the lowest
// tier runs, and revokes as much of that work as the request needs. If all lower work is
// revoked already, it grants the request on a server where such work has not ended. It
// returns false if no server that takes one more request now runs lower work.
func (p *Pool) replaceLower(now time.Time, w *waiter) bool {
	w.stopAwaiting()
	takes := func(s *server, w *waiter) bool { return p.accepts(s, w) && !p.paced(now, s, w) }
	lowest := p.lowestRunningOn(w, takes)
	s := p.serverWithRevokedOn(w, takes)
	if lowest == w.tier && s == nil {
		return false
	}
	if c, ok := p.chooseLatePlacement(now, w); ok {
		p.grant(now, w, c)
		return true
	}
	if lowest > w.tier {
		s = p.replacementServer(w, lowest, takes)
		p.displaceBelow(lowest)
		p.revokeElsewhere(w, lowest)
		p.revokeUntilFits(s, w, lowest)
	}
	p.grant(now, w, p.estimateOn(s, w, p.cache.find(w.Prefixes).hitsOn(s)))
	s.overcommitted = s.overLimit()
	return true
}

// revokeUntilFits revokes work of a tier on a server, at least one grant, until the
// request fits there or no work of the tier is left.
func (p *Pool) revokeUntilFits(s *server, w *waiter, tier int) {
	for i, g := range p.victimsOn(s, tier) {
		if i > 0 && s.fitsAfterRevocations(w) {
			return
		}
		p.revoke(g, "a higher tier would miss its deadline")
	}
}

// serverWithRevoked returns a server on which lower work has not ended and that is not
// overcommitted; nil if there is none. It is used when lowestRunning finds no revocable
// work, so that this work is revoked already.
func (p *Pool) serverWithRevoked(w *waiter) *server { return p.serverWithRevokedOn(w, p.accepts) }

// serverWithRevokedOn is serverWithRevoked among the servers that a filter lets pass.
func (p *Pool) serverWithRevokedOn(w *waiter, passes serverFilter) *server {
	for _, s := range p.servers {
		if s.overcommitted || !passes(s, w) {
			continue
		}
		if slices.ContainsFunc(s.grants, func(g *running) bool { return g.tier > w.tier && !g.NonPreemptible }) {
			return s
		}
	}
	return nil
}

// lowestRunning returns the lowest tier with revocable work on servers that could run
// the request, or the request's own tier if no lower work runs there. Only work of this
// tier may be revoked: a higher tier is never shed while a lower one runs.
func (p *Pool) lowestRunning(w *waiter) int { return p.lowestRunningOn(w, p.accepts) }

// lowestRunningOn is lowestRunning for the servers that a filter lets pass.
func (p *Pool) lowestRunningOn(w *waiter, passes serverFilter) int {
	lowest := w.tier
	for _, s := range p.servers {
		if !passes(s, w) {
			continue
		}
		for _, g := range s.grants {
			if g.tier > lowest && g.revocable() {
				lowest = g.tier
			}
		}
	}
	return lowest
}

// replacementServer returns the server on which a request replaces work of a tier. At
// least one server that the filter lets pass must run revocable work of the tier.
func (p *Pool) replacementServer(w *waiter, tier int, passes serverFilter) *server {
	var best *server
	most := 0
	for _, s := range p.servers {
		if !passes(s, w) {
			continue
		}
		tokens := s.tierTokens(tier)
		if tokens > 0 && s == w.reservedServer {
			return s
		}
		if tokens > most {
			best, most = s, tokens
		}
	}
	return best
}

// revokeLower revokes all remaining lower work that may be revoked for the request.
func (p *Pool) revokeLower(w *waiter) {
	for _, s := range p.servers {
		if !p.mayRevokeOn(s, w) {
			continue
		}
		for _, g := range s.grants {
			if g.tier > w.tier && g.revocable() {
				p.revoke(g, "a higher tier is refused")
			}
		}
	}
}

// revokeFor revokes the least costly work of the lowest tier so that one server has room
// for the request, in addition to the requests that already await revocations there. It
// reserves the server unless the server is reserved for one of these.
func (p *Pool) revokeFor(w *waiter) {
	lowest := p.lowestRunning(w)
	if lowest <= w.tier {
		return
	}
	var best *server
	lowestCost := 0
	for _, s := range p.servers {
		if !p.accepts(s, w) || s.overcommitted {
			continue
		}
		if cost, ok := p.revocationCost(s, w, lowest); ok && (best == nil || cost < lowestCost) {
			best, lowestCost = s, cost
		}
	}
	if best == nil {
		return
	}
	p.displaceBelow(lowest)
	p.revokeElsewhere(w, lowest)
	if !best.reservedForOther(w) {
		p.reserveServer(w, best)
		p.markStale(best)
	}
	for _, g := range p.victimsOn(best, lowest) {
		if best.fitsAfterRevocations(w) {
			break
		}
		p.revoke(g, "a higher tier needs the server to meet its deadline")
	}
	w.awaitOn(best)
}

// awaitOn counts a request among those for which work was revoked on a server.
func (w *waiter) awaitOn(s *server) {
	w.awaitedServer = s
	s.awaitingTokens += w.tokens
	s.awaitingRequests++
}

// stopAwaiting reverses awaitOn.
func (w *waiter) stopAwaiting() {
	if s := w.awaitedServer; s != nil {
		w.awaitedServer = nil
		s.awaitingTokens -= w.tokens
		s.awaitingRequests--
	}
}

// revocationCost returns the tokens lost on a server to make room for a request; ok is
// false if revoking all work of the tier isn't enough.
func (p *Pool) revocationCost(s *server, w *waiter, tier int) (cost int, ok bool) {
	tokens, requests := s.afterRevocations()
	for _, g := range p.victimsOn(s, tier) {
		if s.wouldFit(w, tokens, requests) {
			return cost, true
		}
		tokens -= g.tokens
		requests--
		cost += g.lostTokens()
	}
	return cost, s.wouldFit(w, tokens, requests)
}

// afterRevocations returns the load once all revoked grants have ended and the requests
// for which they were revoked have started.
func (s *server) afterRevocations() (tokens, requests int) {
	tokens, requests = s.tokens+s.awaitingTokens, len(s.grants)+s.awaitingRequests
	for _, g := range s.grants {
		if g.revoked {
			tokens -= g.tokens
			requests--
		}
	}
	return tokens, requests
}

// revocable reports whether a grant may be revoked and has not been.
func (g *running) revocable() bool { return !g.revoked && !g.NonPreemptible }

// fitsAfterRevocations reports whether the request fits once all revoked grants have
// ended.
func (s *server) fitsAfterRevocations(w *waiter) bool {
	tokens, requests := s.afterRevocations()
	return s.wouldFit(w, tokens, requests)
}

// wouldFit reports whether the request fits beside a given load.
func (s *server) wouldFit(w *waiter, tokens, requests int) bool {
	return requests == 0 || requests < s.requestLimit && tokens+w.tokens <= s.tokenLimit
}

// tierTokens sums the tokens of the revocable grants of a tier.
func (s *server) tierTokens(tier int) int {
	sum := 0
	for _, g := range s.grants {
		if g.tier == tier && g.revocable() {
			sum += g.tokens
		}
	}
	return sum
}

// victimsOn returns the grants of a tier on a server in the order in which they are
// revoked. The result is valid until the next call.
func (p *Pool) victimsOn(s *server, tier int) []*running {
	p.victimsBuffer = p.victimsBuffer[:0]
	for _, g := range s.grants {
		if g.tier == tier && g.revocable() {
			p.victimsBuffer = append(p.victimsBuffer, g)
		}
	}
	slices.SortFunc(p.victimsBuffer, compareVictims)
	return p.victimsBuffer
}

// compareVictims orders grants by which is revoked first: the lowest tier, the fewest
// tokens lost, the organisation with the highest counter, the newest.
func compareVictims(a, b *running) int {
	return cmp.Or(
		b.tier-a.tier,
		a.lostTokens()-b.lostTokens(),
		cmp.Compare(b.account.organisation.served, a.account.organisation.served),
		b.grantedAt.Compare(a.grantedAt),
		cmp.Compare(b.id, a.id),
	)
}

// lostTokens estimates the computed tokens that are lost if the grant is revoked.
func (g *running) lostTokens() int {
	if !g.hasFirstToken {
		return g.uncached / 2
	}
	return g.uncached + g.outputTokens
}

// revokeLowest revokes the first grant below a tier, in the order of compareVictims,
// that may be revoked for a request; if organisation is set, only of that organisation.
// It reports whether there was one.
func (p *Pool) revokeLowest(w *waiter, tier int, organisation string) bool {
	var victim *running
	for _, s := range p.servers {
		if !p.mayRevokeOn(s, w) {
			continue
		}
		for _, g := range s.grants {
			if g.tier <= tier || !g.revocable() || organisation != "" && g.Organisation != organisation {
				continue
			}
			if victim == nil || compareVictims(g, victim) < 0 {
				victim = g
			}
		}
	}
	if victim == nil {
		return false
	}
	p.revoke(victim, "a higher tier needs its place")
	return true
}

// shedOrganisation sheds all lower work of an organisation before one of its requests is
// refused because of the organisation's own limits.
func (p *Pool) shedOrganisation(w *waiter) {
	for p.revokeLowest(w, w.tier, w.Organisation) {
	}
	for _, lower := p.queue.lowestOfOrganisation(w); lower != nil; _, lower = p.queue.lowestOfOrganisation(w) {
		p.displaceWithinOrganisation(lower, "the organisation's quota is needed by a higher tier")
	}
}

// revoke requests the end of a grant. The grant counts against its server until it ends.
func (p *Pool) revoke(g *running, reason string) {
	g.revoked = true
	p.runningByTier[g.tier]--
	p.act(Action{Kind: ActionRevoke, Request: g.Request, Grant: g.id, Server: g.server.Name, Reason: reason})
}
