package sched

import "time"

// Two kinds of servers take a limited number of requests per second from the whole fleet,
// whatever their slots bear: a server in need that states a limit, and a cold server of a
// model or service whose policy bounds what cold servers get. Their pool, which grants all
// requests that they get, paces them by one token bucket of requests; of several bounds
// the strictest counts.

const (
	// paceBurst is the size of the bucket beyond the requests of paceBurstTime. One
	// request is for the next to come, the other one is left to higher tiers.
	paceBurst = 2
	// paceBurstTime is how long unused requests are kept. It spans several scheduling
	// intervals, so that a limited server is used up to its limit.
	paceBurstTime = 250 * time.Millisecond
	// urgentMemory is how long after the last arrival of a tier lower ones leave a
	// request of the bucket to it.
	urgentMemory = 2 * time.Second
	// meanWeight is the weight of a grant in the mean size of requests.
	meanWeight = 0.05
)

// pace is the token bucket of a server that limits its requests.
type pace struct {
	// stated is the bound of the limit that the server states.
	stated bound
	// cold and warm apply before and after coldUntil.
	cold, warm bound
	coldUntil  time.Time
	// available requests may be granted now.
	available  float64
	lastRefill time.Time
	// lastFull is when the bucket was full last.
	lastFull time.Time
}

// bound is the rate and the size of a bucket of requests.
type bound struct {
	// perS is in requests per second; 0 means no bound.
	perS  float64
	burst float64
}

// statedBound returns the bound of a server that states a limit.
func statedBound(perS float64) bound {
	return bound{perS: perS, burst: paceBurst + perS*paceBurstTime.Seconds()}
}

// strictest returns the bound that keeps both bounds.
func (b bound) strictest(other bound) bound {
	switch {
	case b.perS == 0:
		return other
	case other.perS == 0:
		return b
	}
	return bound{perS: min(b.perS, other.perS), burst: min(b.burst, other.burst)}
}

// isCold reports whether the server is cold.
func (b *pace) isCold(now time.Time) bool { return now.Before(b.coldUntil) }

// bound returns the bound that applies at a time.
func (b *pace) bound(now time.Time) bound {
	if b.isCold(now) {
		return b.stated.strictest(b.cold)
	}
	return b.stated.strictest(b.warm)
}

// isWarm reports whether only the bound of a warm server applies.
func (b *pace) isWarm(now time.Time) bool { return !b.isCold(now) && b.stated.perS == 0 }

// set changes the bounds to those of a server. A server that states a limit, or turns cold,
// starts with an empty bucket: requests that were granted before that was known, or by
// another coordinator, have just been sent.
func (b *pace) set(now time.Time, s Server, overage ColdOverage) {
	b.refill(now)
	wasUnbounded, wasCold, wasStated := b.bound(now).perS == 0, b.isCold(now), b.stated.perS > 0
	b.stated = bound{}
	if s.RequestsPerS > 0 {
		b.stated = statedBound(s.RequestsPerS)
	}
	b.cold, b.warm = overage.bounds(s.ColdRequestsPerS, s.Part)
	b.coldUntil = s.ColdUntil
	turnedCold := b.cold.perS > 0 && b.isCold(now) && !wasCold
	if wasUnbounded || turnedCold || s.RequestsPerS > 0 && !wasStated {
		b.available, b.lastRefill = 0, now
	}
}

// refill adds the requests of the time since the last refill, of which a first part may
// have been cold.
func (b *pace) refill(now time.Time) {
	if b.lastRefill.Before(b.coldUntil) && b.coldUntil.Before(now) {
		b.refillAt(b.coldUntil, b.bound(b.lastRefill))
	}
	b.refillAt(now, b.bound(b.lastRefill))
}

// refillAt refills until a time, during which one bound applies.
func (b *pace) refillAt(until time.Time, applies bound) {
	if passed := until.Sub(b.lastRefill); passed > 0 {
		b.available += applies.perS * passed.Seconds()
		if b.available >= applies.burst {
			b.available, b.lastFull = applies.burst, until
		}
		b.lastRefill = until
	}
}

