package sched

import "time"

// A server in need states how many requests per second it takes from the whole fleet. Its
// pool, which grants all requests that it gets, paces them by a token bucket of requests:
// by its slots alone, a server gets more than it asked for.

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
	// perS is the limit in requests per second; 0 means none.
	perS float64
	// available requests may be granted now.
	available  float64
	lastRefill time.Time
}

// set changes the limit. A new bucket is empty: requests that were granted before the
// limit was known, or by another coordinator, have just been sent.
func (b *pace) set(now time.Time, perS float64) {
	if b.perS == 0 {
		b.available, b.lastRefill = 0, now
	}
	b.refill(now)
	b.perS = perS
}

func (b *pace) refill(now time.Time) {
	if passed := now.Sub(b.lastRefill); passed > 0 {
		b.available = min(b.available+b.perS*passed.Seconds(), paceBurst+b.perS*paceBurstTime.Seconds())
		b.lastRefill = now
	}
}

// allows reports whether the bucket holds a number of requests.
func (b *pace) allows(now time.Time, requests float64) bool {
	if b.perS == 0 {
		return true
	}
	b.refill(now)
	return b.available >= requests
}

// take takes a number of requests from the bucket; a negative number returns them.
func (b *pace) take(requests float64) { b.available -= requests }

// wait returns how long it takes until the bucket holds a request.
func (b *pace) wait(now time.Time) time.Duration {
	if b.allows(now, 1) {
		return 0
	}
	return seconds((1 - b.available) / b.perS)
}

// paced reports whether the server's limit keeps a request from it now. Requests of a tier
// leave one request of the bucket to the higher tiers that send.
func (p *Pool) paced(now time.Time, s *server, w *waiter) bool {
	need := 1.0
	if p.higherTierSends(now, w.tier) {
		need++
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

// pacedThroughput limits a server's throughput, in tokens per second, to what its limit of
// requests allows.
func (p *Pool) pacedThroughput(s *server, throughput float64) float64 {
	if s.pace.perS == 0 || p.meanTokens == 0 {
		return throughput
	}
	return min(throughput, s.pace.perS*p.meanTokens)
}

// pacedTokens limits the tokens that could be granted on a server now to what its limit of
// requests allows.
func (p *Pool) pacedTokens(now time.Time, s *server, tokens int) int {
	if s.pace.allows(now, float64(tokens)/max(p.meanTokens, 1)) {
		return tokens
	}
	return int(max(s.pace.available, 0) * p.meanTokens)
}
