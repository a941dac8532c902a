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

// claimSlots divide the window of a rate limit.
const claimSlots = 16

// paceSlots of the window may take paceShare of the limit: more would leave nothing of
// it to the rest of the window.
const (
	paceSlots = claimSlots / 4
	paceShare = 0.4
)

// presumedShare of a limit counts as claimed in the window before a pool was taken
// over, since its coordinator doesn't know what was: coordinators that follow each
// other must not give the limit out each time.
const presumedShare = 0.95

// claims counts what one organisation takes of its rate limit in a sliding window.
type claims struct {
	// limit may be claimed in each window.
	limit float64
	slot  time.Duration
	// slots hold the claims of the window, the newest at current, which began at
	// begin; one slot more than the window has covers it at any time.
	slots   [claimSlots + 1]float64
	current int
	begin   time.Time
	sum     float64
	// waiting is what requests in the queue will claim.
	waiting float64
	// taken is what was claimed in this pool.
	taken float64
}

// advance forgets the claims that have left the window.
func (c *claims) advance(now time.Time) {
	for passed := 0; now.Sub(c.begin) >= c.slot; passed++ {
		if passed == len(c.slots) {
			c.begin = now
			return
		}
		c.begin = c.begin.Add(c.slot)
		c.current = (c.current + 1) % len(c.slots)
		c.sum = max(0, c.sum-c.slots[c.current])
		c.slots[c.current] = 0
	}
}

func (c *claims) add(now time.Time, tokens float64) {
	c.advance(now)
	c.slots[c.current] += tokens
	c.sum += tokens
}

// recent returns what was claimed in the newest slots.
func (c *claims) recent() float64 {
	sum := 0.0
	for i := range paceSlots {
		sum += c.slots[(c.current+len(c.slots)-i)%len(c.slots)]
	}
	return sum
}

// freeIn returns the time until so many tokens have left the window.
func (c *claims) freeIn(now time.Time, tokens float64) time.Duration {
	wait := c.slot - now.Sub(c.begin)
	for i := 1; i <= len(c.slots); i++ {
		if tokens -= c.slots[(c.current+i)%len(c.slots)]; tokens <= 0 {
			break
		}
		wait += c.slot
	}
	return wait
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
		if slot := l.ClaimWindow / claimSlots; p.claims[name] == nil || p.claims[name].slot != slot {
			p.claims[name] = presumedClaims(now, l.ClaimLimit, slot)
		}
		p.claims[name].limit = l.ClaimLimit
	}
}

// presumedClaims returns what is counted of an organisation of which nothing is known.
func presumedClaims(now time.Time, limit float64, slot time.Duration) *claims {
	c := &claims{slot: slot, begin: now, sum: presumedShare * limit}
	for i := range c.slots {
		c.slots[i] = c.sum / float64(len(c.slots))
	}
	return c
}

// overLimit reports whether an organisation has claimed all that it may, and when it
// may claim again.
func (p *Pool) overLimit(now time.Time, r *Request) (after time.Duration, over bool) {
	c := p.claims[r.Organisation]
	if c == nil || r.Claim == 0 {
		return 0, false
	}
	c.advance(now)
	asked, limit := c.waiting+float64(r.Claim), c.limit*p.claimShare
	switch {
	case c.sum+asked > limit:
		return c.freeIn(now, c.sum+asked-limit), true
	case c.recent()+asked > max(paceShare*limit, float64(r.Claim)):
		return paceSlots * c.slot / 2, true
	}
	return 0, false
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
	c.add(now, sign*float64(r.Claim))
	c.taken += sign * float64(r.Claim)
	if !slices.Contains(p.claimed, r.Organisation) {
		p.claimed = append(p.claimed, r.Organisation)
	}
}

// ClaimRemote counts what an organisation claimed in another zone.
func (p *Pool) ClaimRemote(now time.Time, organisation string, tokens float64) {
	if c := p.claims[organisation]; c != nil {
		c.add(now, tokens)
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