// allows reports whether the bucket holds a number of requests.
func (b *pace) allows(now time.Time, requests float64) bool {
	if b.bound(now).perS == 0 {
		return true
	}
	b.refill(now)
	return b.available >= requests
}

// take takes a request from the bucket.
func (b *pace) take() { b.available-- }

// giveBack returns a request that was granted at a time and wasn't sent. It is lost if the
// bucket has been full since: it would have been full without the grant too.
func (b *pace) giveBack(now, grantedAt time.Time) {
	b.refill(now)
	if size := b.bound(now).burst; b.available < size && !b.lastFull.After(grantedAt) {
		b.available = min(b.available+1, size)
	}
}

// wait returns how long it takes until the bucket holds a request.
func (b *pace) wait(now time.Time) time.Duration {
	if b.allows(now, 1) {
		return 0
	}
	return seconds((1 - b.available) / b.bound(now).perS)
}

// need returns how many requests the bucket must hold for one of a tier below those that
// send: one is left to these, or half of what the bucket holds beyond the first.
func (b *pace) need(now time.Time) float64 {
	if burst := b.bound(now).burst; burst > 0 && burst < 2 {
		return (1 + burst) / 2
	}
	return 2
}

// paced reports whether the server's limit keeps a request from it now. Requests of a tier
// leave one request of the bucket to the higher tiers that send.
func (p *Pool) paced(now time.Time, s *server, w *waiter) bool {
	need := 1.0
	if p.higherTierSends(now, w.tier) {
		need = s.pace.need(now)
	}
	return !s.pace.allows(now, need)
}

// higherTierSends reports whether requests of a higher tier arrived lately.
func (p *Pool) higherTierSends(now time.Time, tier int) bool {
	for i := range tier {
		if last := p.lastArrival[i]; !last.IsZero() && now.Sub(last) < urgentMemory {
			return true
		}
	}
	return false
}

// observeSize updates the mean size of requests by a granted one.
func (p *Pool) observeSize(tokens int) {
	if p.meanTokens == 0 {
		p.meanTokens = float64(tokens)
	}
	p.meanTokens += meanWeight * (float64(tokens) - p.meanTokens)
}

// meanSize returns the mean size of granted requests, or, before the first grant, of those
// that wait; 0 if there are none.
func (p *Pool) meanSize() float64 {
	if p.meanTokens == 0 {
		return p.meanWaitingSize()
	}
	return p.meanTokens
}

// meanWaitingSize returns the mean size of waiting requests; 0 if there are none.
func (p *Pool) meanWaitingSize() float64 {
	return float64(p.queue.tokens) / float64(max(p.queue.waiting, 1))
}

// pacedThroughput limits a server's throughput, in tokens per second, to what a bound of
// its requests allows at a time. The bound of a warm server limits few requests: it counts
// with the larger ones of those that were granted and those that wait, so that a moment of
// small requests doesn't make the rest seem hopeless.
func (p *Pool) pacedThroughput(at time.Time, s *server, throughput float64) float64 {
	size := p.meanSize()
	if s.pace.isWarm(at) {
		size = max(size, p.meanWaitingSize())
	}
	perS := s.pace.bound(at).perS
	if perS == 0 || size == 0 {
		return throughput
	}
	return min(throughput, perS*size)
}

// pacedTokens limits the tokens that could be granted on a server now to what its limit of
// requests, or of cold servers, allows. The bucket of a warm server fills its slots.
func (p *Pool) pacedTokens(now time.Time, s *server, tokens int) int {
	size := p.meanSize()
	if s.pace.isWarm(now) || s.pace.allows(now, float64(tokens)/max(size, 1)) {
		return tokens
	}
	return int(max(s.pace.available, 0) * size)
}
