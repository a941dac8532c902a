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
// those that the digests of other zones report, and spends the part of the limit that its
// zone holds.

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
	limit  float64
	window time.Duration
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
	// claimed is the total claimed in the own zone, and ownClaimed that in this pool.
	claimed, ownClaimed float64
	// start is the number of tokens that StartClaims adds.
	start float64
	// history counts the claims in all zones.
	history claimHistory
	// lastAsked is when a request of each tier last came.
	lastAsked [MaxTiers]time.Time
	refusals  refusals
	// missingSince is when claims of other zones were first missing; zero if none are.
	missingSince time.Time
	// parts is how the zones divide the limit.
	parts claimParts
}

func (c *claimBucket) refill(now time.Time) {
	passed := now.Sub(c.lastRefill)
	if passed <= 0 {
		return
	}
	share, own := c.parts.share, c.parts.own
	added := c.refillRate(now) * passed.Seconds()
	c.remaining = min(c.remaining+added, c.burst*share)
	c.parts.held = min(c.parts.held+added*own, c.burst*share*own)
	c.parts.withheld += c.rate * (1 - share) * passed.Seconds()
	c.lastRefill = now
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
			c = &claimBucket{remaining: initialShare * burst, lastRefill: now, unsyncedUntil: now.Add(syncTime), window: l.ClaimWindow, parts: wholeLimit()}
			c.setZones(now, p.ownZone, p.claimZones)
			p.claimBuckets[name] = c
		}
		c.refill(now)
		if c.limit != l.ClaimLimit {
			c.limit, c.window, c.history = l.ClaimLimit, l.ClaimWindow, newClaimHistory(now, l.ClaimWindow)
		}
		c.rate, c.burst = (1-burstShare)*l.ClaimLimit/l.ClaimWindow.Seconds(), burst
		c.remaining, c.start, c.whole = min(c.remaining, burst), l.ClaimStart, l.ClaimWhole
		c.parts.held = min(c.parts.held, c.entitled())
	}
}

// Reasons to refuse a request for its organisation's rate limit.
const (
	reasonLimitUsed     = "the organisation's rate limit is used up"
	reasonLimitReserved = "the organisation's rate limit is used up but for what its higher tiers need"
	reasonPartUsed      = "the zone's part of the organisation's rate limit is used up"
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
	if after, reason = c.over(now, tier, float64(r.Claim)); reason != "" {
		c.refusals.add(now)
	}
	return after, reason
}

// over returns why a tier can't make a claim now, or "", and after what time it may.
func (c *claimBucket) over(now time.Time, tier int, claim float64) (after time.Duration, reason string) {
	c.refill(now)
	reserved := c.reserved(now, tier)
	need := c.waiting + reserved
	if now.Before(c.unsyncedUntil) {
		need += claim
	}
	rate := c.rate * c.parts.share
	if c.remaining > need {
		heldNeed := c.waiting + c.parts.own*reserved
		if c.parts.own >= 1 || c.parts.held > heldNeed {
			return 0, ""
		}
		return min(seconds((heldNeed-c.parts.held+claim)/(rate*c.parts.own)), confirmTime), reasonPartUsed
	}
	reason = reasonLimitUsed
	if c.remaining > need-reserved {
		reason = reasonLimitReserved
	}
	return seconds((c.waiting + reserved - c.remaining + claim) / rate), reason
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
	c.ownClaimed += sign * float64(r.Claim)
	if !slices.Contains(p.changedOwnClaims, r.Organisation) {
		p.changedOwnClaims = append(p.changedOwnClaims, r.Organisation)
	}
	p.ClaimInZone(now, r.Organisation, sign*float64(r.Claim))
}

// ClaimInZone counts tokens that an organisation claimed in the own zone, here or in the pool
// of another target.
func (p *Pool) ClaimInZone(now time.Time, organisation string, tokens float64) {
	c := p.claimBuckets[organisation]
	if c == nil {
		return
	}
	c.refill(now)
	c.remaining -= tokens
	c.parts.held -= tokens
	c.claimed += tokens
	c.history.add(now, tokens)
	c.addDemand(now, p.ownZone, tokens)
	p.ReportClaims(organisation)
}

