package sched

import "time"

const (
	// pendingWrongShare is the assumed share of prefixes that a request granted before is
	// to compute and that the next one doesn't find: both may be read at once.
	pendingWrongShare = 0.5
	// minDiscernible is the time without a prefix, relative to the time with it, from
	// which a first token shows whether the prefix was found.
	minDiscernible = 1.5
)

// prefixAccuracy is the share of wrong estimates of held prefixes, as a moving average.
// The weight of further estimates shrinks with it, so that a server whose estimates are
// wrong attracts no requests by them.
type prefixAccuracy struct{ wrong float64 }

func (a *prefixAccuracy) rightShare() float64 { return 1 - a.wrong }

func (a *prefixAccuracy) observe(right bool) {
	sample := 1.0
	if right {
		sample = 0
	}
	a.wrong = average(a.wrong, sample, speedWeight)
}

// PrefixCounts count the estimates of held prefixes. Those that can't be checked, because
// the server doesn't report it and the time saved is small, are neither right nor wrong.
type PrefixCounts struct {
	Right, Wrong, Unchecked int
}

// TakePrefixCounts returns the counts since the last call.
func (p *Pool) TakePrefixCounts() PrefixCounts {
	counts := p.prefixCounts
	p.prefixCounts = PrefixCounts{}
	return counts
}

// checkReportedPrefix compares an estimate with what the server reported as cached. Half
// of the estimate counts as right.
func (p *Pool) checkReportedPrefix(g *running, cached int) {
	if g.held.tokens > 0 && !g.reportsNoCache() {
		p.recordPrefixCheck(g, 2*cached >= g.held.tokens)
	}
}

// reportsNoCache reports whether the answers to a request don't state how much of the
// prompt was cached.
func (r *Request) reportsNoCache() bool { return len(r.PrefixTokens) > 0 }

// checkPrefixByTime judges an estimate by the time to the first token: it is right if that
// is nearer to the time expected with the prefix than to the one without. The prompt
// tokens to compute are corrected accordingly.
func (p *Pool) checkPrefixByTime(g *running, after time.Duration) {
	if g.held.tokens == 0 || !g.reportsNoCache() {
		return
	}
	speed := &g.server.speed
	with := speed.firstTokenTime(g.queuedPrefill + g.PromptTokens - g.held.tokens)
	without := speed.firstTokenTime(g.queuedPrefill + g.PromptTokens)
	if float64(without) < minDiscernible*float64(with) {
		p.prefixCounts.Unchecked++
		return
	}
	right := after < (with+without)/2
	p.recordPrefixCheck(g, right)
	g.uncached = g.PromptTokens
	if right {
		g.uncached -= g.held.tokens
	}
}

func (p *Pool) recordPrefixCheck(g *running, right bool) {
	accuracy := &g.server.prefixes
	if g.held.pending {
		accuracy = &p.pendingPrefixes
	}
	accuracy.observe(right)
	if right {
		p.prefixCounts.Right++
	} else {
		p.prefixCounts.Wrong++
	}
}
