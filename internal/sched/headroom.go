package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// headroomInterval is the interval between recomputations of shares and headroom.
	headroomInterval = 250 * time.Millisecond
	// demandTimeConstant is the time constant of the mean demand from which the headroom
	// is computed.
	demandTimeConstant = 5 * time.Second
	// minOverShareTime is how long an organisation must be over its share before its
	// demand stops counting for headroom, so that a small organisation keeps its
	// headroom during a burst.
	minOverShareTime = 2 * time.Second
	// headroomLoad is the utilisation at which headroom servers still start requests
	// immediately.
	headroomLoad = 0.8
	// minHeadroomLoad is the minimum demand, as a share of a server's speed, for which
	// the server becomes headroom.
	minHeadroomLoad = 0.02
	// minDemand is the demand, in servers, below which an organisation is ignored.
	minDemand = 0.001
	// maxHeadroomShare of the servers that take work may be headroom.
	maxHeadroomShare = 0.5
	// arrivalTimeConstant is the time constant of the mean arrival rate; arrivals of
	// one arrivalHorizon at that rate count as demand.
	arrivalTimeConstant = time.Second
	arrivalHorizon      = 500 * time.Millisecond
	// headroomGapShare of the gap target limits the time that the streams of a headroom
	// server take for one token each.
	headroomGapShare = 0.3
	// headroomTokenShare of a headroom server's token limit may be used.
	headroomTokenShare = 0.5
)

// headroom keeps the fastest servers lightly loaded for organisations under their share,
// so that their requests start and run as if the load of the other organisations were
// absent. Demand and capacity are measured in seconds of the fastest server.
//
// Shares are max-min fair, computed by water-filling in each tier: the tokens with which
// all servers meet the gap target, less those of higher tiers, are divided among the
// organisations of the tier. An organisation is over its share when its tokens in flight
// and waiting, and those expected to arrive in half a second (arrivalHorizon), exceed
// it. When the organisations of a tier use up the capacity, all of the lower tiers are
// over their share.
type headroom struct {
	lastRefresh time.Time
	// fastestPrefill and fastestDecode are the speeds of the fastest server, in tokens
	// per second.
	fastestPrefill, fastestDecode float64
	// bySpeed are the servers that take work, sorted by decreasing speed.
	bySpeed []*server
	// activeBuffer is a reused buffer.
	activeBuffer []*organisationQueue
}

// organisationDemand is the demand of an organisation in one tier.
type organisationDemand struct {
	// arrivedWork is the work that arrived since the last refresh, in seconds of the
	// fastest server, and demand its mean rate in servers.
	arrivedWork, demand float64
	// arrivedTokens is the same in tokens, and arrivalRate its mean rate in tokens per
	// second.
	arrivedTokens, arrivalRate float64
	// tokens is the sum of running, waiting and expected tokens.
	tokens int
	// overShare is set while tokens exceeds the fair share, and overShareFor is how long
	// the organisation has been over its share.
	overShare    bool
	overShareFor time.Duration
	// underShareIndex is the position in the heap tierQueue.underShare.
	underShareIndex int
}

// refreshHeadroom recomputes which organisations are over their share and which servers
// are headroom.
func (p *Pool) refreshHeadroom(now time.Time) {
	h := &p.headroom
	passed := now.Sub(h.lastRefresh)
	if !p.fair() || p.config.Service || passed < headroomInterval {
		return
	}
	h.lastRefresh = now
	p.sortBySpeed()
	p.markOverShare(min(passed, demandTimeConstant))
	p.assignHeadroom()
}

// observe adds the arrivals of an interval to the means.
func (a *organisationDemand) observe(passed time.Duration) {
	a.demand = average(a.demand, a.arrivedWork/passed.Seconds(), intervalWeight(passed, demandTimeConstant))
	a.arrivalRate = average(a.arrivalRate, a.arrivedTokens/passed.Seconds(), intervalWeight(passed, arrivalTimeConstant))
	a.arrivedWork, a.arrivedTokens = 0, 0
}

