package sched

import "time"

// A request waits for the next place on a fast server if its answer is expected sooner there
// than on a slow one that has room. Load: a crest at which all fast servers of a pool are
// full, and some servers take several times as long for the same work. The first request in
// the order would go to a slow server a few milliseconds before a fast one has room, and be
// late or pause there for want of speed, while lower tiers got the fast places that end
// next. The slow servers are left to the requests whose turn on the fast ones is far away.

const (
	// minPlaceTime is the shortest time after which a running request is expected to end.
	minPlaceTime = 50 * time.Millisecond
	// maxHoldShare of the time to its first-token target may pass before a request takes a
	// slow server, so that an expectation which proves wrong doesn't make it late.
	maxHoldShare = 0.5
	// minSpeedRatio is how many times as long the answer must take on the slow server:
	// learned times differ by less between like servers.
	minSpeedRatio = 2
)

// endsSoonerElsewhere reports whether a request is expected to end sooner if it waits for a
// place on a server faster than the chosen one, and still meets its first-token target
// there. Places on faster servers become free as the requests that run there end, and go to
// the waiting requests of its tier and of higher ones first.
func (p *Pool) endsSoonerElsewhere(now time.Time, w *waiter, chosen placement) bool {
	if !p.config.WaitForFaster || w.FirstTarget.IsZero() || p.config.Service || w.NoWait {
		return false
	}
	if now.Sub(w.Arrived) > time.Duration(maxHoldShare*float64(w.FirstTarget.Sub(w.Arrived))) {
		return false
	}
	rate, total, firstToken := 0.0, 0.0, 0.0 // the times are weighted by the rates
	for _, s := range p.servers {
		if !p.accepts(s, w) || len(s.grants) == 0 {
			continue
		}
		c := p.estimateOn(s, w, 0)
		if minSpeedRatio*c.total >= chosen.total {
			continue
		}
		ends := s.endsPerSecond()
		rate += ends
		total += ends * c.total.Seconds()
		firstToken += ends * c.firstToken.Seconds()
	}
	if rate == 0 {
		return false
	}
	wait := float64(p.aheadOf(w)+1) / rate
	return wait+total/rate < chosen.total.Seconds() && !now.Add(seconds(wait+firstToken/rate)).After(w.FirstTarget)
}

// endsPerSecond returns how many of the running requests of a server are expected to end in
// a second.
func (s *server) endsPerSecond() float64 {
	rate := 0.0
	for _, g := range s.grants {
		rate += 1 / max(g.expected, minPlaceTime).Seconds()
	}
	return rate
}

// aheadOf returns the number of other waiting requests of a tier and of higher ones.
func (p *Pool) aheadOf(w *waiter) int {
	ahead := 0
	for i := range w.tier + 1 {
		ahead += p.queue.tiers[i].waiting
	}
	if p.queue.byID[w.ID] == w {
		ahead--
	}
	return ahead
}
