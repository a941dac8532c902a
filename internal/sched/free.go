package sched

import (
	"math"
	"slices"
	"time"
)

// rebuildingShare of a server's limit may be in use by known grants while others
// may run unknown.
const rebuildingShare = 0.25

// freeRoom is what fits on the servers. It is brought up to date at the start of a
// cycle and after each grant, for the servers that changed since.
//
// Invariant: whatever changes what fits on a server marks it as stale.
type freeRoom struct {
	// tokens is the size of the largest request that fits, by server index; some
	// servers of these take no work.
	tokens []int
	// sharedTokens is the same for organisations that are ahead, where servers are
	// kept for others.
	sharedTokens []int
	// most and mostShared are the most of these over all servers.
	most, mostShared int
	// open tells, by server index, which servers take work and are within their
	// limits; anyOpen whether one is.
	open    []bool
	anyOpen bool
	// rate is the work that all servers do when they are full.
	rate float64
	// tiers are those for which all kept servers are kept.
	tiers tierSet
	// stale servers changed since; all of them did if allStale.
	stale    []*server
	allStale bool
}

// freeTokens returns the size of the largest request that has room on a server
// now. A server that is idle has room for any request.
func (p *Pool) freeTokens(s *server) int {
	switch {
	case len(s.grants) >= s.maxRequests:
		return 0
	case len(s.grants) == 0 || !p.fair():
		return math.MaxInt
	case s.overlapping:
		return 0
	}
	return s.room - s.tokens
}

// markStale notes that what fits on a server may have changed.
func (p *Pool) markStale(s *server) {
	if !s.stale {
		s.stale = true
		p.free.stale = append(p.free.stale, s)
	}
}

// refreshRoom computes what fits on the servers that changed and reports whether
// any server may have room.
func (p *Pool) refreshRoom(now time.Time) bool {
	f := &p.free
	if f.allStale {
		p.refreshAll(now)
	} else if len(f.stale) > 0 {
		p.refreshStale(now)
	}
	return f.anyOpen
}

func (p *Pool) refreshAll(now time.Time) {
	f := &p.free
	f.allStale, f.stale = false, f.stale[:0]
	f.tokens = slices.Grow(f.tokens[:0], len(p.servers))[:len(p.servers)]
	f.sharedTokens = slices.Grow(f.sharedTokens[:0], len(p.servers))[:len(p.servers)]
	f.open = slices.Grow(f.open[:0], len(p.servers))[:len(p.servers)]
	f.tiers = ^tierSet(0)
	for _, s := range p.servers {
		p.refreshServer(now, s)
		if s.keptTiers != 0 {
			f.tiers &= s.keptTiers
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

// refreshServer computes the room of one server. The room left by the tokens of
// others grows with time: such a server stays stale.
func (p *Pool) refreshServer(now time.Time, s *server) {
	f := &p.free
	foreign := s.limit.foreignAt(now)
	if s.stale = false; foreign > 0 {
		p.markStale(s)
	}
	s.room = s.limit.tokens(foreign)
	s.maxRequests = s.allowedRequests()
	if p.rebuilding {
		s.room = int(rebuildingShare * float64(s.room))
		s.maxRequests = max(1, int(rebuildingShare*float64(s.maxRequests)))
	}
	within := len(s.grants) < s.maxRequests && (len(s.grants) == 0 || s.tokens < s.room || !p.fair())
	f.open[s.index] = within && s.health.takesWork() && !s.closed()
	free := p.freeTokens(s)
	f.tokens[s.index] = free
	if s.keptTiers != 0 {
		s.spare = p.spare(s)
		free = min(free, s.spare)
	}
	f.sharedTokens[s.index] = free
}

// sumFree sums up over all servers.
func (p *Pool) sumFree() {
	f := &p.free
	f.most, f.mostShared = 0, 0
	for i, free := range f.tokens {
		f.most = max(f.most, free)
		f.mostShared = max(f.mostShared, f.sharedTokens[i])
	}
	f.anyOpen = slices.Contains(f.open, true)
	f.rate = p.tokensPerSecond()
}

// mayFit excludes requests that fit no server, without a look at each.
func (p *Pool) mayFit(w *waiter) bool {
	if p.allKeptFrom(w) {
		return w.tokens <= p.free.mostShared
	}
	return w.tokens <= p.free.most
}

// allKeptFrom reports whether all kept servers are kept from a request.
func (p *Pool) allKeptFrom(w *waiter) bool {
	return p.free.tiers.has(w.tier) && p.keptFrom(w)
}

// roomFor returns, by server index, the size of the largest request that fits;
// less what is withheld from a request, where that is the same for all servers.
func (p *Pool) roomFor(w *waiter, late bool) []int {
	if !late && p.allKeptFrom(w) {
		return p.free.sharedTokens
	}
	return p.free.tokens
}
