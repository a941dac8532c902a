package sched

import (
	"maps"
	"slices"
	"time"
)

// An organisation's rate limit is a token bucket with debt: it limits what the requests
// of the organisation claim in the whole fleet, in tokens stated by each request.
// Requests beyond the limit are refused on arrival, so that an organisation that sends
// many times its usual load doesn't fill the queue. Each pool counts its own claims and
// those that the digests of other zones report.

// partitionAllowance scales the equal share of a limit that a pool may grant while
// pools of other zones are unreachable: callers are spread unevenly over zones.
const partitionAllowance = 1.25

const (
	// burstShare of a limit is the size of the bucket; the rest refills over the window.
	// Both together are the limit in each window, and most of the limit remains
	// available after a burst.
	burstShare = 0.15
	// initialShare of a burst is available in a new pool without known claims, so that
	// successive coordinators don't each grant a whole burst.
	initialShare = 0.05
	// syncTime is how long the buckets of a new pool must not run into debt while the
	// pool waits for the counts of other zones: about two of their digest intervals.
	syncTime = 300 * time.Millisecond
)

// claimBucket is the token bucket of one organisation's rate limit.
type claimBucket struct {
	// limit is the rate limit in tokens per window.
	limit float64
	// whole is set if all of limit may be claimed in each window of a lasting flood.
	whole bool
	// rate refills the bucket, in tokens per second, while the claims of the last window
	// are not all known; burst is its size in tokens.
	rate, burst float64
	// remaining tokens may be claimed now; a negative value is debt.
	remaining  float64
	lastRefill time.Time
	// unsyncedUntil is the time before which the bucket must not run into debt, because
	// earlier claims may be missing; zero once another zone's counts have arrived.
	unsyncedUntil time.Time
	// waiting is the sum of the claims of queued requests.
	waiting float64
	// claimed is the total claimed in this pool.
	claimed float64
	// start is the number of tokens that StartClaims adds.
	start float64
	// history counts the claims in all zones.
	history claimHistory
	// lastAsked is when a request of each tier last came.
	lastAsked [MaxTiers]time.Time
	refusals  refusals
	// missingSince is when claims of other zones were first missing; zero if none are.
	missingSince time.Time
}

func (c *claimBucket) refill(now time.Time, share float64) {
	if passed := now.Sub(c.lastRefill); passed > 0 {
		c.remaining = min(c.remaining+c.refillRate(now, share)*passed.Seconds(), c.burst)
		c.lastRefill = now
	}
}

// SetClaimShare sets the fraction of each rate limit that this pool may grant; it is
// 1 while the pools of all zones are reachable.
func (p *Pool) SetClaimShare(share float64) { p.claimShare = share }

// ClaimShare returns the fraction of the rate limits that a pool may grant when only some
// of all zones are reachable, including its own.
func ClaimShare(reachable, zones int) float64 {
	if zones == 0 || reachable >= zones {
		return 1
	}
	return min(1, partitionAllowance*float64(reachable)/float64(zones))
}

// setClaimLimits applies the rate limits of the organisations.
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
		if c.limit != l.ClaimLimit {
			c.limit, c.history = l.ClaimLimit, newClaimHistory(now, l.ClaimWindow)
		}
		c.rate, c.burst = (1-burstShare)*l.ClaimLimit/l.ClaimWindow.Seconds(), burst
		c.remaining, c.start, c.whole = min(c.remaining, burst), l.ClaimStart, l.ClaimWhole
	}
}

// Reasons to refuse a request for its organisation's rate limit.
const (
	reasonLimitUsed     = "the organisation's rate limit is used up"
	reasonLimitReserved = "the organisation's rate limit is used up but for what its higher tiers need"
)

// overRateLimit returns why a request is beyond its organisation's rate limit, or "", and
// after what time the organisation may claim again.
func (p *Pool) overRateLimit(now time.Time, r *Request) (after time.Duration, reason string) {
	c := p.claimBuckets[r.Organisation]
	if c == nil || r.Claim == 0 {
		return 0, ""
	}
	tier := tierIndex(r.Tier)
	c.lastAsked[tier] = now
	if after, reason = c.over(now, tier, float64(r.Claim), p.claimShare); reason != "" {
		c.refusals.add(now)
	}
	return after, reason
}

// over returns why a tier can't make a claim now, or "", and after what time it may.
func (c *claimBucket) over(now time.Time, tier int, claim, share float64) (after time.Duration, reason string) {
	c.refill(now, share)
	reserved := c.reserved(now, tier)
	need := c.waiting + reserved
	if now.Before(c.unsyncedUntil) {
		need += claim
	}
	if c.remaining > need {
		return 0, ""
	}
	reason = reasonLimitUsed
	if c.remaining > need-reserved {
		reason = reasonLimitReserved
	}
	return seconds((c.waiting + reserved - c.remaining + claim) / (c.rate * share)), reason
}

// addWaitingClaim counts the claim of a request that enters the queue (sign 1) or
// leaves it (sign -1).
func (p *Pool) addWaitingClaim(r *Request, sign float64) {
	if c := p.claimBuckets[r.Organisation]; c != nil {
		c.waiting = max(0, c.waiting+sign*float64(r.Claim))
	}
}

// takeClaim takes the claim of a granted request from the bucket (sign 1) or returns it
// (sign -1).
func (p *Pool) takeClaim(now time.Time, r *Request, sign float64) {
	c := p.claimBuckets[r.Organisation]
	if c == nil || r.Claim == 0 {
		return
	}
	c.refill(now, p.claimShare)
	c.remaining -= sign * float64(r.Claim)
	c.claimed += sign * float64(r.Claim)
	c.history.add(now, sign*float64(r.Claim))
	if !slices.Contains(p.changedClaims, r.Organisation) {
		p.changedClaims = append(p.changedClaims, r.Organisation)
	}
}

// ClaimRemote counts tokens that an organisation claimed in another zone.
func (p *Pool) ClaimRemote(now time.Time, organisation string, tokens float64) {
	if c := p.claimBuckets[organisation]; c != nil {
		c.refill(now, p.claimShare)
		c.remaining -= tokens
		c.history.add(now, tokens)
	}
}

// SyncRemaining adopts the remaining tokens of an organisation's limit as counted by the
// pool of another zone, because a pool that was just taken over doesn't know earlier
// claims. If several zones report, the smallest value applies.
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

// TakeClaims visits the organisations whose claims in this pool changed since the last
// call, with the total of their claims and the remaining tokens of their limits.
func (p *Pool) TakeClaims(visit func(organisation string, claimed, remaining int)) {
	for _, name := range p.changedClaims {
		if c := p.claimBuckets[name]; c != nil {
			visit(name, int(c.claimed), int(c.remaining))
		}
	}
	p.changedClaims = p.changedClaims[:0]
}
