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
	// demandTimeConstant is the time constant of the mean demand for which servers are
	// kept.
	demandTimeConstant = 5 * time.Second
	// minOverShareTime is how long an organisation must be ahead until no servers are
	// kept for it, so that a burst of a small one doesn't end its headroom.
	minOverShareTime = 2 * time.Second
	// headroomLoad is the utilisation at which kept servers still answer at once.
	headroomLoad = 0.8
	// minHeadroomLoad is the least demand, as a share of a server's speed, for which
	// the server is kept.
	minHeadroomLoad = 0.02
	// minDemand, in servers, is forgotten.
	minDemand = 0.001
	// maxHeadroomShare bounds the servers that are kept.
	maxHeadroomShare = 0.5
	// arrivalTimeConstant is the time constant of the mean rate of arrivals, and
	// arrivalHorizon the time for which it counts as demand.
	arrivalTimeConstant = time.Second
	arrivalHorizon      = 500 * time.Millisecond
	// headroomGapShare of the gap target is what the streams of a kept server may
	// take for a token.
	headroomGapShare = 0.3
	// headroomTokenShare of the limit of a kept server may be filled.
	headroomTokenShare = 0.5
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
	lastRefresh time.Time
	// prefill and decode are the speeds of the fastest server, in tokens a
	// second.
	fastestPrefill, fastestDecode float64
	// fastest are the servers that take work, the fastest first.
	fastest []*server
	// activeBuffer is scratch.
	activeBuffer []*organisationQueue
}

// organisationDemand is what an organisation asks of a tier.
type organisationDemand struct {
	// arrivedWork is the work since the last look, and demand its mean rate.
	arrivedWork, demand float64
	// sent are the tokens since the last look, and rate their mean rate.
	arrivedTokens, arrivalRate float64
	// tokens run, wait and are expected.
	tokens int
	// queuedPrefill organisations ask for more than their share, for so long.
	overShare    bool
	overShareFor time.Duration
	// underShareIndex is the place among those that wait and aren't ahead.
	underShareIndex int
}

// refreshHeadroom finds who is ahead and which servers are kept.
func (p *Pool) refreshHeadroom(now time.Time) {
	h := &p.headroom
	passed := now.Sub(h.lastRefresh)
	if !p.fair() || p.config.Service || passed < headroomInterval {
		return
	}
	h.lastRefresh = now
	p.sortFastest()
	p.markOverShare(min(passed, demandTimeConstant))
	p.assignHeadroom()
}

// observe folds what arrived in an interval into the means.
func (a *organisationDemand) observe(passed time.Duration) {
	a.demand = average(a.demand, a.arrivedWork/passed.Seconds(), intervalWeight(passed, demandTimeConstant))
	a.arrivalRate = average(a.arrivalRate, a.arrivedTokens/passed.Seconds(), intervalWeight(passed, arrivalTimeConstant))
	a.arrivedWork, a.arrivedTokens = 0, 0
}

// intervalWeight is the weight of an interval in a mean with a time constant.
func intervalWeight(passed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-passed.Seconds()/timeConstant.Seconds())
}

// recordArrival counts the work that an organisation asks for.
func (p *Pool) recordArrival(w *waiter) {
	if h := &p.headroom; h.fastestPrefill > 0 {
		work := float64(w.PromptTokens)/h.fastestPrefill + p.estimate.outputTokens(w.Request)/h.fastestDecode
		w.caller.organisation.arrivedWork += work
		w.caller.organisation.arrivedTokens += float64(w.tokens)
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
		h.fastestPrefill, h.fastestDecode = h.fastest[0].speed.prefillSeed, h.fastest[0].speed.decodeSeed
	}
}

// capacity is the speed of a server relative to the fastest.
func (h *headroom) capacity(s *server) float64 { return s.speed.prefillSeed / h.fastestPrefill }

// markOverShare divides what the servers can run within the gap target among the
// organisations.
func (p *Pool) markOverShare(passed time.Duration) {
	for i := range p.queue.tiers {
		t := &p.queue.tiers[i]
		sent := 0.0
		for _, o := range t.organisations {
			sent += o.arrivedTokens
			o.observe(passed)
			o.tokens = o.waitingTokens + int(o.arrivalRate*arrivalHorizon.Seconds())
		}
		t.arrivalRate = average(t.arrivalRate, sent/passed.Seconds(), intervalWeight(passed, demandTimeConstant))
	}
	for _, g := range p.grants {
		g.account.organisation.tokens += g.tokens
	}
	left := p.targetTokens()
	for i := range p.queue.tiers {
		t := &p.queue.tiers[i]
		t.exhausted = left <= 0
		left = p.markTierOverShare(t, left)
		p.updateTierDemand(t, passed)
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
			target = min(target, int(p.streamsWithinGap(s, targetGapShare)*float64(tokens)/float64(requests)))
		}
		sum += target
	}
	return sum
}

// streamsWithinGap returns the number of streams whose tokens take a share of the gap
// target on a server.
func (p *Pool) streamsWithinGap(s *server, share float64) float64 {
	return share * p.config.GapTarget.Seconds() * s.speed.decodeSeed
}

