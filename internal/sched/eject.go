package sched

import (
	"slices"
	"time"

	"mimosafront/internal/message"
)

const (
	// slowFactor times the median slowness of its peers makes a straggler.
	slowFactor = 3.0
	// minSlowSamples windows of work, or calls of a plain service, must be seen
	// since the server last took up work.
	minSlowSamples = 3
	// stallTime without a token makes a running request stalled.
	stallTime = 3 * time.Second
	// minStalled requests, and half of those that run, make a server stalled.
	minStalled = 2
	// firstEjection doubles with each ejection in a row, up to lastEjection.
	firstEjection = 5 * time.Second
	lastEjection  = 2 * time.Minute
	// firstOutage is the time for which a server is left alone after a failed
	// connection or a crash; it doubles up to lastOutage.
	firstOutage = 500 * time.Millisecond
	lastOutage  = 10 * time.Second
	// probes run at once on a server in probation; so many good results readmit
	// it.
	probes      = 2
	goodResults = 3
	maxFailures = 3
	// checkInterval separates two searches for stragglers.
	checkInterval = 200 * time.Millisecond
	// maxEjectedDivisor bounds the ejected share of a pool.
	maxEjectedDivisor = 3
)

// healthState says which work a server is given.
type healthState int

const (
	healthy healthState = iota
	probation
	ejected
	down
)

func (h healthState) String() string {
	return [...]string{"healthy", "probation", "ejected", "down"}[h]
}

// health tracks whether a server answers as well as its peers.
type health struct {
	state healthState
	// until is when an ejected server goes on probation.
	until   time.Time
	strikes int
	good    int
	// samples of speed since the state changed.
	samples  int
	failures int
}

// takesWork reports whether the server may get a grant.
func (h *health) takesWork() bool { return h.state == healthy || h.state == probation }

func (h *health) turn(now time.Time, state healthState, first, last time.Duration) {
	h.state = state
	h.until = now.Add(min(first<<min(h.strikes, 16), last))
	h.strikes++
	h.good, h.samples, h.failures = 0, 0, 0
}

// eject takes a server out of use, unless too many are out already.
func (p *Pool) eject(now time.Time, s *server, reason string) {
	if s.health.state == ejected || s.health.state == down || !p.mayEject(s) {
		return
	}
	s.health.turn(now, ejected, firstEjection, lastEjection)
	p.unpin(s)
	p.act(Action{Kind: ActionEject, Request: &Request{}, Server: s.Name, Reason: reason})
}

// mayEject keeps the ejected within their share and one other server at work.
func (p *Pool) mayEject(s *server) bool {
	out, others := 0, 0
	for _, other := range p.servers {
		if other == s {
			continue
		}
		if other.health.state == ejected {
			out++
		}
		if other.health.state == healthy && !other.closed() {
			others++
		}
	}
	return others > 0 && out < max(1, len(p.servers)/maxEjectedDivisor)
}

// outage notes that a server can't be reached or crashed.
func (p *Pool) outage(now time.Time, s *server, reason string) {
	if s.health.state == down {
		return
	}
	s.health.turn(now, down, firstOutage, lastOutage)
	p.unpin(s)
	p.act(Action{Kind: ActionEject, Request: &Request{}, Server: s.Name, Reason: reason})
}

// readmit ends an ejection. The ejections in a row are forgotten later.
func (p *Pool) readmit(now time.Time, s *server, reason string) {
	s.health = health{strikes: s.health.strikes, until: now.Add(lastEjection)}
	p.act(Action{Kind: ActionReadmit, Request: &Request{}, Server: s.Name, Reason: reason})
}

// observeOutcome judges a server by the end of one grant.
func (p *Pool) observeOutcome(now time.Time, s *server, outcome message.ReleaseOutcome) {
	switch outcome {
	case message.ReleaseOutcomeFinished:
		s.health.failures = 0
		s.health.good++
		if s.health.state == probation && s.health.good >= goodResults && !p.slow(s) {
			p.readmit(now, s, "answered its probes")
		}
	case message.ReleaseOutcomeConnectFailed:
		p.outage(now, s, "refuses connections")
	case message.ReleaseOutcomeServerCrashed:
		p.outage(now, s, "crashed")
	case message.ReleaseOutcomeServerFailed:
		s.health.failures++
		if s.health.failures >= maxFailures {
			p.eject(now, s, "fails request after request")
		}
	}
}

