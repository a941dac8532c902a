package sched

import (
	"slices"
	"time"
)

// UsageKey names the account of an organisation in one tier.
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

// Load sums up a pool for coordinators of other zones.
type Load struct {
	// FreeTokens could be granted at once.
	FreeTokens int
	// Servers take work.
	Servers int
	// TokensPerSecond is the work that the servers do when they are full.
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
			l.FreeTokens += s.grantableTokens()
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

// ExpectedWait returns the time until a new request of a tier gets a grant: the
// time that the waiting work of this tier and the higher ones takes.
func (p *Pool) ExpectedWait(tier int) time.Duration { return p.waitAtRate(tier, p.tokensPerSecond()) }

// waitAtRate returns the same when the servers do so many tokens of work a second.
func (p *Pool) waitAtRate(tier int, rate float64) time.Duration {
	backlog := 0
	for i := range min(tierIndex(tier)+1, MaxTiers) {
		backlog += p.queue.tiers[i].tokens
	}
	if backlog == 0 || rate == 0 {
		return 0
	}
	return seconds(float64(backlog) / rate)
}

// ExpectedWaitFor returns the time until one more request of an organisation
// gets a grant. In its tier each organisation is ahead by at most as much as the
// organisation itself has waiting.
func (p *Pool) ExpectedWaitFor(r *Request) time.Duration {
	own := p.tokensOf(r)
	if o := p.queue.tiers[tierIndex(r.Tier)].organisations[r.Organisation]; o != nil {
		own += o.waitingTokens
	}
	return p.waitForTokens(tierIndex(r.Tier), own)
}

// waitForTokens returns the time until an organisation of a tier got grants for so
// many tokens of its own.
func (p *Pool) waitForTokens(tier, own int) time.Duration {
	t := &p.queue.tiers[tier]
	backlog := min(t.tokens, own*t.shed.Len())
	for i := range tier {
		backlog += p.queue.tiers[i].tokens
	}
	speed := p.tokensPerSecond()
	if backlog == 0 || speed == 0 {
		return 0
	}
	return seconds(float64(backlog) / speed)
}

// TakesWork reports whether any server may get a grant.
func (p *Pool) TakesWork() bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool { return s.health.takesWork() && !s.closed() })
}

// Startable reports whether a request fits a server now and nothing waits that
// goes first.
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

// tokensPerSecond is the work that the servers do when they are full, by the
// learned speeds.
func (p *Pool) tokensPerSecond() float64 {
	sum := 0.0
	for _, s := range p.servers {
		if !s.health.takesWork() || s.closed() {
			continue
		}
		if p.config.Service {
			sum += float64(s.MaxRequests) / max(s.speed.total, 0.001)
			continue
		}
		sum += s.speed.throughput
	}
	return sum
}

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
	if !p.usageChanged[key] {
		p.usageChanged[key] = true
		p.changedUsage = append(p.changedUsage, key)
	}
}

// TakeUsage visits up to limit accounts whose served tokens changed since they
// were visited last, with the sum over the life of the pool.
func (p *Pool) TakeUsage(limit int, visit func(key UsageKey, tokens int)) {
	n := min(limit, len(p.changedUsage))
	for _, key := range p.changedUsage[:n] {
		delete(p.usageChanged, key)
		visit(key, p.usage[key])
	}
	p.changedUsage = append(p.changedUsage[:0], p.changedUsage[n:]...)
}

// maxRemoteLead bounds, in time of the pool's work, by how much the use of other
// zones puts an organisation behind the others here.
const maxRemoteLead = 5 * time.Second

// ChargeRemote counts tokens that an organisation received in another zone.
func (p *Pool) ChargeRemote(key UsageKey, tokens int) {
	if p.fair() && tokens > 0 {
		lead := p.tokensPerSecond() * maxRemoteLead.Seconds()
		p.queue.organisation(tierIndex(key.Tier), key.Organisation).chargeRemote(float64(tokens), lead)
	}
}