// markTierOverShare marks the organisations of a tier whose tokens exceed their max-min
// share of what is left, and returns what is left after them.
func (p *Pool) markTierOverShare(t *tierQueue, left int) int {
	active := p.headroom.activeBuffer[:0]
	for _, o := range t.organisations {
		active = append(active, o)
	}
	slices.SortFunc(active, func(a, b *organisationQueue) int { return a.tokens - b.tokens })
	for i, o := range active {
		share := left / (len(active) - i)
		o.overShare = o.tokens > share
		left -= min(o.tokens, share)
	}
	p.headroom.activeBuffer = active
	return left
}

// updateTierDemand puts the organisations where their shares place them, and sums up
// the demand of those that aren't ahead for long.
func (p *Pool) updateTierDemand(t *tierQueue, passed time.Duration) {
	t.demand = 0
	for _, o := range t.organisations {
		t.updateHeaps(o)
		o.overShareFor += passed
		if !o.isOverShare() {
			o.overShareFor = 0
		}
		if o.overShareFor < minOverShareTime {
			t.demand += o.demand
		}
	}
}

// assignHeadroom keeps as many of the fastest servers as the demand of each tier
// takes in which an organisation is ahead: for that tier, and for those below it,
// which may not pass it. Where nobody of a tier is ahead, lower tiers may fill the
// servers: the tier goes first anyway, and the limit of streams bounds what it
// finds before it.
func (p *Pool) assignHeadroom() {
	h := &p.headroom
	for _, s := range p.servers {
		s.headroomTiers = 0
	}
	most := int(maxHeadroomShare * float64(len(h.fastest)))
	var all headroomOwners
	for tier := range p.queue.tiers {
		t := &p.queue.tiers[tier]
		if t.hasOverShare() {
			all.add(t)
			p.assignHeadroomFor(tier, most)
		}
		t.headroomOwner = all.sole()
	}
}

// assignHeadroomFor keeps servers for the demand of a tier.
func (p *Pool) assignHeadroomFor(tier, most int) {
	h := &p.headroom
	reserved, demand := 0.0, p.queue.tiers[tier].demand
	for n := 0; n < most && demand > headroomLoad*reserved+minHeadroomLoad*h.capacity(h.fastest[n]); n++ {
		reserved += h.capacity(h.fastest[n])
		h.fastest[n].headroomTiers |= tiersFrom(tier)
	}
}

// tierSet is a set of tiers, by rank.
type tierSet uint64

// tiersFrom returns a tier and all below it.
func tiersFrom(tier int) tierSet { return ^tierSet(0) << tier }

func (s tierSet) has(tier int) bool { return s&(1<<tier) != 0 }

// hasOverShare reports whether an organisation of the tier is ahead.
func (t *tierQueue) hasOverShare() bool {
	for _, o := range t.organisations {
		if o.isOverShare() {
			return true
		}
	}
	return false
}

// headroomOwners are the organisations whose demand keeps servers.
type headroomOwners struct {
	first    string
	multiple bool
}

func (k *headroomOwners) add(t *tierQueue) {
	for _, o := range t.organisations {
		switch {
		case o.overShareFor >= minOverShareTime || o.demand < minDemand:
		case k.first == "":
			k.first = o.name
		case k.first != o.name:
			k.multiple = true
		}
	}
}

// sole returns the only keeper, or an empty string if there are several.
func (k *headroomOwners) sole() string {
	if k.multiple {
		return ""
	}
	return k.first
}

// withheldByHeadroom reports whether a server is kept lightly loaded for others than a
// request's organisation, and has as much work as that leaves.
func (p *Pool) withheldByHeadroom(s *server, w *waiter) bool {
	return s.headroomTiers.has(w.tier) && w.tokens > s.spareTokens && p.excludedFromHeadroom(w)
}

// excludedFromHeadroom reports whether servers that are kept for a request's tier are kept
// from the request.
func (p *Pool) excludedFromHeadroom(w *waiter) bool {
	return w.organisation != p.queue.tiers[w.tier].headroomOwner && w.overShare()
}

// spareTokens returns the largest request, in tokens, that leaves a kept server so
// lightly loaded that it answers others at once. An idle one takes any request,
// and one where lower work gave way isn't kept.
func (p *Pool) spareTokens(s *server) int {
	switch {
	case len(s.grants) == 0 || s.reservedFor != nil && !s.reservedFor.cycleOnly:
		return math.MaxInt
	case s.prefilling() || float64(len(s.grants)) >= p.streamsWithinGap(s, headroomGapShare):
		return 0
	}
	return int(headroomTokenShare*float64(s.tokenLimit)) - s.tokens
}

// prefilling reports whether the server is likely to compute a prompt.
func (s *server) prefilling() bool {
	return s.prefill > 0 && slices.ContainsFunc(s.grants, func(g *running) bool {
		return !g.hasFirstToken && g.prefilled < float64(g.uncached)
	})
}

// queuedPrefill reports whether a request's organisation asks for more than its share.
func (w *waiter) overShare() bool { return w.caller != nil && w.caller.organisation.isOverShare() }

func (o *organisationQueue) isOverShare() bool { return o.overShare || o.tier.exhausted }

// negligible reports whether an organisation has sent nothing for long.
func (a *organisationDemand) negligible() bool { return a.arrivedWork == 0 && a.demand < minDemand }