// Hint takes the news of another coordinator about a server that both use. Own
// recent good results weigh more than an ejection elsewhere.
func (p *Pool) Hint(now time.Time, name string, healthyThere bool, reason string) {
	s := p.byName[name]
	if s == nil {
		return
	}
	p.markStale(s)
	if healthyThere && s.health.state == ejected {
		p.probe(s)
	}
	if !healthyThere && s.health.state == healthy && s.health.good < goodResults {
		p.eject(now, s, "ejected elsewhere: "+reason)
	}
}

// checkServers ends ejections and searches for stragglers.
func (p *Pool) checkServers(now time.Time) {
	if now.Before(p.checked.Add(checkInterval)) {
		return
	}
	passed := min(now.Sub(p.checked), windowTime)
	p.checked = now
	for _, s := range p.servers {
		p.measure(now, s, passed)
		if now.Before(s.health.until) {
			continue
		}
		if !s.health.takesWork() {
			p.probe(s)
		}
		if s.health.state == healthy {
			s.health.strikes = 0
		}
	}
	for _, s := range p.servers {
		switch {
		case !s.health.takesWork():
		case s.health.samples >= minSlowSamples && p.slow(s):
			p.eject(now, s, "slower than its peers")
		case p.stalled(now, s):
			p.eject(now, s, "its streams stand still")
		}
	}
	p.estimate.refresh(p.servers)
}

// probe puts a server on probation with the speed of its peers.
func (p *Pool) probe(s *server) {
	s.health.state = probation
	s.health.good, s.health.samples = 0, 0
	if median := p.medianSlowness(); median > 0 {
		s.speed.slow, s.speed.total = median, min(s.speed.total, median)
		s.speed.gap = s.speed.gapSeed
	}
}

// slow reports whether a server takes much longer for its work than its peers,
// and misses the target for the time between tokens.
func (p *Pool) slow(s *server) bool {
	median := p.medianSlowness()
	onTarget := !p.config.Service && seconds(s.speed.gap) <= p.config.GapTarget
	return median > 0 && !onTarget && s.speed.slowness() > slowFactor*median
}

// measure sums up what a server does, and learns from each window that ends.
func (p *Pool) measure(now time.Time, s *server, passed time.Duration) {
	w := &s.speed.window
	if len(s.grants) > 0 && !p.config.Service {
		s.credit(passed)
		w.busy += passed.Seconds()
		w.used = max(w.used, s.tokens)
		w.streams = max(w.streams, len(s.grants))
	}
	if now.Sub(w.begin) < windowTime {
		return
	}
	used, streams := w.used, w.streams
	if s.speed.fold(now) {
		s.health.samples++
		s.limit.observe(s.speed.gap/(gapShare*p.config.GapTarget.Seconds()), 1/s.speed.slow, used, streams)
	}
}

// medianSlowness returns the median over the servers that take work.
func (p *Pool) medianSlowness() float64 {
	p.slowness = p.slowness[:0]
	for _, s := range p.servers {
		if slowness := s.speed.slowness(); s.health.takesWork() && slowness > 0 {
			p.slowness = append(p.slowness, slowness)
		}
	}
	if len(p.slowness) == 0 {
		return 0
	}
	slices.Sort(p.slowness)
	return p.slowness[(len(p.slowness)-1)/2]
}

// stalled reports whether half of the grants on a server stand still, although
// their fronts are heard.
func (p *Pool) stalled(now time.Time, s *server) bool {
	active, still := 0, 0
	for _, g := range s.grants {
		if g.revoked || now.Sub(p.heard[g.Host]) > stallTime {
			continue
		}
		active++
		wait := stallTime
		if !g.firstToken {
			wait += slowFactor * s.speed.firstTokenTime(g.ahead+g.uncached)
		}
		if now.Sub(g.progressed) > wait {
			still++
		}
	}
	return !p.config.Service && still >= minStalled && 2*still >= active
}
