package sched

import (
	"maps"
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

const (
	// burstShare of a limit may be claimed at once; the rest refills over the window,
	// so that a burst leaves something of the limit to the time after it. Both
	// together are the limit in each window.
	burstShare = 0.15
	// freshShare of a burst is left in a pool of which nothing is known: coordinators
	// that follow each other must not give a burst out each time.
	freshShare = 0.05
	// freshTime is how long such a pool gives out no more than that while it waits for
	// what the pools of other zones know: about two of their digests.
	freshTime = 300 * time.Millisecond
)

// claims counts what one organisation takes of its rate limit.
type claims struct {
	// rate refills what is left, in tokens a second, up to burst.
	rate, burst float64
	// left may be claimed now; less than nothing is a debt.
	left   float64
	filled time.Time
	// freshUntil is when the counts are complete enough to run into debt.
	freshUntil time.Time
	// waiting is what requests in the queue will claim.
	waiting float64
	// taken is what was claimed in this pool.
	taken float64
}

func (c *claims) refill(now time.Time, share float64) {
	if passed := now.Sub(c.filled); passed > 0 {
		c.left = min(c.left+c.rate*share*passed.Seconds(), c.burst)
		c.filled = now
	}
}

// SetClaimShare sets the part of each rate limit that this pool may give out: all of
// it while the pools of the other zones are heard.
func (p *Pool) SetClaimShare(share float64) { p.claimShare = share }

// ClaimShare returns the part of the rate limits that a pool may give out when only
// some of all zones are heard, its own included.
func ClaimShare(heard, zones int) float64 {
	if zones == 0 || heard >= zones {
		return 1
	}
	return min(1, cutAllowance*float64(heard)/float64(zones))
}

// setClaims takes the rate limits of the organisations.
func (p *Pool) setClaims(now time.Time, limits map[string]Limits) {
	for name, l := range limits {
		if l.ClaimLimit <= 0 {
			delete(p.claims, name)
			continue
		}
		burst := burstShare * l.ClaimLimit
		c := p.claims[name]
		if c == nil {
			c = &claims{left: freshShare * burst, filled: now, freshUntil: now.Add(freshTime)}
			p.claims[name] = c
		}
		c.refill(now, p.claimShare)
		c.rate, c.burst = (1-burstShare)*l.ClaimLimit/l.ClaimWindow.Seconds(), burst
		c.left = min(c.left, burst)
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
	need := c.waiting
	if now.Before(c.freshUntil) {
		need += float64(r.Claim)
	}
	if c.left > need {
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

// LearnLeft takes over what the pool of another zone counts as left of an
// organisation's limit. A pool that was just taken over doesn't know what was claimed
// before; the others do. From a second one it takes over what is less.
func (p *Pool) LearnLeft(now time.Time, organisation string, left float64) {
	if c := p.claims[organisation]; c != nil {
		c.refill(now, p.claimShare)
		if c.freshUntil.IsZero() {
			c.left = min(c.left, left)
			return
		}
		c.left, c.freshUntil = min(left-c.taken, c.burst), time.Time{}
	}
}

// RetellClaims makes TakeClaims visit all organisations again, for a pool of another
// zone that was just taken over.
func (p *Pool) RetellClaims() {
	p.claimed = slices.Sorted(maps.Keys(p.claims))
}

// Claimed reports whether claims changed since the last TakeClaims.
func (p *Pool) Claimed() bool { return len(p.claimed) > 0 }

// TakeClaims visits the organisations whose claims in this pool changed since the
// last call, with the sum of their claims and what is left of their limits.
func (p *Pool) TakeClaims(visit func(organisation string, taken, left int)) {
	for _, name := range p.claimed {
		if c := p.claims[name]; c != nil {
			visit(name, int(c.taken), int(c.left))
		}
	}
	p.claimed = p.claimed[:0]
}
