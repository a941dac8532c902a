package sched

import (
	"slices"
	"time"
)

// UsageKey identifies the account of an organisation in one tier.
type UsageKey struct {
	Organisation string
	Tier         int
}

// TierLoad is the load of one tier.
type TierLoad struct {
	Tier                   int
	Waiting, WaitingTokens int
	Running, RunningTokens int
	// Wait is the expected time until a new request of the tier gets a grant.
	Wait time.Duration
}

// Load summarises a pool for the coordinators of other zones.
type Load struct {
	// FreeTokens is the number of tokens that could be granted immediately.
	FreeTokens int
	// Servers is the number of servers that take work.
	Servers int
	// TokensPerSecond is the throughput of the servers at full load.
	TokensPerSecond float64
	Tiers           []TierLoad
}

// Load returns the load of the pool.
func (p *Pool) Load(now time.Time) Load {
	l := Load{TokensPerSecond: p.tokensPerSecond()}
	p.refreshFree(now)
	for _, s := range p.servers {
		if s.health.takesWork() && !s.closed() {
			l.Servers++
			l.FreeTokens += p.pacedTokens(now, s, s.grantableTokens())
		}
	}
	var tiers [MaxTiers]TierLoad
	for _, g := range p.grants {
		tiers[g.tier].Running++
		tiers[g.tier].RunningTokens += g.tokens
	}
	for i := range tiers {
		t := &tiers[i]
		t.Tier, t.Waiting, t.WaitingTokens = i, p.queue.tiers[i].waiting, p.queue.tiers[i].tokens
		if t.Waiting+t.Running > 0 {
			t.Wait = p.ExpectedWait(i)
			l.Tiers = append(l.Tiers, *t)
		}
	}
	return l
}

// ExpectedWait returns the expected time until a new request of a tier gets a grant: the
// time that the backlog of this tier and the higher ones takes.
func (p *Pool) ExpectedWait(tier int) time.Duration { return p.waitAt(tier, p.throughput()) }

// waitAt returns the expected wait at a given throughput.
func (p *Pool) waitAt(tier int, t throughput) time.Duration {
	backlog := 0
	for i := range min(tierIndex(tier)+1, MaxTiers) {
		backlog += p.queue.tiers[i].tokens
	}
	return t.timeFor(p.callTime, backlog)
}

// ExpectedWaitFor returns the expected time until one more request of an organisation
// gets a grant. Each other organisation of its tier is served before it for at most as
// many tokens as the organisation itself has waiting.
func (p *Pool) ExpectedWaitFor(r *Request) time.Duration {
	own := p.tokensOf(r)
	if o := p.queue.tiers[tierIndex(r.Tier)].organisations[r.Organisation]; o != nil {
		own += o.waitingTokens
	}
	return p.waitForTokens(tierIndex(r.Tier), own)
}

// waitForTokens returns the expected time until an organisation of a tier has received
// grants for the given number of its own tokens.
func (p *Pool) waitForTokens(tier, own int) time.Duration {
	t := &p.queue.tiers[tier]
	backlog := min(t.tokens, own*t.shed.Len())
	for i := range tier {
		backlog += p.queue.tiers[i].tokens
	}
	return p.throughput().timeFor(p.callTime, backlog)
}

// TakesWork reports whether any server may get a grant.
func (p *Pool) TakesWork() bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool { return s.health.takesWork() && !s.closed() })
}

// Startable reports whether a request fits on a server now and no request of its tier or
// a higher one waits.
func (p *Pool) Startable(now time.Time, r *Request) bool {
	p.refreshFree(now)
	for i := range tierIndex(r.Tier) + 1 {
		if p.queue.tiers[i].waiting > 0 {
			return false
		}
	}
	w := p.newWaiter(*r)
	_, ok := p.choosePlacement(now, w)
	return ok
}

// tokensPerSecond is the throughput of the servers at full load, by their learned speeds
// and the requests that they take.
func (p *Pool) tokensPerSecond() float64 { return p.throughput().perS }

// lowestTier returns the lowest tier that waits or runs, or noTier.
func (p *Pool) lowestTier() int {
	for tier := MaxTiers - 1; tier >= 0; tier-- {
		if p.queue.tiers[tier].waiting > 0 || p.runningByTier[tier] > 0 {
			return tier
		}
	}
	return noTier
}

// countUsage adds finished work to the usage of an organisation.
func (p *Pool) countUsage(g *running, tokens int) {
	key := UsageKey{g.Organisation, tierIndex(g.Request.Tier)}
	p.usage[key] += tokens
	if !p.inChangedUsage[key] {
		p.inChangedUsage[key] = true
		p.changedUsage = append(p.changedUsage, key)
	}
}

// TakeUsage visits up to limit accounts whose usage changed since their last visit, with
// the total of served tokens over the life of the pool.
func (p *Pool) TakeUsage(limit int, visit func(key UsageKey, tokens int)) {
	n := min(limit, len(p.changedUsage))
	for _, key := range p.changedUsage[:n] {
		delete(p.inChangedUsage, key)
		visit(key, p.usage[key])
	}
	p.changedUsage = append(p.changedUsage[:0], p.changedUsage[n:]...)
}

// maxRemoteLead limits how far usage in other zones raises the counter of an organisation
// above the virtual clock of its tier: to the tokens that the pool serves in this time.
const maxRemoteLead = 5 * time.Second

// ChargeRemote counts tokens that an organisation received in another zone.
func (p *Pool) ChargeRemote(key UsageKey, tokens int) {
	if p.fair() && tokens > 0 {
		lead := p.tokensPerSecond() * maxRemoteLead.Seconds()
		p.queue.organisation(tierIndex(key.Tier), key.Organisation).chargeRemote(float64(tokens), lead)
	}
}
