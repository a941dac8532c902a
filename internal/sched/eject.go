package sched

import (
	"slices"
	"time"

	"mimosafront/internal/message"
)

const (
	// A server slower than stragglerFactor times the median is a straggler.
	stragglerFactor = 3.0
	// minStragglerSamples is the number of windows of work, or of calls of a plain
	// service, since the server's last change of state that an ejection as a straggler
	// requires.
	minStragglerSamples = 3
	// stallTime without a new token makes a running request stalled.
	stallTime = 3 * time.Second
	// A server is stalled when minStalled requests, and half of its running requests,
	// are stalled.
	minStalled = 2
	// baseEjection is how long a first ejection lasts; it doubles with each consecutive
	// one, up to maxEjection.
	baseEjection = 5 * time.Second
	maxEjection  = 2 * time.Minute
	// baseOutage is how long a server is down after a failed connection or a crash; it
	// doubles up to maxOutage.
	baseOutage = 500 * time.Millisecond
	maxOutage  = 10 * time.Second
	// probationRequests limits the concurrent requests of a server on probation;
	// probationSuccesses good results readmit it.
	probationRequests  = 2
	probationSuccesses = 3
	// maxConsecutiveFailures failed requests in a row eject a server.
	maxConsecutiveFailures = 3
	// checkInterval is the interval between searches for stragglers.
	checkInterval = 200 * time.Millisecond
	// maxEjectedDivisor limits the ejected servers to the pool's size divided by it,
	// but allows at least one.
	maxEjectedDivisor = 3
)

// healthState determines which work a server gets.
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

// health tracks whether a server performs as well as its peers.
type health struct {
	state healthState
	// until is when an ejected or down server goes on probation, and when a healthy
	// server's consecutiveOutages are reset.
	until time.Time
	// consecutiveOutages counts ejections and outages in a row.
	consecutiveOutages int
	// successes counts the finished grants since the state changed.
	successes int
	// samples counts speed measurements since the state changed.
	samples int
	// failures counts the server failures since the last finished grant.
	failures int
}

// takesWork reports whether the server may get a grant.
func (h *health) takesWork() bool { return h.state == healthy || h.state == probation }

// disable sets a state in which the server gets no grants, for a time that grows
// exponentially with the consecutive outages from base to maximum.
func (h *health) disable(now time.Time, state healthState, base, maximum time.Duration) {
	h.state = state
	h.until = now.Add(min(base<<min(h.consecutiveOutages, 16), maximum))
	h.consecutiveOutages++
	h.successes, h.samples, h.failures = 0, 0, 0
}

// eject ejects a server unless mayEject forbids it.
func (p *Pool) eject(now time.Time, s *server, reason string) {
	if s.health.state == ejected || s.health.state == down || !p.mayEject(s) {
		return
	}
	s.health.disable(now, ejected, baseEjection, maxEjection)
	p.releaseServer(s)
	p.act(Action{Kind: ActionEject, Request: &Request{}, Server: s.Name, Reason: reason})
}

// mayEject limits the ejected share of the pool and requires another healthy server.
func (p *Pool) mayEject(s *server) bool {
	ejectedCount, healthyCount := 0, 0
	for _, other := range p.servers {
		if other == s {
			continue
		}
		if other.health.state == ejected {
			ejectedCount++
		}
		if other.health.state == healthy && !other.closed() {
			healthyCount++
		}
	}
	return healthyCount > 0 && ejectedCount < max(1, len(p.servers)/maxEjectedDivisor)
}

// markDown records that a server is unreachable or crashed.
func (p *Pool) markDown(now time.Time, s *server, reason string) {
	if s.health.state == down {
		return
	}
	s.health.disable(now, down, baseOutage, maxOutage)
	p.releaseServer(s)
	p.act(Action{Kind: ActionEject, Request: &Request{}, Server: s.Name, Reason: reason})
}

// readmit ends an ejection. The count of consecutive outages is reset only after
// maxEjection.
func (p *Pool) readmit(now time.Time, s *server, reason string) {
	s.health = health{consecutiveOutages: s.health.consecutiveOutages, until: now.Add(maxEjection)}
	p.act(Action{Kind: ActionReadmit, Request: &Request{}, Server: s.Name, Reason: reason})
}

// observeOutcome updates a server's health from the outcome of one grant.
func (p *Pool) observeOutcome(now time.Time, s *server, outcome message.ReleaseOutcome) {
	switch outcome {
	case message.ReleaseOutcomeFinished:
		s.health.failures = 0
		s.health.successes++
		if s.health.state == probation && s.health.successes >= probationSuccesses && !p.isStraggler(s) {
			p.readmit(now, s, "answered its probes")
		}
	case message.ReleaseOutcomeConnectFailed:
		p.markDown(now, s, "refuses connections")
	case message.ReleaseOutcomeServerCrashed:
		p.markDown(now, s, "crashed")
	case message.ReleaseOutcomeServerFailed:
		s.health.failures++
		if s.health.failures >= maxConsecutiveFailures {
			p.eject(now, s, "fails request after request")
		}
	}
}

