package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// headroomInterval separates two looks at the shares of organisations.
	headroomInterval = 250 * time.Millisecond
	// demandMemory is the time constant of the mean demand for which servers are
	// kept.
	demandMemory = 5 * time.Second
	// aheadTime is how long an organisation must be ahead until no servers are
	// kept for it, so that a burst of a small one doesn't end its headroom.
	aheadTime = 2 * time.Second
	// keptLoad is the utilisation at which kept servers still answer at once.
	keptLoad = 0.8
	// minKeptLoad is the least demand, as a share of a server's speed, for which
	// the server is kept.
	minKeptLoad = 0.02
	// minDemand, in servers, is forgotten.
	minDemand = 0.001
	// keptServersShare bounds the servers that are kept.
	keptServersShare = 0.5
	// rateMemory is the time constant of the mean rate of arrivals, and
	// aheadHorizon the time for which it counts as demand.
	rateMemory   = time.Second
	aheadHorizon = 500 * time.Millisecond
	// keptGapShare of the gap target is what the streams of a kept server may
	// take for a token.
	keptGapShare = 0.3
	// keptRoomShare of the limit of a kept server may be filled.
	keptRoomShare = 0.5
)

// headroom keeps the fastest servers lightly loaded while organisations below
// their share send requests, so that these start and answer as if the others
// were not there. Demand and capacity are measured in seconds of the fastest
// server.
//
// An organisation is ahead in a tier when its tokens in flight and waiting, and
// those that it sends in half a second, exceed the max-min level of the tier: the
// tokens with which all servers meet the gap target, less those of higher tiers,
// divided among the organisations of the tier. When one organisation of a tier is
// ahead, all of the lower tiers are.
type headroom struct {
	checked time.Time
	// prefill and decode are the speeds of the fastest server, in tokens a
	// second.
	prefill, decode float64
	// fastest are the servers that take work, the fastest first.
	fastest []*server
	// active is scratch.
	active []*organisationQueue
}

// sharing is what an organisation asks of a tier.
type sharing struct {
	// arrived is the work since the last look, and demand its mean rate.
	arrived, demand float64
	// sent are the tokens since the last look, and rate their mean rate.
	sent, rate float64
	// tokens run, wait and are expected.
	tokens int
	// ahead organisations ask for more than their share, for so long.
	ahead    bool
	aheadFor time.Duration
	// modestIndex is the place among those that wait and aren't ahead.
	modestIndex int
}

// refreshHeadroom finds who is ahead and which servers are kept.
func (p *Pool) refreshHeadroom(now time.Time) {
	h := &p.headroom
	passed := now.Sub(h.checked)
	if !p.fair() || p.config.Service || passed < headroomInterval {
		return
	}
	h.checked = now
	p.sortFastest()
	p.markAhead(min(passed, demandMemory))
	p.keepServers()
}

// observe folds what arrived in an interval into the means.
func (a *sharing) observe(passed time.Duration) {
	a.demand = average(a.demand, a.arrived/passed.Seconds(), intervalWeight(passed, demandMemory))
	a.rate = average(a.rate, a.sent/passed.Seconds(), intervalWeight(passed, rateMemory))
	a.arrived, a.sent = 0, 0
}

// intervalWeight is the weight of an interval in a mean with a time constant.
func intervalWeight(passed, memory time.Duration) float64 {
	return 1 - math.Exp(-passed.Seconds()/memory.Seconds())
}

// noteArrival counts the work that an organisation asks for.
func (p *Pool) noteArrival(w *waiter) {
	if h := &p.headroom; h.prefill > 0 {
		work := float64(w.PromptTokens)/h.prefill + p.estimate.outputTokens(w.Request)/h.decode
		w.caller.organisation.arrived += work
		w.caller.organisation.sent += float64(w.tokens)
	}
}

// sortFastest orders the servers that take work by the speed of their hardware.
func (p *Pool) sortFastest() {
	h := &p.headroom
	h.fastest = h.fastest[:0]
	for _, s := range p.servers {
		if s.health.takesWork() && !s.closed() {
			h.fastest = append(h.fastest, s)
		}
	}
	slices.SortStableFunc(h.fastest, func(a, b *server) int {
		return cmp.Compare(b.speed.prefillSeed, a.speed.prefillSeed)
	})
	if len(h.fastest) > 0 {
		h.prefill, h.decode = h.fastest[0].speed.prefillSeed, h.fastest[0].speed.decodeSeed
	}
}

// capacity is the speed of a server relative to the fastest.
func (h *headroom) capacity(s *server) float64 { return s.speed.prefillSeed / h.prefill }

// markAhead divides what the servers can run within the gap target among the
// organisations.
func (p *Pool) markAhead(passed time.Duration) {
	for i := range p.queue.tiers {
		t := &p.queue.tiers[i]
		sent := 0.0
		for _, o := range t.organisations {
			sent += o.sent
			o.observe(passed)
			o.tokens = o.waitingTokens + int(o.rate*aheadHorizon.Seconds())
		}
		t.flow = average(t.flow, sent/passed.Seconds(), intervalWeight(passed, demandMemory))
	}
	for _, g := range p.grants {
		g.account.organisation.tokens += g.tokens
	}
	left := p.targetTokens()
	for i := range p.queue.tiers {
		t := &p.queue.tiers[i]
		t.exhausted = left <= 0
		left = p.markTier(t, left)
		p.settleTier(t, passed)
	}
}

