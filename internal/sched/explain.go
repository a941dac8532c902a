package sched

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"mimosafront/internal/message"
)

// Explanation says what would happen to a request that arrived now.
type Explanation struct {
	// Ahead and AheadTokens are the waiting requests that would be served before it, of
	// Waiting requests; Wait is the expected time until its grant.
	Ahead, AheadTokens, Waiting int
	Wait                        time.Duration
	// Refusal is the reason for which it would be refused at once, with an explanation;
	// empty if it would not. RetryAfter is about the delay that would be advised.
	Refusal    message.RefusalReason
	Reason     string
	RetryAfter time.Duration
	// Candidates are all servers of the pool: first those that could start it now, the
	// best one first, then those left out.
	Candidates []Candidate
}

// Candidate is a server in an Explanation.
type Candidate struct {
	Server string
	// LeftOut says why the server can't start the request now; empty if it can.
	LeftOut string
	// FirstToken and Total are the expected times from dispatch. Interference is the part
	// of Score by which it holds up other streams there. The lowest score is the best.
	FirstToken, Total, Interference, Score time.Duration
	// HeldTokens of the prompt are known to be on the server for HeldAge.
	HeldTokens int
	HeldAge    time.Duration
	Load       ServerLoad
}

// Explain says what would happen to a request that arrived now. It changes no state: what
// decisions refill, book or create on the way is computed on copies.
func (p *Pool) Explain(now time.Time, r Request) Explanation {
	w := p.newWaiter(r)
	if o := p.queue.tiers[w.tier].organisations[w.organisation]; o != nil {
		if w.caller = o.callers[w.callerName]; w.caller == nil {
			w.caller = &callerQueue{organisation: o}
		}
	}
	e := Explanation{Waiting: p.queue.waiting}
	e.Ahead, e.AheadTokens = p.servedBefore(w)
	if speed := p.tokensPerSecond(); speed > 0 {
		e.Wait = seconds(float64(e.AheadTokens) / speed)
	}
	e.Refusal, e.Reason, e.RetryAfter = p.explainRefusal(now, w)
	found := foundPrefixes(p.cache.appendHolders(nil, w.Prefixes))
	for _, s := range p.servers {
		e.Candidates = append(e.Candidates, p.candidate(now, s, w, found))
	}
	slices.SortStableFunc(e.Candidates, func(a, b Candidate) int {
		if (a.LeftOut == "") != (b.LeftOut == "") {
			return cmp.Compare(len(a.LeftOut), len(b.LeftOut))
		}
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Server, b.Server))
	})
	return e
}

// candidate describes a server. Its limits may date from the last cycle with a waiting
// request, so they are computed anew on a copy.
func (p *Pool) candidate(now time.Time, original *server, w *waiter, found foundPrefixes) Candidate {
	current := *original
	s := &current
	p.setLimits(s, s.limit.foreignAt(now))
	s.spareTokens = p.spareTokens(s)
	c := p.estimateOn(s, w, found.hitsOn(s))
	out := Candidate{
		Server: s.Name, LeftOut: p.leftOut(now, s, w, c), Load: p.ServerLoad(now, s.Name),
		FirstToken: c.firstToken, Total: c.total, Interference: p.interference(c), Score: p.weighedScore(w, c),
		HeldTokens: c.held.tokens,
	}
	if c.held.hits > 0 {
		if held := s.cached.find(w.Prefixes[c.held.hits-1]); held != nil {
			out.HeldAge = now.Sub(held.since)
		}
	}
	return out
}

// leftOut returns why a server can't start a request now, in the order in which
// bestPlacement excludes servers; empty if it can. s is a copy, since its bucket is refilled.
func (p *Pool) leftOut(now time.Time, s *server, w *waiter, c placement) string {
	switch free := p.freeTokens(s); {
	case s.Leaving:
		return "leaving"
	case s.Evacuated:
		return "its zone is evacuated"
	case s.Unloaded:
		return "the model is not loaded, or drains for another version"
	case !s.health.takesWork():
		return fmt.Sprintf("%s for %d ms more", s.health.state, max(0, s.health.until.Sub(now)).Milliseconds())
	case !p.accepts(s, w):
		return "excluded by the request"
	case s.Part.Own == 0 && !s.Part.whole():
		return "its bound belongs to entry hosts that are out of contact"
	case p.paced(now, s, w) && s.pace.isCold(now):
		return fmt.Sprintf("cold for %d ms more, limited to %g requests a second", s.ColdUntil.Sub(now).Milliseconds(), s.pace.bound(now).perS)
	case p.paced(now, s, w):
		return fmt.Sprintf("limited to %g requests a second", s.pace.bound(now).perS)
	case len(s.grants) >= s.requestLimit:
		return fmt.Sprintf("%d of %d requests run", len(s.grants), s.requestLimit)
	case w.tokens > free:
		return fmt.Sprintf("no memory: %d tokens needed, %d of %d free", w.tokens, max(0, free), s.tokenLimit)
	}
	switch {
	case s.reservedForOther(w):
		return "reserved for a request that goes first"
	case p.withheldByHeadroom(s, w):
		return "kept free for smaller organisations"
	case p.missesDeadline(now, w, c, false):
		return "would miss the deadline"
	case p.waitsForFaster(now, w, c.firstToken):
		return "too slow for the first-token target, which another server meets"
	case p.endsSoonerElsewhere(now, w, c):
		return "its answer ends sooner on the next place of a faster server"
	}
	return ""
}

