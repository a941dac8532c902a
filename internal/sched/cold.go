package sched

import "time"

// A server that has just started, or whose caches were lost, is cold: it takes few requests
// per second and fails under more. It says so itself, but only with its next registration,
// and during a cut two coordinators may grant its requests. Load patterns: a zone whose
// servers return cold together under a burst; a server that turns cold unannounced under
// full load; a cut during which two hosts coordinate one pool.

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

// bounds returns the bounds of one coordinator for the cold and the warm servers of a model
// or service whose cold servers take a rate of requests per second; 0 means no bounds.
//
// In each window, also of arrivals that bunch, a bucket lets pass burst + perS x (window +
// arrivalSpread) requests. That of a cold server is within its share of what all
// coordinators together may send. That of a warm server is within the whole: the server may
// be cold already, and its coordinator learns of it up to a heartbeat later. It isn't
// divided, because a server that turns cold during a cut, and whose coordinators both have
// work for the whole rate, is rare, and the division would cost half of each warm server.
func (o ColdOverage) bounds(perS float64) (cold, warm bound) {
	if perS <= 0 {
		return bound{}, bound{}
	}
	allowed := perS*max(o.Factor, 1) + o.Slack
	window := (boundWindow + arrivalSpread).Seconds()
	share := allowed / maxCoordinators
	// A bucket must hold a whole request, and what arrives until it is looked at.
	cold.perS = (share - 1) / (window + pacingDelay.Seconds())
	// Two coordinators can't share a bound below three requests; each sends few then.
	cold.perS = min(perS, max(cold.perS, share/4))
	cold.burst = min(max(share-cold.perS*window, 1), paceBurst+cold.perS*paceBurstTime.Seconds())
	warm.burst = max(warmBurstShare*allowed, cold.burst)
	warm.perS = max((allowed-warm.burst)/window, cold.perS)
	return cold, warm
}
