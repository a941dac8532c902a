package sched

import "mimosafront/internal/message"

// Evacuated reports whether the pool takes no work because its availability zone is
// evacuated: all its servers are closed, and not just as they leave or load models.
func (p *Pool) Evacuated() bool {
	evacuated := false
	for _, s := range p.servers {
		if !s.closed() {
			return false
		}
		evacuated = evacuated || s.Evacuated
	}
	return evacuated
}

// refuseEvacuated refuses all waiting requests of an evacuated pool, the highest tier
// first, so that their fronts ask other zones at once and in this order. Unlike servers
// that are lost, those of an evacuated zone aren't expected back while the requests wait.
func (p *Pool) refuseEvacuated() {
	if !p.Evacuated() {
		return
	}
	for tier := range p.queue.tiers {
		for p.queue.tiers[tier].waiting > 0 {
			w := p.queue.tiers[tier].shedCandidate()
			p.dequeue(w)
			p.refuse(w, message.RefusalReasonNoServer, "the availability zone is evacuated")
		}
	}
}
