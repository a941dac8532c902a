package sched

import "time"

// throughput is the work of all servers at full load.
type throughput struct {
	// perS is in tokens per second until coldUntil, the end of the cold times of all
	// servers, and warmPerS from then on.
	perS, warmPerS float64
	coldUntil      time.Time
}

// throughput returns the throughput of the servers by their learned speeds, and the
// requests that they take.
func (p *Pool) throughput() throughput {
	var t throughput
	for _, s := range p.servers {
		if !s.health.takesWork() || s.closed() {
			continue
		}
		own := s.speed.throughput
		if p.config.Service {
			own = float64(s.MaxRequests) / max(s.speed.total, 0.001)
		}
		now := p.pacedThroughput(p.callTime, s, own)
		t.perS += now
		if s.pace.cold.perS == 0 || !s.pace.isCold(p.callTime) {
			t.warmPerS += now
			continue
		}
		t.warmPerS += p.pacedThroughput(s.pace.coldUntil, s, own)
		if s.pace.coldUntil.After(t.coldUntil) {
			t.coldUntil = s.pace.coldUntil
		}
	}
	return t
}

// timeFor returns the time in which the servers do work of the given tokens; 0 if no server
// takes work.
func (t throughput) timeFor(now time.Time, tokens int) time.Duration {
	if tokens == 0 || t.perS == 0 {
		return 0
	}
	cold := t.coldUntil.Sub(now)
	if rest := float64(tokens) - t.perS*cold.Seconds(); cold > 0 && rest > 0 {
		return cold + seconds(rest/t.warmPerS)
	}
	return seconds(float64(tokens) / t.perS)
}
