package sched

import (
	"slices"
	"time"

	"mimosafront/internal/settings"
)

// placement is the choice of a server for a request.
type placement struct {
	server *server
	// uncached is the number of prompt tokens to be computed there.
	uncached int
	// held is what the server holds of the prompt, if prefixes are weighed.
	held heldPrompt
	// firstToken and total are the expected times from dispatch.
	firstToken, total time.Duration
}

// accepts reports whether a server may run the request, regardless of its load.
func (p *Pool) accepts(s *server, w *waiter) bool {
	if w.Suspect && s.runsSuspect() {
		return false
	}
	return s.health.takesWork() && !s.closed() && w.allows(s)
}

// runsSuspect reports whether a suspected poison request runs on the server.
func (s *server) runsSuspect() bool {
	return slices.ContainsFunc(s.grants, func(g *running) bool { return g.Suspect })
}

// fits reports whether a server has room for the request now.
func (p *Pool) fits(s *server, w *waiter) bool {
	return w.tokens <= p.freeTokens(s)
}

// allowedRequests limits the grants of a server; on probation the limit is low.
func (s *server) allowedRequests() int {
	if s.health.state == probation {
		return min(probationRequests, s.MaxRequests)
	}
	return min(s.MaxRequests, s.limit.requests())
}

// reservedForOther reports whether the server is reserved for another request of the
// same or a higher tier.
func (s *server) reservedForOther(w *waiter) bool {
	return s.reservedFor != nil && s.reservedFor != w && s.reservedFor.tier <= w.tier
}

// choosePlacement chooses the server for a request. It returns false if none has room.
func (p *Pool) choosePlacement(now time.Time, w *waiter) (placement, bool) {
	switch p.config.Algorithm {
	case settings.SchedulerAlgorithmFifo:
		return p.placeRoundRobin(now, w)
	case settings.SchedulerAlgorithmLeastOutstanding:
		return p.placeLeastOutstanding(now, w)
	}
	return p.bestPlacement(now, w, false)
}

// chooseLatePlacement chooses the server for a request past its latest start.
func (p *Pool) chooseLatePlacement(now time.Time, w *waiter) (placement, bool) {
	p.refreshFree(now)
	return p.bestPlacement(now, w, true)
}

// bestPlacement returns the server with the best score among those that have room
// according to the last refresh, or of equal ones the first after searchStart.
func (p *Pool) bestPlacement(now time.Time, w *waiter, late bool) (placement, bool) {
	var best placement
	var found foundPrefixes
	lowest := time.Duration(0)
	mayBeWithheld := !late && w.overShare()
	free := p.freeTokensFor(w, late)
	for n := range free {
		i := (p.searchStart + n) % len(free)
		if w.tokens > free[i] {
			continue
		}
		s := p.servers[i]
		if !p.accepts(s, w) || p.paced(now, s, w) || s.reservedForOther(w) || mayBeWithheld && p.withheldByHeadroom(s, w) {
			continue
		}
		if found == nil {
			found = p.cache.find(w.Prefixes)
		}
		candidate := p.estimateOn(s, w, found.hitsOn(s))
		if p.missesDeadline(now, w, candidate, late) || !late && p.waitsForFaster(now, w, candidate.firstToken) {
			continue
		}
		if score := p.weighedScore(w, candidate); best.server == nil || score < lowest {
			best, lowest = candidate, score
		}
	}
	if best.server != nil && !late && p.endsSoonerElsewhere(now, w, best) {
		return placement{}, false
	}
	return best, best.server != nil
}

// missesDeadline reports whether a request is likely to miss its deadline or its
// first-token limit on a server. For late and bound requests the expected time counts,
// without an allowance for errors.
func (p *Pool) missesDeadline(now time.Time, w *waiter, c placement, late bool) bool {
	if !w.FirstLimit.IsZero() && now.Add(c.firstToken).After(w.FirstLimit) {
		return true
	}
	total := c.total
	if !late && !w.bound() {
		total += w.errorAllowance(total, p.estimate.errorMargin(w.Tier, total))
	}
	return now.Add(total).After(w.Deadline)
}

// estimateOn predicts the times of a request on a server that holds the given number of
// its prefixes.
func (p *Pool) estimateOn(s *server, w *waiter, hits int) placement {
	c := placement{server: s, uncached: w.PromptTokens}
	if p.config.PrefixWeighing {
		c.held = p.heldOn(s, w, hits)
		c.uncached -= c.held.expected
	} else if hits > 0 {
		c.uncached -= w.PromptTokens * hits / (len(w.Prefixes) + 1)
	}
	if p.config.Service {
		c.total = seconds(s.speed.total)
		return c
	}
	c.firstToken = s.speed.firstTokenTime(s.prefill + c.uncached)
	c.total = c.firstToken + s.speed.outputTime(p.estimate.outputTokens(w.Request))
	return c
}

// score is the expected time of the whole answer, scaled by the load of the server so
// that a cached prefix doesn't attract all requests to one server. Lower is better.
func (p *Pool) score(c placement) time.Duration {
	s := c.server
	load := float64(len(s.grants)) / float64(s.MaxRequests)
	if !p.config.Service {
		load = float64(s.tokens) / float64(max(s.tokenLimit, 1))
	}
	base := float64(c.total + time.Millisecond)
	return time.Duration(base*(1+load)) + p.interference(c)
}

// placeRoundRobin is the baseline that uses the servers in turn.
func (p *Pool) placeRoundRobin(now time.Time, w *waiter) (placement, bool) {
	for range p.servers {
		p.roundRobinIndex = (p.roundRobinIndex + 1) % len(p.servers)
		if s := p.servers[p.roundRobinIndex]; p.fits(s, w) && p.accepts(s, w) && !p.paced(now, s, w) {
			return p.estimateOn(s, w, 0), true
		}
	}
	return placement{}, false
}

// placeLeastOutstanding is the baseline that chooses the server with the fewest grants.
func (p *Pool) placeLeastOutstanding(now time.Time, w *waiter) (placement, bool) {
	var best *server
	for _, s := range p.servers {
		if p.fits(s, w) && p.accepts(s, w) && !p.paced(now, s, w) && (best == nil || len(s.grants) < len(best.grants)) {
			best = s
		}
	}
	if best == nil {
		return placement{}, false
	}
	return p.estimateOn(best, w, 0), true
}