// targetTokens returns the tokens in flight with which all servers meet the gap
// target, in requests of the size that is usual now.
func (p *Pool) targetTokens() int {
	tokens, requests := p.queue.tokens, p.queue.waiting+len(p.grants)
	for _, s := range p.servers {
		tokens += s.tokens
	}
	sum := 0
	for _, s := range p.headroom.fastest {
		target := s.limit.tokens(0)
		if requests > 0 {
			target = min(target, int(p.streams(s, gapShare)*float64(tokens)/float64(requests)))
		}
		sum += target
	}
	return sum
}

// streams returns the number of streams whose tokens take a share of the gap
// target on a server.
func (p *Pool) streams(s *server, share float64) float64 {
	return share * p.config.GapTarget.Seconds() * s.speed.decodeSeed
}

// markTier marks the organisations of a tier whose tokens exceed their max-min
// share of what is left, and returns what is left after them.
func (p *Pool) markTier(t *tierQueue, left int) int {
	active := p.headroom.active[:0]
	for _, o := range t.organisations {
		active = append(active, o)
	}
	slices.SortFunc(active, func(a, b *organisationQueue) int { return a.tokens - b.tokens })
	for i, o := range active {
		share := left / (len(active) - i)
		o.ahead = o.tokens > share
		left -= min(o.tokens, share)
	}
	p.headroom.active = active
	return left
}

// settleTier puts the organisations where their shares place them, and sums up
// the demand of those that aren't ahead for long.
func (p *Pool) settleTier(t *tierQueue, passed time.Duration) {
	t.demand = 0
	for _, o := range t.organisations {
		t.settle(o)
		o.aheadFor += passed
		if !o.isAhead() {
			o.aheadFor = 0
		}
		if o.aheadFor < aheadTime {
			t.demand += o.demand
		}
	}
}

// keepServers keeps as many of the fastest servers as the demand of each tier
// takes in which an organisation is ahead: for that tier, and for those below it,
// which may not pass it. Where nobody of a tier is ahead, lower tiers may fill the
// servers: the tier goes first anyway, and the limit of streams bounds what it
// finds before it.
func (p *Pool) keepServers() {
	h := &p.headroom
	for _, s := range p.servers {
		s.keptTiers = 0
	}
	most := int(keptServersShare * float64(len(h.fastest)))
	var all keepers
	for tier := range p.queue.tiers {
		t := &p.queue.tiers[tier]
		if t.contested() {
			all.add(t)
			p.keepFor(tier, most)
		}
		t.keeper = all.sole()
	}
}

// keepFor keeps servers for the demand of a tier.
func (p *Pool) keepFor(tier, most int) {
	h := &p.headroom
	kept, demand := 0.0, p.queue.tiers[tier].demand
	for n := 0; n < most && demand > keptLoad*kept+minKeptLoad*h.capacity(h.fastest[n]); n++ {
		kept += h.capacity(h.fastest[n])
		h.fastest[n].keptTiers |= tiersFrom(tier)
	}
}

// tierSet is a set of tiers, by rank.
type tierSet uint64

// tiersFrom returns a tier and all below it.
func tiersFrom(tier int) tierSet { return ^tierSet(0) << tier }

func (s tierSet) has(tier int) bool { return s&(1<<tier) != 0 }

// contested reports whether an organisation of the tier is ahead.
func (t *tierQueue) contested() bool {
	for _, o := range t.organisations {
		if o.isAhead() {
			return true
		}
	}
	return false
}

// keepers are the organisations whose demand keeps servers.
type keepers struct {
	first   string
	several bool
}

func (k *keepers) add(t *tierQueue) {
	for _, o := range t.organisations {
		switch {
		case o.aheadFor >= aheadTime || o.demand < minDemand:
		case k.first == "":
			k.first = o.name
		case k.first != o.name:
			k.several = true
		}
	}
}

// sole returns the only keeper, or an empty string if there are several.
func (k *keepers) sole() string {
	if k.several {
		return ""
	}
	return k.first
}

// withheld reports whether a server is kept lightly loaded for others than a
// request's organisation, and has as much work as that leaves.
func (p *Pool) withheld(s *server, w *waiter) bool {
	return s.keptTiers.has(w.tier) && w.tokens > s.spare && p.keptFrom(w)
}

// keptFrom reports whether servers that are kept for a request's tier are kept
// from the request.
func (p *Pool) keptFrom(w *waiter) bool {
	return w.organisation != p.queue.tiers[w.tier].keeper && w.ahead()
}

// spare returns the largest request, in tokens, that leaves a kept server so
// lightly loaded that it answers others at once. An idle one takes any request,
// and one where lower work gave way isn't kept.
func (p *Pool) spare(s *server) int {
	switch {
	case len(s.grants) == 0 || s.pin != nil && !s.pin.reserved:
		return math.MaxInt
	case s.prefilling() || float64(len(s.grants)) >= p.streams(s, keptGapShare):
		return 0
	}
	return int(keptRoomShare*float64(s.room)) - s.tokens
}

// prefilling reports whether the server is likely to compute a prompt.
func (s *server) prefilling() bool {
	return s.prefill > 0 && slices.ContainsFunc(s.grants, func(g *running) bool {
		return !g.firstToken && g.prefilled < float64(g.uncached)
	})
}

// ahead reports whether a request's organisation asks for more than its share.
func (w *waiter) ahead() bool { return w.caller != nil && w.caller.organisation.isAhead() }

func (o *organisationQueue) isAhead() bool { return o.ahead || o.tier.exhausted }

// forgettable reports whether an organisation has sent nothing for long.
func (a *sharing) forgettable() bool { return a.arrived == 0 && a.demand < minDemand }
