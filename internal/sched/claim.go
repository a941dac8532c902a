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

// partitionAllowance is how far beyond its equal share of a limit a pool may go while pools
// of other zones are silent: callers are spread unevenly over zones.
const partitionAllowance = 1.25

const (
	// burstShare of a limit may be claimed at once; the rest refills over the window,
	// so that a burst leaves something of the limit to the time after it. Both
	// together are the limit in each window.
	burstShare = 0.15
	// initialShare of a burst is left in a pool of which nothing is known: coordinators
	// that follow each other must not give a burst out each time.
	initialShare = 0.05
	// syncTime is how long such a pool gives out no more than that while it waits for
	// what the pools of other zones know: about two of their digests.
	syncTime = 300 * time.Millisecond
)

// claimBucket counts what one organisation takes of its rate limit.
type claimBucket struct {
	// rate refills what is left, in tokens a second, up to burst.
	rate, burst float64
	// remaining may be claimed now; less than nothing is a debt.
	remaining  float64
	lastRefill time.Time
	// unsyncedUntil is when the counts are complete enough to run into debt.
	unsyncedUntil time.Time
	// waiting is what requests in the queue will claim.
	waiting float64
	// claimed is what was claimed in this pool.
	claimed float64
}

func (c *claimBucket) refill(now time.Time, share float64) {
	if passed := now.Sub(c.lastRefill); passed > 0 {
		c.remaining = min(c.remaining+c.rate*share*passed.Seconds(), c.burst)
		c.lastRefill = now
	}
}

// SetClaimShare sets the part of each rate limit that this pool may give out: all of
// it while the pools of the other zones are heard.
func (p *Pool) SetClaimShare(share float64) { p.claimShare = share }

// ClaimShare returns the part of the rate limits that a pool may give out when only
// some of all zones are heard, its own included.
func ClaimShare(reachable, zones int) float64 {
	if zones == 0 || reachable >= zones {
		return 1
	}
	return min(1, partitionAllowance*float64(reachable)/float64(zones))
}

// setClaimLimits takes the rate limits of the organisations.
func (p *Pool) setClaimLimits(now time.Time, limits map[string]Limits) {
	for name, l := range limits {
		if l.ClaimLimit <= 0 {
			delete(p.claimBuckets, name)
			continue
		}
		burst := burstShare * l.ClaimLimit
		c := p.claimBuckets[name]
		if c == nil {
			c = &claimBucket{remaining: initialShare * burst, lastRefill: now, unsyncedUntil: now.Add(syncTime)}
			p.claimBuckets[name] = c
		}
		c.refill(now, p.claimShare)
		c.rate, c.burst = (1-burstShare)*l.ClaimLimit/l.ClaimWindow.Seconds(), burst
		c.remaining = min(c.remaining, burst)
	}
}

// overRateLimit reports whether an organisation has claimed all that it may, and when it
// may claim again.
func (p *Pool) overRateLimit(now time.Time, r *Request) (after time.Duration, over bool) {
	c := p.claimBuckets[r.Organisation]
	if c == nil || r.Claim == 0 {
		return 0, false
	}
	c.refill(now, p.claimShare)
	need := c.waiting
	if now.Before(c.unsyncedUntil) {
		need += float64(r.Claim)
	}
	if c.remaining > need {
		return 0, false
	}
	return seconds((c.waiting - c.remaining + float64(r.Claim)) / (c.rate * p.claimShare)), true
}

// addWaitingClaim counts a request that enters the queue, or leaves it with a negative
// sign.
func (p *Pool) addWaitingClaim(r *Request, sign float64) {
	if c := p.claimBuckets[r.Organisation]; c != nil {
		c.waiting = max(0, c.waiting+sign*float64(r.Claim))
	}
}

// takeClaim counts a request that gets a grant, or gives its claim back with a negative
// sign.
func (p *Pool) takeClaim(now time.Time, r *Request, sign float64) {
	c := p.claimBuckets[r.Organisation]
	if c == nil || r.Claim == 0 {
		return
	}
	c.refill(now, p.claimShare)
	c.remaining -= sign * float64(r.Claim)
	c.claimed += sign * float64(r.Claim)
	if !slices.Contains(p.changedClaims, r.Organisation) {
		p.changedClaims = append(p.changedClaims, r.Organisation)
	}
}

// ClaimRemote counts what an organisation claimed in another zone.
func (p *Pool) ClaimRemote(now time.Time, organisation string, tokens float64) {
	if c := p.claimBuckets[organisation]; c != nil {
		c.refill(now, p.claimShare)
		c.remaining -= tokens
	}
}

// SyncRemaining takes over what the pool of another zone counts as left of an
// organisation's limit. A pool that was just taken over doesn't know what was claimed
// before; the others do. From a second one it takes over what is less.
func (p *Pool) SyncRemaining(now time.Time, organisation string, remaining float64) {
	if c := p.claimBuckets[organisation]; c != nil {
		c.refill(now, p.claimShare)
		if c.unsyncedUntil.IsZero() {
			c.remaining = min(c.remaining, remaining)
			return
		}
		c.remaining, c.unsyncedUntil = min(remaining-c.claimed, c.burst), time.Time{}
	}
}

// ResendClaims makes TakeClaims visit all organisations again, for a pool of another
// zone that was just taken over.
func (p *Pool) ResendClaims() {
	p.changedClaims = slices.Sorted(maps.Keys(p.claimBuckets))
}

// ClaimsChanged reports whether claims changed since the last TakeClaims.
func (p *Pool) ClaimsChanged() bool { return len(p.changedClaims) > 0 }

// TakeClaims visits the organisations whose claims in this pool changed since the
// last call, with the sum of their claims and what is left of their limits.
func (p *Pool) TakeClaims(visit func(organisation string, taken, remaining int)) {
	for _, name := range p.changedClaims {
		if c := p.claimBuckets[name]; c != nil {
			visit(name, int(c.claimed), int(c.remaining))
		}
	}
	p.changedClaims = p.changedClaims[:0]
}
