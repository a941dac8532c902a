package soak

import (
	"slices"
	"time"
)

// checkStore applies the rules of runs with a store.
func (c *checker) checkStore() {
	for _, p := range c.evacuations {
		c.checkEvacuation(p)
	}
	for _, p := range c.coldPeriods {
		c.checkCold(p)
	}
	c.checkRevoked()
}

// checkEvacuation reports requests that reached a server of an evacuated zone from a host
// that had to know of it.
func (c *checker) checkEvacuation(p *evacuationPeriod) {
	deadlines := map[string]time.Time{}
	for name := range c.hosts {
		deadlines[name] = c.deadline(name, p.begin, evacuateBound)
		if deadlines[name].Before(p.end) {
			c.result.Checked[RuleEvacuated]++
		}
	}
	for _, e := range c.executions {
		sender := c.recordByHash[e.Seed]
		if sender == nil || e.server[:1] != p.zone || !e.Time.Before(p.end) || c.startedInDrill(sender.Host, e.Time) {
			continue
		}
		if late := e.Time.Sub(deadlines[sender.Host]); late > 0 {
			c.addViolation(RuleEvacuated, []string{e.ID}, "%s got request %s from %s %s after the deadline", e.server, e.ID, sender.Host, late.Round(time.Millisecond))
		}
	}
}

// checkCold reports seconds in which a cold server got more requests than it may.
func (c *checker) checkCold(p *coldPeriod) {
	var times []time.Time
	for _, e := range c.executions {
		if e.server == p.server && e.Time.After(p.begin) && e.Time.Before(p.end) {
			times = append(times, e.Time)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		c.result.Checked[RuleCold]++
		if n := i - first + 1; float64(n) > coldPerS*coldFactor+coldSlack {
			c.addViolation(RuleCold, nil, "%s got %d requests in a second, %s after it turned cold", p.server, n, at.Sub(p.begin).Round(time.Millisecond))
		}
	}
}

// checkRevoked reports requests with a revoked key that an engine got.
func (c *checker) checkRevoked() {
	for _, p := range c.probes {
		deadline := c.deadline(p.host, p.revoked, revokeBound)
		if p.sent.Before(deadline) || c.startedInDrill(p.host, p.sent) {
			continue
		}
		c.result.Checked[RuleRevoked]++
		if len(c.executionsByHash[p.promptHash]) > 0 {
			c.addViolation(RuleRevoked, c.executionIDs(p.promptHash), "%s accepted a key %s after its revocation", p.host, p.sent.Sub(p.revoked).Round(time.Millisecond))
		}
	}
}

// deadline returns the time after which a host must act on what the store acknowledged: a
// bound later, counted anew from the end of each fault that affects the host or the store,
// and of a drill that lost it before the host had the time to read it.
func (c *checker) deadline(host string, acknowledged time.Time, bound time.Duration) time.Time {
	begin := acknowledged
	for {
		end, moved := begin.Add(bound), false
		for _, in := range c.faults {
			hides := in.Target == host || in.Kind == KindPlatformDown || in.lost(acknowledged, begin.Add(spreadTime))
			if hides && in.Began.Before(end) && in.Ended.After(begin) {
				begin, moved = in.Ended, true
			}
		}
		if !moved {
			return end
		}
	}
}

// lost reports whether the fault is a drill that lost what was acknowledged at a time and
// could be read until readable.
func (in *injectedFault) lost(acknowledged, readable time.Time) bool {
	outage := in.Began.Add(spreadTime + revokeBound)
	return in.Kind == KindDrill && outage.Add(drillOutage).After(acknowledged) && outage.Before(readable)
}

// startedInDrill reports whether a host was started anew while the store lacked what the
// operator had written since the copy, and may still believe the copy at a time.
func (c *checker) startedInDrill(host string, at time.Time) bool {
	for _, drill := range c.faults {
		if drill.Kind != KindDrill || at.Before(drill.Began) || at.After(drill.Ended.Add(settleTime)) {
			continue
		}
		if c.faultActive(drill.Began, at, func(in *injectedFault) bool {
			return in.Target == host && (in.Kind == KindKill || in.Kind == KindRestart)
		}) {
			return true
		}
	}
	return false
}
