package sched

import "time"

// What an organisation at several times its usual load gets of its rate limit. Load: one
// organisation sends about as much as its limit allows, or somewhat more, for longer than
// the window of the limit, with requests of all tiers.
//
//   - The whole limit can be used in each window. A bucket alone refills only what its
//     burst leaves of the limit, also in windows without a burst. So the refill follows
//     what was claimed in the last window: it is the highest even rate at which no window
//     from now on holds more than the limit.
//   - While requests have to be refused, each tier leaves a part of the burst to the higher
//     tiers of the organisation, so that these find tokens and the lowest tier is refused
//     first.

const (
	// claimSlots is the number of parts of a window in which claims are counted.
	claimSlots = 64
	// reservedBurstShare of the burst is left to each higher tier that sends.
	reservedBurstShare = 0.125
	// maxReservedTiers limits the higher tiers for which tokens are left, so that the
	// lowest tier uses most of the burst.
	maxReservedTiers = 2
	// pressedAfter is how long refusals must last until tokens are left to higher tiers. A
	// new pool refuses some requests while it doesn't know what is left.
	pressedAfter = 500 * time.Millisecond
	// pressedTime is how long after the last refusal, and tierActiveTime how long after its
	// last request, tokens are left to a higher tier.
	pressedTime    = 2 * time.Second
	tierActiveTime = 2 * time.Second
	// maxMissingTime is how long zones may be unreachable until what they claim meanwhile
	// counts as unknown. The digest of a new coordinator takes less.
	maxMissingTime = 2 * time.Second
)

// refusals is a series of refusals for want of tokens, less than pressedTime apart.
type refusals struct{ first, last time.Time }

// add records a refusal.
func (r *refusals) add(now time.Time) {
	if now.Sub(r.last) >= pressedTime {
		r.first = now
	}
	r.last = now
}

// lasting reports whether requests are refused now and have been for a while.
func (r *refusals) lasting(now time.Time) bool {
	return !r.last.IsZero() && now.Sub(r.last) < pressedTime && now.Sub(r.first) >= pressedAfter
}

// claimHistory counts the tokens that were claimed in the last window of a rate limit.
type claimHistory struct {
	// since is when the counting began. Claims before it are unknown.
	since time.Time
	// slot is the length of a part of the window, and latest the number of the current one
	// since the beginning.
	slot   time.Duration
	latest int
	// claimed holds the current slot and those of one window before it, by slot number
	// modulo their count.
	claimed [claimSlots + 1]float64
	total   float64
}

func newClaimHistory(now time.Time, window time.Duration) claimHistory {
	return claimHistory{since: now, slot: max(window/claimSlots, 1)}
}

// restart forgets all claims.
func (h *claimHistory) restart(now time.Time) { *h = claimHistory{since: now, slot: h.slot} }

// complete reports whether all claims of the last window are known.
func (h *claimHistory) complete(now time.Time) bool {
	return now.Sub(h.since) >= (claimSlots+1)*h.slot
}

// advance drops the slots that have left the window.
func (h *claimHistory) advance(now time.Time) {
	current := int(now.Sub(h.since) / h.slot)
	for n := max(h.latest+1, current-claimSlots); n <= current; n++ {
		h.total -= h.claimed[n%len(h.claimed)]
		h.claimed[n%len(h.claimed)] = 0
	}
	h.latest = max(h.latest, current)
}

// add counts claimed tokens, or takes back the negative. What is taken back is taken from
// the oldest slots, so that no later claim leaves the window too early.
func (h *claimHistory) add(now time.Time, tokens float64) {
	h.advance(now)
	if tokens >= 0 {
		h.claimed[h.latest%len(h.claimed)] += tokens
		h.total += tokens
		return
	}
	for n := h.latest + 1; n <= h.latest+len(h.claimed) && tokens < 0; n++ {
		slot := &h.claimed[n%len(h.claimed)]
		part := min(*slot, -tokens)
		*slot -= part
		h.total -= part
		tokens += part
	}
}

// evenRate returns the highest constant rate, in tokens per second, at which no window from
// now on holds more than limit if the remaining tokens are claimed at once.
func (h *claimHistory) evenRate(now time.Time, limit, remaining float64) float64 {
	h.advance(now)
	window := (claimSlots * h.slot).Seconds()
	rate, free := limit/window, limit-h.total-remaining
	for i := range claimSlots {
		// The slot i+1 after the current one, modulo their count, leaves the window last.
		rate = min(rate, free/((time.Duration(i+1) * h.slot).Seconds()))
		free += h.claimed[(h.latest+1+i)%len(h.claimed)]
	}
	return max(rate, 0)
}

// refillRate returns the rate at which a bucket refills, in tokens per second. The claims
// of a whole window in all zones must be known for more than the rate that suffices without
// them.
func (c *claimBucket) refillRate(now time.Time) float64 {
	share := c.parts.share
	switch {
	case share >= 1:
		c.missingSince = time.Time{}
	case c.missingSince.IsZero():
		c.missingSince = now
	case now.Sub(c.missingSince) >= maxMissingTime:
		c.history.restart(now)
	}
	if !c.whole || share < 1 || !c.history.complete(now) {
		return c.rate * share
	}
	return c.history.evenRate(now, c.limit, c.remaining)
}

// reserved returns the tokens that a request of a tier leaves to higher tiers of its
// organisation: none unless requests have to be refused.
func (c *claimBucket) reserved(now time.Time, tier int) float64 {
	if !c.whole || !c.refusals.lasting(now) {
		return 0
	}
	higher := 0
	for i := range tier {
		if at := c.lastAsked[i]; !at.IsZero() && now.Sub(at) < tierActiveTime {
			higher++
		}
	}
	return reservedBurstShare * float64(min(higher, maxReservedTiers)) * c.burst
}

// StartClaims adds ClaimStart to what is left of each rate limit, up to its burst, because
// no coordinator is left that knows what was claimed before.
func (p *Pool) StartClaims(now time.Time) {
	for _, c := range p.claimBuckets {
		c.refill(now)
		c.unsyncedUntil = time.Time{}
		share := c.parts.share
		c.remaining = min(c.remaining+share*c.start, share*c.burst)
		c.parts.withheld += (1 - share) * c.start
		c.parts.held = c.entitled()
	}
}
