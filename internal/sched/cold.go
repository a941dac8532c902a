package sched

import "time"

// A server that has just started, or whose caches were lost, is cold: it takes few requests
// per second and fails under more. It says so itself, but only with its next registration,
// and during a cut several coordinators may grant its requests. Load patterns: a zone whose
// servers return cold together under a burst; a server that turns cold unannounced under
// full load; a cut during which several hosts coordinate one pool, each of which takes its
// servers for warm.

const (
	// maxCoordinators may grant the requests of one pool at the same time: during a cut,
	// one on each side of it.
	maxCoordinators = 2
	// arrivalSpread is the difference of the times that two granted requests take to
	// arrive at their server: the delays of a grant and of a request between zones, and a
	// connection that has to be opened.
	arrivalSpread = 50 * time.Millisecond
	// pacingDelay is how late a bucket that holds a request may be looked at. It spans two
	// scheduling intervals.
	pacingDelay = 30 * time.Millisecond
	// warmBurstShare is the share of the requests of a second that a warm server may get
	// at once. It fills the slots of a server that was idle.
	warmBurstShare = 1.0 / 3
	// boundWindow is the window over which the requests of cold servers are counted.
	boundWindow = time.Second
)

// ColdOverage is by how much the requests that a cold server gets in one second, from all
// hosts together, may exceed its rate.
type ColdOverage struct {
	// Factor multiplies the rate; 0 stands for 1.
	Factor float64
	// Slack is a number of requests.
	Slack float64
}

// Allowed returns the requests that a cold server may get in one second, from all hosts
// together, if it takes a rate of requests per second.
func (o ColdOverage) Allowed(perS float64) float64 { return perS*max(o.Factor, 1) + o.Slack }

// Part is the part of a server's bounds that one coordinator may use: Own of All whole
// requests. The parts of coordinators that don't hear of each other add up to no more than
// the whole. The zero Part is the whole.
type Part struct{ Own, All int }

// whole reports whether the part is the whole.
func (p Part) whole() bool { return p.Own == p.All }

// limit returns how many of the allowed requests of a second belong to the part. A bucket
// with a part that isn't the whole lets pass as many whole requests.
func (p Part) limit(allowed float64) float64 {
	if p.whole() {
		return allowed
	}
	return min(float64(p.Own)+partialRequest, allowed)
}

const (
	// partialRequest is what a bucket may let pass beyond whole requests. Without it, the
	// bucket of a single request would never refill.
	partialRequest = 0.5
	// closedPerS is the rate of a bucket that never holds a request: one of a part without
	// requests. A rate of 0 would be no bound.
	closedPerS = 1e-3
)

// bounds returns the bounds of one coordinator for the cold and the warm servers of a model
// or service whose cold servers take a rate of requests per second; 0 means no bounds.
//
// In each window, also of arrivals that bunch, a bucket lets pass burst + perS x (window +
// arrivalSpread) requests. That of a cold server is within the share of one of
// maxCoordinators, so that one which takes over needs no time to learn of the other. That of
// a warm server is within the whole: the server may be cold already, and its coordinator
// learns of it up to a heartbeat later. Both are within the coordinator's part, since any
// number of coordinators may be out of touch with each other and with what servers state.
func (o ColdOverage) bounds(perS float64, part Part) (cold, warm bound) {
	if perS <= 0 {
		return bound{}, bound{}
	}
	limit := part.limit(o.Allowed(perS))
	if limit < 1 && !part.whole() {
		return bound{perS: closedPerS}, bound{perS: closedPerS}
	}
	window := (boundWindow + arrivalSpread).Seconds()
	share := min(o.Allowed(perS)/maxCoordinators, limit)
	// A bucket must hold a whole request, and what arrives until it is looked at.
	cold.perS = (share - 1) / (window + pacingDelay.Seconds())
	// Two coordinators can't share a bound below three requests; each sends few then.
	cold.perS = min(perS, max(cold.perS, share/4))
	cold.burst = min(max(share-cold.perS*window, 1), paceBurst+cold.perS*paceBurstTime.Seconds())
	warm.burst = max(warmBurstShare*limit, cold.burst)
	warm.perS = (limit - warm.burst) / window
	if warm.perS < cold.perS {
		warm = cold
	}
	return cold, warm
}