// ClaimRemote counts tokens that an organisation claimed in another zone. A zone that can't be
// reached has paid them from what is withheld for it.
func (p *Pool) ClaimRemote(now time.Time, zone, organisation string, tokens float64) {
	if c := p.claimBuckets[organisation]; c != nil {
		c.refill(now)
		c.history.add(now, tokens)
		c.addDemand(now, zone, tokens)
		if !p.reachesZone(zone) {
			paid := min(max(tokens, 0), max(c.parts.withheld, 0))
			c.parts.withheld -= paid
			tokens -= paid
		}
		c.remaining -= tokens
		c.parts.held -= c.parts.own * tokens
		if c.unconfirmed() == 0 {
			c.divide(now, p.ownZone, p.claimZones)
		}
	}
}

// SyncRemaining adopts what is left of an organisation's limit in all zones, as counted by the
// pool of another zone, because a pool that was just taken over doesn't know earlier claims. If
// several zones report, the smallest value applies.
func (p *Pool) SyncRemaining(now time.Time, organisation string, left float64) {
	c := p.claimBuckets[organisation]
	if c == nil {
		return
	}
	c.refill(now)
	if c.unsyncedUntil.IsZero() {
		if missing := c.left() - left; missing > 0 {
			c.remaining -= c.parts.share * missing
			c.parts.withheld -= (1 - c.parts.share) * missing
		}
		c.parts.held = min(c.parts.held, c.entitled())
		return
	}
	c.setLeft(min(left-c.claimed, c.burst))
	c.unsyncedUntil = time.Time{}
	c.parts.held = c.entitled()
}

// ForgetWithheld gives up what unreachable zones hold of an organisation's limit, because it is
// not known what they have claimed of it.
func (p *Pool) ForgetWithheld(organisation string) {
	if c := p.claimBuckets[organisation]; c != nil {
		c.parts.withheld = 0
	}
}

// ReportAllClaims makes TakeClaims visit all organisations again, for a pool of another
// zone that was just taken over.
func (p *Pool) ReportAllClaims() {
	p.changedClaims = slices.Sorted(maps.Keys(p.claimBuckets))
}

// ReportClaims makes TakeClaims visit an organisation again.
func (p *Pool) ReportClaims(organisation string) {
	if !slices.Contains(p.changedClaims, organisation) {
		p.changedClaims = append(p.changedClaims, organisation)
	}
}

// ClaimsChanged reports whether claims changed since the last TakeClaims.
func (p *Pool) ClaimsChanged() bool { return len(p.changedClaims) > 0 }

// TakeClaims visits the organisations whose claims in the own zone changed since the last
// call, with the total of their claims and what is left of their limits in all zones.
func (p *Pool) TakeClaims(visit func(organisation string, claimed, left int)) {
	for _, name := range p.changedClaims {
		if c := p.claimBuckets[name]; c != nil {
			visit(name, int(c.claimed), int(c.left()))
		}
	}
	p.changedClaims = p.changedClaims[:0]
}

// ReportAllOwnClaims makes TakeOwnClaims visit all organisations again.
func (p *Pool) ReportAllOwnClaims() {
	p.changedOwnClaims = slices.Sorted(maps.Keys(p.claimBuckets))
}

// OwnClaimsChanged reports whether claims in this pool changed since the last TakeOwnClaims.
func (p *Pool) OwnClaimsChanged() bool { return len(p.changedOwnClaims) > 0 }

// TakeOwnClaims visits the organisations whose claims in this pool changed since the last call,
// with the total of their claims here.
func (p *Pool) TakeOwnClaims(visit func(organisation string, claimed int)) {
	for _, name := range p.changedOwnClaims {
		if c := p.claimBuckets[name]; c != nil {
			visit(name, int(c.ownClaimed))
		}
	}
	p.changedOwnClaims = p.changedOwnClaims[:0]
}
