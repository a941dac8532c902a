package sched

import "time"

// interferenceWeight is the weight of the time by which other streams are delayed in
// the score of a server.
const interferenceWeight = 2.0

// interference is the weighted time by which a request's prefill delays the streams of
// its server, summed over the streams. Prefill that fits into a step beside them
// within the gap target disturbs none.
func (p *Pool) interference(c placement) time.Duration {
	prefill := float64(c.uncached) / c.server.speed.prefillSeed
	if p.config.Service || prefill <= (1-initialStreamShare)*p.config.GapTarget.Seconds() {
		return 0
	}
	return seconds(interferenceWeight * prefill * float64(len(c.server.grants)))
}