// intervalWeight is the weight of an interval in an EWMA with a time constant.
func intervalWeight(passed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-passed.Seconds()/timeConstant.Seconds())
}

// recordArrival counts the work of an arriving request.
func (p *Pool) recordArrival(w *waiter) {
	if h := &p.headroom; h.fastestPrefill > 0 {
		work := float64(w.PromptTokens)/h.fastestPrefill + p.estimate.outputTokens(w.Request)/h.fastestDecode
		w.caller.organisation.arrivedWork += work
		w.caller.organisation.arrivedTokens += float64(w.tokens)
	}
}

// sortBySpeed sorts the servers that take work by the speed of their hardware.
func (p *Pool) sortBySpeed() {
	h := &p.headroom
	h.bySpeed = h.bySpeed[:0]
	for _, s := range p.servers {
		if s.health.takesWork() && !s.closed() {
			h.bySpeed = append(h.bySpeed, s)
		}
	}
	slices.SortStableFunc(h.bySpeed, func(a, b *server) int {
		return cmp.Compare(b.speed.prefillSeed, a.speed.prefillSeed)
	})
	if len(h.bySpeed) > 0 {
		h.fastestPrefill, h.fastestDecode = h.bySpeed[0].speed.prefillSeed, h.bySpeed[0].speed.decodeSeed
	}
}

// capacity is the speed of a server relative to the fastest.
func (h *headroom) capacity(s *server) float64 { return s.speed.prefillSeed / h.fastestPrefill }

