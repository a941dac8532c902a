package sched

import (
	"maps"
	"math"
	"slices"
	"time"
)

// How the availability zones of a target divide a rate limit. Load: an organisation sends
// several times its limit to all zones, while zones can't reach each other or right before.
//
// Each zone counts the claims of all zones, but learns of those elsewhere late, or not at all
// in a partition. So it holds a part of what is left and claims no more than that by itself.
// Once the coordinators of the other zones have confirmed that they count its claims, what is
// left is divided again (the demarcation protocol with escrow of Barbará and Garcia-Molina).
// Nothing is confirmed in a partition, so its sides spend their parts and no more, also before
// they notice it.

const (
	// evenPart of a rate limit is divided evenly; the rest in proportion to what the zones
	// claimed of late.
	evenPart = 0.5
	// confirmTime is the advised delay when what is left is held by other zones: about two
	// exchanges of digests.
	confirmTime = 500 * time.Millisecond
)

// ClaimZone is an availability zone with a pool of the same target.
type ClaimZone struct {
	Name string
	// Reachable is set while the coordinator of the zone reports its claims and confirms
	// those made here. The own zone is always reachable.
	Reachable bool
}

// claimParts is how a rate limit is divided among the zones.
type claimParts struct {
	// of holds the parts of the zones as fractions of the limit. It is replaced, not changed.
	of map[string]float64
	// share is the sum of the parts of all reachable zones, and own the part of the own zone
	// in that sum.
	share, own float64
	// held is the number of tokens that may be claimed before claims are confirmed; a
	// negative value is debt.
	held float64
	// confirmed is the part of claimBucket.claimed that all reachable zones count.
	confirmed float64
	// withheld is what the unreachable zones hold, in tokens. It returns with them.
	withheld float64
	// demand is what the zones claimed of late.
	demand map[string]recentClaims
}

// recentClaims is a sum of claims that decays over time.
type recentClaims struct {
	tokens float64
	at     time.Time
}

// value returns the sum after decay with a time constant.
func (r recentClaims) value(now time.Time, constant time.Duration) float64 {
	return r.tokens * math.Exp(-max(now.Sub(r.at), 0).Seconds()/constant.Seconds())
}

// wholeLimit returns the division among a single zone.
func wholeLimit() claimParts { return claimParts{share: 1, own: 1, demand: map[string]recentClaims{}} }

// SetClaimZones sets the zones that divide the rate limits, and reports whether they or their
// reachability have changed. Without it, the own zone has the whole limits.
func (p *Pool) SetClaimZones(now time.Time, own string, zones []ClaimZone) bool {
	if own == p.ownZone && slices.Equal(zones, p.claimZones) {
		return false
	}
	p.ownZone, p.claimZones = own, slices.Clone(zones)
	for _, c := range p.claimBuckets {
		c.setZones(now, own, zones)
	}
	return true
}

// reachesZone reports whether the claims of a zone are known as they are made.
func (p *Pool) reachesZone(zone string) bool {
	return !slices.Contains(p.claimZones, ClaimZone{Name: zone})
}

// ConfirmClaims records that all reachable zones count the claims of an organisation up to
// a total that TakeClaims reported.
func (p *Pool) ConfirmClaims(now time.Time, organisation string, claimed int) {
	if c := p.claimBuckets[organisation]; c != nil {
		c.refill(now)
		c.parts.confirmed = max(c.parts.confirmed, float64(claimed))
		c.divide(now, p.ownZone, p.claimZones)
	}
}

// unconfirmed returns the claims that other zones may not count yet, in tokens.
func (c *claimBucket) unconfirmed() float64 { return max(c.claimed-c.parts.confirmed, 0) }

// entitled returns what the own zone holds of the remaining tokens.
func (c *claimBucket) entitled() float64 {
	unconfirmed := c.unconfirmed()
	return c.parts.own*(c.remaining+unconfirmed) - unconfirmed
}

