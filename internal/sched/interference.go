package sched

import "time"

// interferenceWeight weighs the delay of other streams in the score of a server.
const interferenceWeight = 2.0

// interference returns the time by which a request's prefill delays the streams of its
// server, summed over the streams and weighted. Prefill that fits beside them into a
// step within the gap target delays none.
func (p *Pool) interference(c placement) time.Duration {
	prefill := float64(c.uncached) / c.server.speed.prefillSeed
	if p.config.Service || prefill <= (1-initialStreamShare)*p.config.GapTarget.Seconds() {
		return 0
	}
	return seconds(interferenceWeight * prefill * float64(len(c.server.grants)))
}
