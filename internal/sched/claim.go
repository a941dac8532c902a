package sched

import (
	"slices"
	"time"
)

// An organisation's rate limit bounds what its requests claim in the whole fleet, in
// tokens that each request states. It answers an organisation that sends many times
// its usual load: what goes beyond the limit is refused on arrival, before it waits.
// Each pool counts what was claimed in its own and, as their digests arrive, in the
// pools of the other zones.

// cutAllowance is how far beyond its equal share of a limit a pool may go while pools
// of other zones are silent: callers are spread unevenly over zones.
const cutAllowance = 1.25

// startShare of its share of a burst is left to a pool that doesn't know what was
// claimed before: coordinators that follow each other must not give it out each time.
const startShare = 0.1

// claims counts what one organisation takes of its rate limit.
type claims struct {
	rate, burst float64
	// left may be claimed now; less than nothing is a debt.
	left   float64
	filled time.Time
	// waiting is what requests in the queue will claim.
	waiting float64
	// taken is what was claimed in this pool.
	taken float64
}

// SetClaimShare sets the part of each rate limit that this pool may give out: all of
// it while the pools of the other zones are heard.
func (p *Pool) SetClaimShare(now time.Time, share float64) {
	if share == p.claimShare {
		return
	}
	for _, c := range p.claims {
		c.refill(now, p.claimShare)
	}
	p.claimShare = share
}

// ClaimShare returns the part of the rate limits that a pool may give out when only
// some of all zones are heard, its own included.
func ClaimShare(heard, zones int) float64 {
	if zones == 0 || heard >= zones {
		return 1
	}
	return min(1, cutAllowance*float64(heard)/float64(zones))
}

// setClaims takes the rate limits of the organisations. A pool starts with a part of
// its share of each burst.
func (p *Pool) setClaims(now time.Time, limits map[string]Limits, share float64) {
	for name, l := range limits {
		if l.ClaimRate <= 0 {
			delete(p.claims, name)
			continue
		}
		c := p.claims[name]
		if c == nil {
			c = &claims{left: l.ClaimBurst * share * startShare, filled: now}
			p.claims[name] = c
		}
		c.refill(now, p.claimShare)
		c.rate, c.burst = l.ClaimRate, l.ClaimBurst
		c.left = min(c.left, c.burst)
	}
}

func (c *claims) refill(now time.Time, share float64) {
	if passed := now.Sub(c.filled); passed > 0 {
		c.left = min(c.left+c.rate*share*passed.Seconds(), c.burst)
		c.filled = now
	}
}

// overLimit reports whether an organisation has claimed all that it may, and when it
// may claim again.
func (p *Pool) overLimit(now time.Time, r *Request) (after time.Duration, over bool) {
	c := p.claims[r.Organisation]
	if c == nil || r.Claim == 0 {
		return 0, false
	}
	c.refill(now, p.claimShare)
	if c.left > c.waiting {
		return 0, false
	}
	return seconds((c.waiting - c.left + float64(r.Claim)) / (c.rate * p.claimShare)), true
}

// claimWaiting counts a request that enters the queue, or leaves it with a negative
// sign.
func (p *Pool) claimWaiting(r *Request, sign float64) {
	if c := p.claims[r.Organisation]; c != nil {
		c.waiting = max(0, c.waiting+sign*float64(r.Claim))
	}
}

// claim counts a request that gets a grant, or gives its claim back with a negative
// sign.
func (p *Pool) claim(now time.Time, r *Request, sign float64) {
	c := p.claims[r.Organisation]
	if c == nil || r.Claim == 0 {
		return
	}
	c.refill(now, p.claimShare)
	c.left -= sign * float64(r.Claim)
	c.taken += sign * float64(r.Claim)
	if !slices.Contains(p.claimed, r.Organisation) {
		p.claimed = append(p.claimed, r.Organisation)
	}
}

// ClaimRemote counts what an organisation claimed in another zone.
func (p *Pool) ClaimRemote(now time.Time, organisation string, tokens float64) {
	if c := p.claims[organisation]; c != nil {
		c.refill(now, p.claimShare)
		c.left -= tokens
	}
}

// Claimed reports whether claims changed since the last TakeClaims.
func (p *Pool) Claimed() bool { return len(p.claimed) > 0 }

// TakeClaims visits the organisations whose claims in this pool changed since the
// last call, with the sum of their claims.
func (p *Pool) TakeClaims(visit func(organisation string, tokens int)) {
	for _, name := range p.claimed {
		if c := p.claims[name]; c != nil {
			visit(name, int(c.taken))
		}
	}
	p.claimed = p.claimed[:0]
}
