package sched

import (
	"time"

	"mimosafront/internal/message"
)

// Progress records the tokens delivered under a grant.
func (p *Pool) Progress(now time.Time, grant string, progress Progress) {
	g := p.grants[grant]
	if g == nil {
		return
	}
	if p.config.Service {
		return
	}
	p.markStale(g.server)
	if progress.FirstToken > 0 && !g.hasFirstToken {
		p.observeFirstToken(now, g, progress.FirstToken)
	}
	if delivered := progress.OutputTokens - g.outputTokens; delivered > 0 {
		p.observeDelivered(now, g, delivered, progress.Gap)
	}
	work := g.PromptTokens + g.outputTokens
	g.server.raiseTokens(g, work)
	if more := float64(work) - g.charged; more > 0 {
		p.charge(now, g, more)
	}
}

// observeDelivered learns from the tokens delivered since the last report.
func (p *Pool) observeDelivered(now time.Time, g *running, tokens int, mean time.Duration) {
	took := now.Sub(g.lastProgress)
	if g.outputTokens == 0 && mean > 0 {
		took = mean * time.Duration(tokens)
	}
	g.outputTokens += tokens
	g.lastProgress = now
	g.server.speed.observeTokens(tokens, took)
}

// observeFirstToken learns from the first token of a grant.
func (p *Pool) observeFirstToken(now time.Time, g *running, after time.Duration) {
	s := g.server
	g.lastProgress = now
	s.recordFirstToken(g)
	p.prefixesComputed(now, g)
	p.checkPrefixByTime(g, after)
	s.speed.observePrefill(g.queuedPrefill+g.uncached, after)
	own := seconds(float64(g.uncached) / s.speed.prefillSeed)
	target := time.Duration(firstTokenShare * float64(p.config.FirstTokenTarget))
	if after-own > target {
		s.limit.lateFirstTokens++
	}
	s.limit.firstTokens++
}

// learn updates the estimates from the measurements of a finished grant.
func (p *Pool) learn(now time.Time, g *running, r Result) {
	s := g.server
	if r.Outcome != message.ReleaseOutcomeFinished {
		return
	}
	p.estimate.observeTime(g.Tier, r.Total, g.expected)
	if p.config.Service {
		s.speed.observeTotal(r.Total)
		s.health.samples++
		return
	}
	if r.PromptTokens > 0 {
		s.shrinkPrefill(g, r.PromptTokens-r.CachedTokens)
	}
	if r.FirstToken > 0 && !g.hasFirstToken {
		p.observeFirstToken(now, g, r.FirstToken)
	}
	if g.outputTokens == 0 {
		s.speed.observeTokens(r.OutputTokens-1, r.Total-r.FirstToken)
	} else {
		s.speed.observeTokens(r.OutputTokens-g.outputTokens, now.Sub(g.lastProgress))
	}
	if g.Server == "" {
		p.estimate.observeOutput(g.Request, r.OutputTokens)
	}
	p.checkReportedPrefix(g, r.CachedTokens)
	p.prefixesComputed(now, g)
	if !p.config.PrefixWeighing && len(g.Prefixes) > 0 && r.CachedTokens < g.PromptTokens-g.uncached {
		p.cache.add(s, g.Prefixes)
	}
}

// workDone returns the work that an organisation received under a grant, in tokens.
// Cached prompt tokens don't count.
func (p *Pool) workDone(g *running, r Result) float64 {
	if r.Outcome.NeverRan() {
		return 0
	}
	if p.config.Service {
		return 1
	}
	prompt := g.PromptTokens
	if r.PromptTokens > 0 {
		prompt = r.PromptTokens
	}
	cached := r.CachedTokens
	if g.reportsNoCache() {
		cached = max(0, g.PromptTokens-g.uncached)
	}
	return float64(max(0, prompt-cached) + max(g.outputTokens, r.OutputTokens))
}
