package sched

import "time"

// disturbanceWeight of the time for which other streams are held up counts in
// the score of a server.
const disturbanceWeight = 2.0

// disturbance is the time by which a request's prefill holds up the streams of
// its server, summed over the streams. Prefill that fits into a step beside them
// within the gap target disturbs none.
func (p *Pool) disturbance(c placement) time.Duration {
	prefill := float64(c.uncached) / c.server.speed.prefillSeed
	if p.config.Service || prefill <= (1-streamShare)*p.config.GapTarget.Seconds() {
		return 0
	}
	return seconds(disturbanceWeight * prefill * float64(len(c.server.grants)))
}