// Hint applies another coordinator's finding about a server that both use. Recent good
// results seen by this pool outweigh an ejection elsewhere.
func (p *Pool) Hint(now time.Time, name string, healthyElsewhere bool, reason string) {
	s := p.byName[name]
	if s == nil {
		return
	}
	p.markStale(s)
	if healthyElsewhere && s.health.state == ejected {
		p.startProbation(s)
	}
	if !healthyElsewhere && s.health.state == healthy && s.health.successes < probationSuccesses {
		p.eject(now, s, "ejected elsewhere: "+reason)
	}
}

// checkServers ends ejections and ejects stragglers and stalled servers.
func (p *Pool) checkServers(now time.Time) {
	if now.Before(p.lastCheck.Add(checkInterval)) {
		return
	}
	passed := min(now.Sub(p.lastCheck), windowLength)
	p.lastCheck = now
	for _, s := range p.servers {
		p.measure(now, s, passed)
		if now.Before(s.health.until) {
			continue
		}
		if !s.health.takesWork() {
			p.startProbation(s)
		}
		if s.health.state == healthy {
			s.health.consecutiveOutages = 0
		}
	}
	for _, s := range p.servers {
		switch {
		case !s.health.takesWork():
		case s.health.samples >= minStragglerSamples && p.isStraggler(s):
			p.eject(now, s, "slower than its peers")
		case p.stalled(now, s):
			p.eject(now, s, "its streams stand still")
		}
	}
	p.estimate.refresh(p.servers)
}

// startProbation puts a server on probation, with its learned speed reset to the median
// of its peers.
func (p *Pool) startProbation(s *server) {
	s.health.state = probation
	s.health.successes, s.health.samples = 0, 0
	if median := p.medianSlowness(); median > 0 {
		s.speed.slowdown, s.speed.total = median, min(s.speed.total, median)
		s.speed.gap = s.speed.gapSeed
	}
}

// isStraggler reports whether a server takes much longer for its work than its peers
// and misses the target for the time between tokens.
func (p *Pool) isStraggler(s *server) bool {
	median := p.medianSlowness()
	onTarget := !p.config.Service && seconds(s.speed.gap) <= p.config.GapTarget
	return median > 0 && !onTarget && s.speed.slowness() > stragglerFactor*median
}

// measure adds the passed time to a server's measurement window. When the window is
// complete, it updates the learned speed and the limit.
func (p *Pool) measure(now time.Time, s *server, passed time.Duration) {
	w := &s.speed.window
	if len(s.grants) > 0 && !p.config.Service {
		s.creditPrefill(passed)
		w.busy += passed.Seconds()
		w.used = max(w.used, s.tokens)
		w.streams = max(w.streams, len(s.grants))
	}
	if now.Sub(w.begin) < windowLength {
		return
	}
	used, streams := w.used, w.streams
	if s.speed.closeWindow(now) {
		s.health.samples++
		s.limit.observe(s.speed.gap/(targetGapShare*p.config.GapTarget.Seconds()), 1/s.speed.slowdown, used, streams)
	}
}

// medianSlowness returns the median slowness of the servers that take work; 0 if unknown.
func (p *Pool) medianSlowness() float64 {
	p.slownessBuffer = p.slownessBuffer[:0]
	for _, s := range p.servers {
		if slowness := s.speed.slowness(); s.health.takesWork() && slowness > 0 {
			p.slownessBuffer = append(p.slownessBuffer, slowness)
		}
	}
	if len(p.slownessBuffer) == 0 {
		return 0
	}
	slices.Sort(p.slownessBuffer)
	return p.slownessBuffer[(len(p.slownessBuffer)-1)/2]
}

// stalled reports whether minStalled and half of a server's grants make no progress
// although their fronts are alive.
func (p *Pool) stalled(now time.Time, s *server) bool {
	active, stalled := 0, 0
	for _, g := range s.grants {
		if g.revoked || now.Sub(p.lastSeen[g.Host]) > stallTime {
			continue
		}
		active++
		wait := stallTime
		if !g.hasFirstToken {
			wait += stragglerFactor * s.speed.firstTokenTime(g.queuedPrefill+g.uncached)
		}
		if now.Sub(g.lastProgress) > wait {
			stalled++
		}
	}
	return !p.config.Service && stalled >= minStalled && 2*stalled >= active
}
