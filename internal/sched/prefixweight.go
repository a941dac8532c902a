package sched

import "time"

// The weighing of prefixes answers loads in which many requests share long beginnings of
// their prompts. A server that holds one is preferred by the time that it saves at its own
// speed, in the same score as its queue, its streams and its load. Three things bound it:
// a prefix that would be evicted before the request starts saves nothing, a server that
// runs far more than the others gains nothing by a prefix (consistent hashing with bounded
// loads), and a request waits for a full server at most as long as that can save.

const (
	// maxCrowding is how many times the mean number of requests per server a server may
	// run, plus one, while a prefix is still to its credit.
	maxCrowding = 2.0
	// maxWaitError is the factor by which the wait for a server may exceed its estimate
	// before a request that waits for a prefix loses by it.
	maxWaitError = 2.0
)

// heldPrompt is what a server is known to hold of the prompt of a request.
type heldPrompt struct {
	// hits is the number of leading prefixes, tokens their length, and expected the part of
	// it that is expected to be of use.
	hits, tokens, expected int
	// pending is set if most of it is yet to be computed by another request.
	pending bool
}

// heldOn returns what a server holds of the prompt of a request. Prefixes that it has
// computed and those that a request granted before is to compute are weighted by the
// shares of such estimates that were right.
func (p *Pool) heldOn(s *server, w *waiter, hits int) heldPrompt {
	if hits > 0 {
		hits = s.survivingHits(w, hits)
	}
	if hits == 0 {
		return heldPrompt{}
	}
	held := heldPrompt{hits: hits, tokens: w.prefixLength(hits)}
	for ; hits > 0; hits-- {
		if prefix := s.cached.find(w.Prefixes[hits-1]); prefix != nil && prefix.computed {
			break
		}
	}
	sure := w.prefixLength(hits)
	held.expected = int(float64(sure)*s.prefixes.rightShare() + float64(held.tokens-sure)*p.pendingPrefixes.rightShare())
	held.pending = held.tokens-sure > sure
	return held
}

// explainPrefix sets what a new grant expects of the prefixes that its server holds.
func (a *Action) explainPrefix(now time.Time, w *waiter, c placement) {
	a.SavedTokens = c.held.expected
	if c.held.hits > 0 {
		if held := c.server.cached.find(w.Prefixes[c.held.hits-1]); held != nil {
			a.PrefixAge = now.Sub(held.since)
		}
	}
	if !w.holderSince.IsZero() {
		a.PrefixWait = now.Sub(w.holderSince)
	}
}

// crowded reports whether a server runs so many more requests than the mean that prefixes
// must not attract more.
func (p *Pool) crowded(s *server) bool {
	return float64(len(s.grants)) > maxCrowding*float64(len(p.grants))/float64(len(p.servers))+1
}

// weighedScore is the score of a placement. On a crowded server it is that without the
// prefix, so that a popular prefix spreads to further servers.
func (p *Pool) weighedScore(w *waiter, c placement) time.Duration {
	if c.held.tokens > 0 && p.crowded(c.server) {
		return p.score(p.estimateOn(c.server, w, 0))
	}
	return p.score(c)
}

// waitsForHolder reports whether a request waits for a server that holds more of its
// prompt than its best placement now and has no room. That server is then reserved for it,
// which lets only one request wait for each.
func (p *Pool) waitsForHolder(now time.Time, w *waiter, best placement) bool {
	if !p.mayWaitForHolder(now, w) {
		return false
	}
	holder := p.bestHolder(now, w, best)
	if holder.server == nil {
		return false
	}
	if w.holderSince.IsZero() {
		w.holderSince, w.holderUntil = now, now.Add(best.total-holder.total)
	}
	if w.reservedServer != holder.server {
		p.reserveServer(w, holder.server)
		w.cycleOnly = true
		p.cycleReserved = append(p.cycleReserved, holder.server)
	}
	return true
}

// mayWaitForHolder excludes requests that must start, and those that waited already for as
// long as they could save.
func (p *Pool) mayWaitForHolder(now time.Time, w *waiter) bool {
	switch {
	case !p.config.PrefixWeighing || p.config.Service || !p.fair() || len(w.Prefixes) == 0:
		return false
	case w.urgent || w.NoWait || w.bound() || w.reservedServer != nil && !w.cycleOnly:
		return false
	}
	return w.holderUntil.IsZero() || now.Before(w.holderUntil)
}

// bestHolder returns the placement, with the wait in its times, that is worth the wait and
// ends first; its server is nil if there is none.
func (p *Pool) bestHolder(now time.Time, w *waiter, best placement) (holder placement) {
	found := p.cache.find(w.Prefixes)
	hitsNow := found.hitsOn(best.server)
	if found.longest() <= hitsNow {
		return holder
	}
	maxSaving := best.timeFor(w.prefixLength(found.longest()) - best.held.tokens)
	for _, s := range p.servers {
		hits := found.hitsOn(s)
		if hits <= hitsNow || !p.accepts(s, w) || s.reservedFor != nil && s.reservedFor != w || p.withheldByHeadroom(s, w) {
			continue
		}
		wait := seconds(max(s.tokensUntilRoom(w.tokens)*s.speed.gap, s.pace.wait(now).Seconds()))
		if wait <= 0 || maxWaitError*wait.Seconds() >= maxSaving.Seconds() {
			continue
		}
		c := p.estimateOn(s, w, hits)
		if c.held.tokens <= best.held.tokens || !p.worthWaiting(best, c, wait) || holder.server != nil && wait+c.total >= holder.total {
			continue
		}
		c.firstToken, c.total = c.firstToken+wait, c.total+wait
		if !p.missesDeadline(now, w, c, false) && !p.waitsForFaster(now, w, c.firstToken) {
			holder = c
		}
	}
	return holder
}

// timeFor returns the time that the server of a placement takes for prompt tokens.
func (c placement) timeFor(tokens int) time.Duration {
	return seconds(c.server.speed.fit.perToken * float64(tokens))
}

// worthWaiting reports whether a server that has room after a wait is better than the best
// one now, even if the wait takes maxWaitError times as long as expected. Both the time of
// the request and the score, which counts the streams that it holds up, must gain.
func (p *Pool) worthWaiting(best, holder placement, wait time.Duration) bool {
	gain := min(best.total-holder.total, p.score(best)-p.score(holder))
	return float64(gain) >= maxWaitError*float64(wait)
}

// PrefixSaving returns the time that the prefixes held by the servers of this pool are
// expected to save a request: what it loses when it goes to another pool.
func (p *Pool) PrefixSaving(r *Request) time.Duration {
	saved := time.Duration(0)
	if !p.config.PrefixWeighing || p.config.Service || len(r.Prefixes) == 0 {
		return 0
	}
	w := p.newWaiter(*r)
	found := p.cache.find(r.Prefixes)
	if found.longest() == 0 {
		return 0
	}
	for _, s := range p.servers {
		if hits := found.hitsOn(s); hits > 0 && p.accepts(s, w) {
			expected := p.heldOn(s, w, hits).expected
			saved = max(saved, placement{server: s}.timeFor(expected))
		}
	}
	return saved
}

// WeighsPrefixes reports whether the pool weighs prefixes.
func (p *Pool) WeighsPrefixes() bool { return p.config.PrefixWeighing }