// markOverShare divides the tokens that the servers can run within the gap target among
// the tiers and organisations, and marks the organisations over their share.
func (p *Pool) markOverShare(passed time.Duration) {
	for i := range p.queue.tiers {
		t := &p.queue.tiers[i]
		arrived := 0.0
		for _, o := range t.organisations {
			arrived += o.arrivedTokens
			o.observe(passed)
			o.tokens = o.waitingTokens + int(o.arrivalRate*arrivalHorizon.Seconds())
		}
		t.arrivalRate = average(t.arrivalRate, arrived/passed.Seconds(), intervalWeight(passed, demandTimeConstant))
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

// targetTokens returns the tokens in flight with which all servers meet the gap target,
// for requests of the current mean size.
func (p *Pool) targetTokens() int {
	tokens, requests := p.queue.tokens, p.queue.waiting+len(p.grants)
	for _, s := range p.servers {
		tokens += s.tokens
	}
	sum := 0
	for _, s := range p.headroom.bySpeed {
		target := s.limit.tokens(0)
		if requests > 0 {
			target = min(target, int(p.streamsWithinGap(s, targetGapShare)*float64(tokens)/float64(requests)))
		}
		sum += target
	}
	return sum
}

// streamsWithinGap returns the number of streams for which a server can decode one token
// each within a share of the gap target.
func (p *Pool) streamsWithinGap(s *server, share float64) float64 {
	return share * p.config.GapTarget.Seconds() * s.speed.decodeSeed
}

// markTierOverShare marks the organisations of a tier whose tokens exceed their max-min
// share of what is left, and returns what is left for the lower tiers.
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

// updateTierDemand updates the heaps after shares changed, and sums the demand of the
// organisations that count for headroom.
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

// assignHeadroom assigns headroom for each tier with an organisation over its share: as
// many of the fastest servers as the tier's demand requires. The headroom applies to
// that tier and all lower ones. Without such an organisation, lower tiers may fill the
// servers: strict priority still serves the tier first, and the stream limit bounds the
// load already running.
func (p *Pool) assignHeadroom() {
	h := &p.headroom
	for _, s := range p.servers {
		s.headroomTiers = 0
	}
	maxServers := int(maxHeadroomShare * float64(len(h.bySpeed)))
	var owners headroomOwners
	for tier := range p.queue.tiers {
		t := &p.queue.tiers[tier]
		if t.hasOverShare() {
			owners.add(t)
			p.assignHeadroomFor(tier, maxServers)
		}
		t.headroomOwner = owners.sole()
	}
}

// assignHeadroomFor assigns headroom servers for the demand of a tier.
func (p *Pool) assignHeadroomFor(tier, maxServers int) {
	h := &p.headroom
	assigned, demand := 0.0, p.queue.tiers[tier].demand
	for n := 0; n < maxServers && demand > headroomLoad*assigned+minHeadroomLoad*h.capacity(h.bySpeed[n]); n++ {
		assigned += h.capacity(h.bySpeed[n])
		h.bySpeed[n].headroomTiers |= tiersFrom(tier)
	}
}

// tierSet is a bit set of tiers, indexed by rank.
type tierSet uint64

// tiersFrom returns a tier and all lower ones.
func tiersFrom(tier int) tierSet { return ^tierSet(0) << tier }

func (s tierSet) has(tier int) bool { return s&(1<<tier) != 0 }

// hasOverShare reports whether an organisation of the tier is over its share.
func (t *tierQueue) hasOverShare() bool {
	for _, o := range t.organisations {
		if o.isOverShare() {
			return true
		}
	}
	return false
}

// headroomOwners are the organisations whose demand counts for headroom.
type headroomOwners struct {
	first    string
	multiple bool
}

// add adds the organisations of a tier.
func (h *headroomOwners) add(t *tierQueue) {
	for _, o := range t.organisations {
		switch {
		case o.overShareFor >= minOverShareTime || o.demand < minDemand:
		case h.first == "":
			h.first = o.name
		case h.first != o.name:
			h.multiple = true
		}
	}
}

// sole returns the only owner, or an empty string if there is none or several.
func (h *headroomOwners) sole() string {
	if h.multiple {
		return ""
	}
	return h.first
}

// withheldByHeadroom reports whether a server is headroom that excludes the request and
// has no spare tokens left for it.
func (p *Pool) withheldByHeadroom(s *server, w *waiter) bool {
	return s.headroomTiers.has(w.tier) && w.tokens > s.spareTokens && p.excludedFromHeadroom(w)
}

// excludedFromHeadroom reports whether a request must leave the headroom of its tier to
// other organisations.
func (p *Pool) excludedFromHeadroom(w *waiter) bool {
	return w.organisation != p.queue.tiers[w.tier].headroomOwner && w.overShare()
}

// spareTokens returns the size of the largest request that leaves a headroom server
// lightly loaded enough to start others immediately. An idle server accepts any request,
// and so does one with a lasting reservation, where lower work was revoked.
func (p *Pool) spareTokens(s *server) int {
	switch {
	case len(s.grants) == 0 || s.reservedFor != nil && !s.reservedFor.cycleOnly:
		return math.MaxInt
	case s.prefilling() || float64(len(s.grants)) >= p.streamsWithinGap(s, headroomGapShare):
		return 0
	}
	return int(headroomTokenShare*float64(s.tokenLimit)) - s.tokens
}

// prefilling reports whether the server is probably computing a prompt.
func (s *server) prefilling() bool {
	return s.prefill > 0 && slices.ContainsFunc(s.grants, func(g *running) bool {
		return !g.hasFirstToken && g.prefilled < float64(g.uncached)
	})
}

// overShare reports whether the request's organisation is over its share.
func (w *waiter) overShare() bool { return w.caller != nil && w.caller.organisation.isOverShare() }

// isOverShare reports whether the organisation exceeds its share, or its tier has none
// left.
func (o *organisationQueue) isOverShare() bool { return o.overShare || o.tier.exhausted }

// negligible reports whether the demand is too small to be counted.
func (a *organisationDemand) negligible() bool { return a.arrivedWork == 0 && a.demand < minDemand }