// left returns what is left in all zones, as far as it is known here.
func (c *claimBucket) left() float64 { return c.remaining + c.parts.withheld }

// setLeft sets what is left in all zones. The unreachable ones hold their part of it; a debt
// is borne by the reachable ones.
func (c *claimBucket) setLeft(left float64) {
	c.remaining = left
	if left > 0 {
		c.remaining = c.parts.share * left
	}
	c.parts.withheld = left - c.remaining
}

// divide divides what is left anew. The parts are kept while zones are unreachable: these
// hold theirs.
func (c *claimBucket) divide(now time.Time, own string, zones []ClaimZone) {
	if c.parts.share >= 1 {
		c.setParts(now, zones)
		c.setShare(own, zones)
	}
	c.parts.held = c.entitled()
}

// setParts computes the parts of the zones.
func (c *claimBucket) setParts(now time.Time, zones []ClaimZone) {
	sum := 0.0
	demand := make([]float64, len(zones))
	for i, z := range zones {
		demand[i] = c.parts.demand[z.Name].value(now, c.window)
		sum += demand[i]
	}
	c.parts.of = make(map[string]float64, len(zones))
	for i, z := range zones {
		part := 1 / float64(len(zones))
		if sum > 0 {
			part = evenPart*part + (1-evenPart)*demand[i]/sum
		}
		c.parts.of[z.Name] = part
	}
}

// setShare computes what the reachable zones hold together, and the own part of it.
func (c *claimBucket) setShare(own string, zones []ClaimZone) {
	all, share := true, 0.0
	for _, z := range zones {
		if z.Reachable {
			share += c.parts.of[z.Name]
		}
		all = all && z.Reachable
	}
	if all {
		share = 1 // whatever the rounding
	}
	c.parts.share, c.parts.own = share, min(c.parts.of[own]/share, 1)
}

// setZones applies a change of the zones or of which are reachable. Zones that become
// unreachable keep their parts of what is left; zones that return bring them back.
func (c *claimBucket) setZones(now time.Time, own string, zones []ClaimZone) {
	c.refill(now)
	if !slices.ContainsFunc(zones, func(z ClaimZone) bool { return z.Name == own }) {
		c.parts.of, c.parts.share, c.parts.own = nil, 1, 1
		return
	}
	before := c.parts.share
	known := c.parts.of != nil && len(c.parts.of) == len(zones)
	for _, z := range zones {
		_, has := c.parts.of[z.Name]
		known = known && has
	}
	if !known {
		c.dropDemand(zones)
		c.setParts(now, zones)
		c.parts.held = c.parts.of[own] * max(c.remaining, 0)
	}
	c.setShare(own, zones)
	switch share := c.parts.share; {
	case share < before:
		left := min(c.remaining, (c.parts.held+c.unconfirmed())/c.parts.own-c.unconfirmed())
		c.parts.withheld += c.remaining - left
		c.remaining = left
	case share > before:
		returned := c.parts.withheld
		if share < 1 {
			returned *= (share - before) / (1 - before)
		}
		c.parts.withheld -= returned
		c.remaining = min(c.remaining+returned, c.burst*share)
	}
	c.parts.held = min(c.parts.held, c.entitled())
}

// addDemand counts what a zone claimed of late.
func (c *claimBucket) addDemand(now time.Time, zone string, tokens float64) {
	r := c.parts.demand[zone]
	c.parts.demand[zone] = recentClaims{tokens: max(r.value(now, c.window)+tokens, 0), at: now}
}

// dropDemand forgets the claims of zones that no longer have a pool of the target.
func (c *claimBucket) dropDemand(zones []ClaimZone) {
	maps.DeleteFunc(c.parts.demand, func(zone string, _ recentClaims) bool {
		return !slices.ContainsFunc(zones, func(z ClaimZone) bool { return z.Name == zone })
	})
}