// explainRefusal returns the refusal that admit would give, without its effects on others.
func (p *Pool) explainRefusal(now time.Time, w *waiter) (refusal message.RefusalReason, reason string, retryAfter time.Duration) {
	own := quota{}
	if q := p.quotas[w.Organisation]; q != nil {
		own = *q
	}
	quotaWait := own.wait(now)
	claimAfter, overRate := p.claimAfter(now, w)
	backlog := time.Duration(float64(p.expectedCallerWait(w)) / p.leftoverShare(w.tier))
	switch {
	case !p.servable(w):
		return message.RefusalReasonNoServer, "no backend server takes work", minNoServerRetry
	case p.fair() && now.Add(p.estimate.minTime(w.Request)).After(w.Deadline):
		return message.RefusalReasonInfeasible, "the fastest server can't finish before the deadline", 0
	case w.tokens > p.config.MaxWaitingTokens:
		return message.RefusalReasonInfeasible, "larger than the whole queue may be", 0
	case overRate != "":
		return message.RefusalReasonRateLimit, overRate, claimAfter
	case quotaWait > 0 && now.Add(quotaWait).After(p.latestStart(w)):
		return message.RefusalReasonQuota, "the organisation's quota is spent until after the deadline", quotaWait
	case p.infeasibleArrival(now, w):
		return message.RefusalReasonDeadline, "the work that goes before it takes longer than its deadline leaves", backlog
	case p.queueFull(w) && p.queue.lowestWaiting() <= w.tier && p.lowestRunning(w) == w.tier && p.queue.tiers[w.tier].displacementVictim(w) == nil:
		return message.RefusalReasonQueueFull, "the queue is full of requests that go first", backlog
	case own.limits.MaxWaiting > 0 && own.waiting >= own.limits.MaxWaiting && p.nothingLowerOf(w):
		return message.RefusalReasonQueueFull, "the organisation's queue is full", backlog
	}
	return "", "", 0
}

// claimAfter is overRateLimit on a copy of the rate limit.
func (p *Pool) claimAfter(now time.Time, w *waiter) (after time.Duration, reason string) {
	bucket := p.claimBuckets[w.Organisation]
	if bucket == nil || w.Claim == 0 {
		return 0, ""
	}
	c := *bucket
	return c.over(now, w.tier, float64(w.Claim))
}

// nothingLowerOf reports whether no other work of a request's organisation would yield its
// place to the request.
func (p *Pool) nothingLowerOf(w *waiter) bool {
	_, lower := p.queue.lowestOfOrganisation(w)
	for _, g := range p.grants {
		if g.Organisation == w.Organisation && g.tier > w.tier && g.revocable() {
			return false
		}
	}
	o := p.queue.tiers[w.tier].organisations[w.organisation]
	return lower == nil && (o == nil || o.displacementVictim(w) == nil)
}

// servedBefore returns the number of waiting requests, and their tokens, that would be
// served before a new one, by serving all in a simulation.
func (p *Pool) servedBefore(w *waiter) (requests, tokens int) {
	for i := range w.tier {
		requests += p.queue.tiers[i].waiting
		tokens += p.queue.tiers[i].tokens
	}
	organisations := p.queue.tiers[w.tier].simulatedOrganisations()
	addToSimulation(organisations, &p.queue.tiers[w.tier], w)
	for organisations.Len() > 0 {
		served := simulateGrant(organisations)
		if served == w {
			break
		}
		requests++
		tokens += served.tokens
	}
	return requests, tokens
}

// addToSimulation adds a new request behind those of its caller.
func addToSimulation(organisations *orderedHeap[*simulatedAccount], t *tierQueue, w *waiter) {
	known := t.organisations[w.organisation]
	own := findAccount(organisations, func(a *simulatedAccount) bool { return a.queue == known && known != nil })
	if own == nil {
		own = &simulatedAccount{served: t.clock, activation: math.MaxUint64, callers: newSimulatedAccounts()}
		if known != nil {
			own.served = max(own.served, known.served)
		}
		own.callers.add(&simulatedAccount{next: w})
		organisations.add(own)
		return
	}
	own.callers = known.simulatedCallers()
	caller := findAccount(own.callers, func(a *simulatedAccount) bool { return a.next.callerName == w.callerName })
	if caller == nil {
		caller = &simulatedAccount{served: known.clock, activation: math.MaxUint64, next: w}
		if c := known.callers[w.callerName]; c != nil {
			caller.served = max(caller.served, c.served)
		}
		own.callers.add(caller)
		return
	}
	link := &caller.next
	for original := caller.next; original != nil; original = original.next {
		waiting := *original
		*link = &waiting
		link = &waiting.next
	}
	*link = w
}

func findAccount(accounts *orderedHeap[*simulatedAccount], matches func(*simulatedAccount) bool) *simulatedAccount {
	if i := slices.IndexFunc(accounts.items, matches); i >= 0 {
		return accounts.items[i]
	}
	return nil
}
