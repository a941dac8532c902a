package sched

import (
	"math"
	"slices"
	"time"
)

// rebuildingShare of a server's limits may be used by known grants while unknown ones
// may still run on it.
const rebuildingShare = 0.25

// freeCapacity caches the free capacity of each server. It is refreshed at the start of a
// cycle and after each grant, for the servers that changed since.
//
// Invariant: each change to the free capacity of a server marks the server as stale.
type freeCapacity struct {
	// tokens is the size of the largest request that fits, by server index, whether or
	// not the server takes work.
	tokens []int
	// overShareTokens is the same for organisations that are over their share, which
	// may not use the headroom.
	overShareTokens []int
	// maxTokens and maxOverShareTokens are the maxima over all servers.
	maxTokens, maxOverShareTokens int
	// withinLimits marks, by server index, the servers that take work and are within
	// their limits; anyWithinLimits is set if there is one.
	withinLimits    []bool
	anyWithinLimits bool
	// throughput is the work of all servers at full load.
	throughput throughput
	// headroomTiers are the tiers to which all headroom servers are assigned.
	headroomTiers tierSet
	// stale lists the servers that changed since the last refresh; allStale stands for
	// all servers.
	stale    []*server
	allStale bool
}

// freeTokens returns the size of the largest request that has room on a server
// now. A server that is idle has room for any request.
func (p *Pool) freeTokens(s *server) int {
	switch {
	case len(s.grants) >= s.requestLimit:
		return 0
	case len(s.grants) == 0 || !p.fair():
		return math.MaxInt
	case s.overcommitted:
		return 0
	}
	return s.tokenLimit - s.tokens
}

// markStale records that the free capacity of a server may have changed.
func (p *Pool) markStale(s *server) {
	if !s.stale {
		s.stale = true
		p.free.stale = append(p.free.stale, s)
	}
}

// refreshFree recomputes the free capacity of the stale servers and reports whether any
// server may have room.
func (p *Pool) refreshFree(now time.Time) bool {
	f := &p.free
	if f.allStale {
		p.refreshAll(now)
	} else if len(f.stale) > 0 {
		p.refreshStale(now)
	}
	return f.anyWithinLimits
}

func (p *Pool) refreshAll(now time.Time) {
	f := &p.free
	f.allStale, f.stale = false, f.stale[:0]
	f.tokens = slices.Grow(f.tokens[:0], len(p.servers))[:len(p.servers)]
	f.overShareTokens = slices.Grow(f.overShareTokens[:0], len(p.servers))[:len(p.servers)]
	f.withinLimits = slices.Grow(f.withinLimits[:0], len(p.servers))[:len(p.servers)]
	f.headroomTiers = ^tierSet(0)
	for _, s := range p.servers {
		p.refreshServer(now, s)
		if s.headroomTiers != 0 {
			f.headroomTiers &= s.headroomTiers
		}
	}
	p.sumFree()
}

func (p *Pool) refreshStale(now time.Time) {
	f := &p.free
	changed := f.stale
	f.stale = f.stale[:0]
	for _, s := range changed {
		p.refreshServer(now, s)
	}
	p.sumFree()
}

// refreshServer recomputes the free capacity of one server. The tokens granted by other
// coordinators decay with time, so a server with such tokens stays stale.
func (p *Pool) refreshServer(now time.Time, s *server) {
	f := &p.free
	foreign := s.limit.foreignAt(now)
	if s.stale = false; foreign > 0 {
		p.markStale(s)
	}
	p.setLimits(s, foreign)
	within := len(s.grants) < s.requestLimit && (len(s.grants) == 0 || s.tokens < s.tokenLimit || !p.fair())
	f.withinLimits[s.index] = within && s.health.takesWork() && !s.closed()
	free := p.freeTokens(s)
	if !s.pace.allows(now, 1) {
		f.withinLimits[s.index], free = false, 0
		p.markStale(s)
	}
	f.tokens[s.index] = free
	if s.headroomTiers != 0 {
		s.spareTokens = p.spareTokens(s)
		free = min(free, s.spareTokens)
	}
	f.overShareTokens[s.index] = free
}

// setLimits sets the limits of a server, given the tokens that other coordinators granted.
func (p *Pool) setLimits(s *server, foreign int) {
	s.tokenLimit = s.limit.tokens(foreign)
	s.requestLimit = s.allowedRequests()
	if p.rebuilding {
		s.tokenLimit = int(rebuildingShare * float64(s.tokenLimit))
		s.requestLimit = max(1, int(rebuildingShare*float64(s.requestLimit)))
	}
}

// sumFree computes the values over all servers.
func (p *Pool) sumFree() {
	f := &p.free
	f.maxTokens, f.maxOverShareTokens = 0, 0
	for i, free := range f.tokens {
		f.maxTokens = max(f.maxTokens, free)
		f.maxOverShareTokens = max(f.maxOverShareTokens, f.overShareTokens[i])
	}
	f.anyWithinLimits = slices.Contains(f.withinLimits, true)
	f.throughput = p.throughput()
}

// mayFit reports whether a request is at most as large as the largest free capacity. It
// saves a check of each server for requests that fit on none.
func (p *Pool) mayFit(w *waiter) bool {
	if p.excludedFromAllHeadroom(w) {
		return w.tokens <= p.free.maxOverShareTokens
	}
	return w.tokens <= p.free.maxTokens
}

// excludedFromAllHeadroom reports whether a request may use no headroom server.
func (p *Pool) excludedFromAllHeadroom(w *waiter) bool {
	return p.free.headroomTiers.has(w.tier) && p.excludedFromHeadroom(w)
}

// freeTokensFor returns, by server index, the size of the largest request that fits. If
// the request is excluded from all headroom servers, the headroom is already deducted.
// Late requests, which are past their latest start, may use the headroom.
func (p *Pool) freeTokensFor(w *waiter, late bool) []int {
	if !late && p.excludedFromAllHeadroom(w) {
		return p.free.overShareTokens
	}
	return p.free.tokens
}
